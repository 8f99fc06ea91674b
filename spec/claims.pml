/* Claims of one Idempotency-Key: claim, send, crash and resend.
 *
 * Three arrivals of the same request: 0 at router 0, 1 at router 1, 2 at
 * router 0 after its restart. Three control instances hold the log; one of
 * them, the leader too, may be lost for good. The log's own protocol is the
 * subject of consensus.pml: here an entry is committed once two instances
 * hold it, and the leader takes one entry at a time.
 *
 * A request to control may be lost, doubled and late: CLAIM may be appended
 * again at any time after it was first sent. A reply may be late. A sent
 * request may reach the target at any time, also after its router's crash.
 * An owner that is alive may be taken for lost (DEAD). The uncertain age is far
 * longer than the send window and than any connection: when a claim expires,
 * its holder's window has closed and nothing of it is on the way.
 *
 * Mutants: MUTANT_REPLY_BEFORE_COMMIT, MUTANT_EXPIRE_RUNNING,
 * MUTANT_RELEASE_DEAD, MUTANT_ANYONE_ENDS, MUTANT_NO_SEND_WINDOW,
 * MUTANT_LATE_GRANT, MUTANT_NOT_RUN_AFTER_SEND.
 */
#define ARRIVALS 3
#define NOBODY 3

/* Kinds of log entries. */
#define NO_ENTRY 0
#define CLAIM 1
#define END_NOT_RUN 2
#define END_DONE 3 /* answered or unknown */
#define DEAD 4
#define EXPIRE 5

/* The replicated state of the key. */
#define FREE 0
#define RUNNING 1
#define ORPHANED 2
#define ENDED 3

/* An arrival at its router. */
#define IDLE 0
#define ASKED 1
#define GRANTED 2
#define SENT 3
#define GAVE_UP 4 /* the caller was told not-run */
#define DONE 5    /* the caller was told unknown, or has its answer */
#define CRASHED 6

byte kind;           /* the entry that the leader has appended */
byte entry_of;       /* its arrival */
bool replicated;     /* a second instance holds it */
bool instance_lost;

byte phase;
byte holder = NOBODY;

byte at[ARRIVALS];
bool reply[ARRIVALS];      /* a grant that the arrival has not read yet */
bool window_closed[ARRIVALS];
bool on_the_way[ARRIVALS]; /* to the target */
byte runs;                 /* since the key's newest expiry */

byte a;

inline append(new_kind, x) {
  kind = new_kind;
  entry_of = x
}

inline send_grant(x) {
  if
  :: at[x] == ASKED -> reply[x] = true
#ifdef MUTANT_LATE_GRANT
  :: at[x] == GAVE_UP -> reply[x] = true
#endif
  :: else
  fi
}

/* claim: the entry CLAIM(x) and its reply. */
inline claim(x) {
  if
  :: phase == FREE -> phase = RUNNING; holder = x; send_grant(x)
  :: phase == RUNNING && holder == x -> send_grant(x)
  :: phase == ORPHANED && holder == x -> phase = RUNNING; send_grant(x)
  :: else
  fi
}

inline release() {
  phase = FREE;
  holder = NOBODY
}

inline expire() {
  if
  :: (phase == ORPHANED || phase == ENDED) && !on_the_way[holder] ->
#ifndef MUTANT_NO_SEND_WINDOW
     window_closed[holder] = true;
#endif
     runs = 0;
     release()
#ifdef MUTANT_EXPIRE_RUNNING
  :: phase == RUNNING -> runs = 0; release()
#endif
  :: else
  fi
}

#define UNENDED (phase == RUNNING || phase == ORPHANED)

inline apply_entry() {
  if
  :: kind == CLAIM -> claim(entry_of)
  :: kind == END_NOT_RUN ->
     if
#ifdef MUTANT_ANYONE_ENDS
     :: UNENDED -> release()
#else
     :: UNENDED && holder == entry_of -> release()
#endif
     :: else
     fi
  :: kind == END_DONE ->
     if
     :: UNENDED && holder == entry_of -> phase = ENDED
     :: else
     fi
  :: kind == DEAD ->
     if
     :: phase == RUNNING && holder == entry_of ->
#ifdef MUTANT_RELEASE_DEAD
        release()
#else
        phase = ORPHANED
#endif
     :: else
     fi
  :: kind == EXPIRE -> expire()
  fi;
  kind = NO_ENTRY;
  entry_of = 0;
  replicated = false
}

#define IDLE_LOG (kind == NO_ENTRY)

active proctype system() {
  do
  /* Control: replicate, commit, lose one instance. */
  :: atomic { kind != NO_ENTRY && !replicated -> replicated = true }
  :: atomic { replicated -> apply_entry() }
  :: atomic {
       !instance_lost -> instance_lost = true;
       if
       :: replicated -> replicated = false /* one copy of two is left */
       :: !replicated -> kind = NO_ENTRY; entry_of = 0 /* it was the leader */
       :: true /* an instance that had no copy */
       fi
     }

  /* Routers. */
  :: atomic {
       select(a : 0 .. 2);
       if
       :: at[a] == IDLE && (a != 2 || at[0] == CRASHED) -> at[a] = ASKED
       :: at[a] != IDLE && IDLE_LOG ->
          append(CLAIM, a); /* sent now, again, or late */
#ifdef MUTANT_REPLY_BEFORE_COMMIT
          if
          :: phase == FREE -> send_grant(a)
          :: else
          fi
#endif
       :: reply[a] ->
          reply[a] = false;
          at[a] = GRANTED
       :: at[a] == GRANTED && !window_closed[a] ->
          at[a] = SENT;
          on_the_way[a] = true
       :: at[a] == ASKED || at[a] == GRANTED ->
          reply[a] = false;
          at[a] = GAVE_UP
       :: at[a] == SENT -> at[a] = DONE
#ifdef MUTANT_NOT_RUN_AFTER_SEND
       :: at[a] == SENT -> at[a] = GAVE_UP
#endif
       :: at[a] == GAVE_UP && IDLE_LOG -> append(END_NOT_RUN, a)
       :: at[a] == DONE && IDLE_LOG -> append(END_DONE, a)
       :: at[a] != IDLE && a != 2 ->
          reply[a] = false;
          at[a] = CRASHED
       :: at[a] != IDLE && IDLE_LOG -> append(DEAD, a)
       :: else
       fi;
       a = 0
     }
  :: atomic { IDLE_LOG -> append(EXPIRE, 0) }

  /* The target: it runs a request, loses it, or refuses it before running. */
  :: atomic {
       select(a : 0 .. 2);
       if
       :: on_the_way[a] ->
          on_the_way[a] = false;
          if
          :: runs++;
             assert(runs <= 1);       /* run at most once */
             assert(at[a] != GAVE_UP) /* told not-run, but ran */
          :: true
          :: at[a] == SENT -> at[a] = GAVE_UP /* it said so */
          fi
       :: else
       fi;
       a = 0
     }
  od
}
