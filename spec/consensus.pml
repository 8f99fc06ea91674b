/* The replicated log: election, replication, joint replacement of a member
 * whose disk is lost.
 *
 * Size: storages 0, 1, 2 vote at first; storage 3 is the new folder that the
 * instance of storage 2 gets when its disk is lost. Terms 1 to MAX_TERM, logs
 * of at most MAX_LOG entries.
 *
 * A step is one message taken in, with its answer. Messages are stateless in
 * that a sender may send (or resend, or delay) whatever its present role
 * allows; a lost one is a step that never comes. Left out: learners' catch-up
 * (a new member starts empty, as the worst case), snapshots, pre-vote,
 * check-quorum, timing and leadership confirmation.
 *
 * CHANGES adds the lost disk and its replacement, ROUNDS the confirmation of
 * leadership. Changing the membership before the no-op is committed is no
 * mutant: joint majorities keep that safe, and the code forbids it anyway.
 *
 * CHECK MODEL: -DCHANGES -DMAX_TERM=3 -DMAX_LOG=3
 * CHECK MODEL: -DROUNDS -DMAX_TERM=3 -DMAX_LOG=2
 * CHECK MODEL: -DMAX_TERM=4 -DMAX_LOG=2
 * CHECK MUTANT_VOTE_BEFORE_SYNC: -DMAX_TERM=3 -DMAX_LOG=3
 * CHECK MUTANT_ONE_STEP_CHANGE: -DCHANGES -DMAX_TERM=3 -DMAX_LOG=3
 * CHECK MUTANT_KEEP_VOTE_OF_LOST_DISK: -DCHANGES -DMAX_TERM=3 -DMAX_LOG=3
 * CHECK MUTANT_COMMIT_EARLIER_TERM: -DMAX_TERM=4 -DMAX_LOG=2
 * CHECK MUTANT_ROUND_BEFORE_NO_OP: -DROUNDS -DMAX_TERM=3 -DMAX_LOG=2
 * CHECK MUTANT_COUNT_OLD_ANSWERS: -DROUNDS -DMAX_TERM=3 -DMAX_LOG=2
 */
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_LOG
#define MAX_LOG 3
#endif
#define NODES 4
#define NONE 7

/* Memberships: 0 = {0,1,2}, 1 = joint {0,1,2} and {0,1,3}, 2 = {0,1,3}. */
#define KEEP 3 /* an entry that changes no membership */
#define OLD_SET 7 /* bits 0, 1, 2 */
#define NEW_SET 11 /* bits 0, 1, 3 */

typedef Node {
  byte term;
  byte vote;          /* NONE: nobody in this term */
  byte synced_vote;   /* what a crash leaves */
  byte length;
  byte entry_term[MAX_LOG];
  byte change[MAX_LOG];
  bool leads;
  byte votes;         /* bit set of granted votes, as a candidate */
  byte commit;        /* entries known to be committed, as a leader */
  byte no_op;         /* length of the log with the leader's no-op */
  byte match[NODES];
}

Node node[NODES];
bool disk_lost;

/* What was committed once: the term and the change of each entry. */
byte committed;
byte committed_term[MAX_LOG];
byte committed_change[MAX_LOG];
byte leader_of[MAX_TERM + 1];

/* The one leadership confirmation round of a run. */
byte round_of = NONE;
byte round_term;
byte round_commit;  /* what its leader knew to be committed at the start */
byte round_floor;   /* what was committed at the start */
byte round_answers;

#define BITS(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1))
#define MAJORITY(set, of) (BITS((set) & (of)) >= 2)

inline membership_of(n, m) {
  m = 0;
  i = 0;
  do
  :: i < node[n].length ->
     if
     :: node[n].change[i] != KEEP -> m = node[n].change[i]
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

#define DECIDES(set, m) \
  (((m) == 0 && MAJORITY(set, OLD_SET)) || \
   ((m) == 1 && MAJORITY(set, OLD_SET) && MAJORITY(set, NEW_SET)) || \
   ((m) == 2 && MAJORITY(set, NEW_SET)))

#define LAST_TERM(n) \
  (node[n].length == 0 -> 0 : node[n].entry_term[node[n].length - 1])
#define UP_TO_DATE(c, v) \
  (LAST_TERM(c) > LAST_TERM(v) || \
   (LAST_TERM(c) == LAST_TERM(v) && node[c].length >= node[v].length))

inline forget_office(n) {
  node[n].leads = false;
  node[n].votes = 0;
  node[n].commit = 0;
  node[n].no_op = 0;
  i = 0;
  do
  :: i < NODES -> node[n].match[i] = 0; i++
  :: else -> break
  od;
  i = 0
}

inline enter_term(n, new_term) {
  node[n].term = new_term;
  node[n].vote = NONE;
  node[n].synced_vote = NONE;
  forget_office(n)
}

inline append(n, what) {
  node[n].entry_term[node[n].length] = node[n].term;
  node[n].change[node[n].length] = what;
  node[n].length++;
  node[n].match[n] = node[n].length
}

/* The election timeout of c passes. */
inline stand(c) {
  next_term = node[c].term + 1;
  enter_term(c, next_term);
  next_term = 0;
  node[c].vote = c;
  node[c].synced_vote = c;
  node[c].votes = 1 << c
}

/* v takes in c's request and c the answer. */
inline grant_vote(c, v) {
  if
  :: node[v].term < node[c].term ->
     next_term = node[c].term;
     enter_term(v, next_term);
     next_term = 0
  :: else
  fi;
  if
  :: node[v].term == node[c].term && !node[v].leads &&
     (node[v].vote == NONE || node[v].vote == c) && UP_TO_DATE(c, v) ->
     node[v].vote = c;
#ifndef MUTANT_VOTE_BEFORE_SYNC
     node[v].synced_vote = c;
#endif
     node[c].votes = node[c].votes | (1 << v)
  :: else
  fi
}

inline take_office(c) {
  assert(leader_of[node[c].term] == NONE || leader_of[node[c].term] == c);
  leader_of[node[c].term] = c;
  node[c].votes = 0;
  node[c].leads = true;
  append(c, KEEP);
  node[c].no_op = node[c].length
}

/* f takes in the log of l up to k entries, and l the answer. The entries
 * before were checked by the request before; here all of them go at once. */
inline replicate(l, f, k) {
  if
  :: node[f].term < node[l].term ->
     next_term = node[l].term;
     enter_term(f, next_term);
     next_term = 0
  :: else
  fi;
  if
  :: node[f].term == node[l].term ->
     node[f].votes = 0;
     /* Entries that agree stay, also behind k; a conflict cuts the tail. */
     same = true;
     i = 0;
     do
     :: i < k ->
        if
        :: i >= node[f].length ||
           node[f].entry_term[i] != node[l].entry_term[i] -> same = false
        :: else
        fi;
        node[f].entry_term[i] = node[l].entry_term[i];
        node[f].change[i] = node[l].change[i];
        i++
     :: else -> break
     od;
     if
     :: !same ->
        j = k;
        do
        :: j < node[f].length ->
           node[f].entry_term[j] = 0;
           node[f].change[j] = 0;
           j++
        :: else -> break
        od;
        node[f].length = k;
        j = 0
     :: else
     fi;
     i = 0;
     same = false;
     if
     :: node[l].match[f] < k -> node[l].match[f] = k
     :: else
     fi
  :: else
  fi
}

inline lose_disk(n) {
  enter_term(n, 0);
  i = 0;
  do
  :: i < MAX_LOG ->
     node[n].entry_term[i] = 0;
     node[n].change[i] = 0;
     i++
  :: else -> break
  od;
  i = 0;
  node[n].length = 0;
  disk_lost = true
}

/* l commits k entries: whatever was committed before must agree. */
inline commit_to(l, k) {
  i = 0;
  do
  :: i < k ->
     if
     :: i < committed ->
        assert(committed_term[i] == node[l].entry_term[i]);
        assert(committed_change[i] == node[l].change[i])
     :: else ->
        committed_term[i] = node[l].entry_term[i];
        committed_change[i] = node[l].change[i]
     fi;
     i++
  :: else -> break
  od;
  i = 0;
  if
  :: committed < k -> committed = k
  :: else
  fi;
  node[l].commit = k
}

/* Answers count from the start of the round on, in the leader's term. */
inline start_round(l) {
  round_of = l;
  round_term = node[l].term;
  round_commit = node[l].commit;
  round_floor = committed;
  round_answers = 1 << l;
#ifdef MUTANT_COUNT_OLD_ANSWERS
  i = 0;
  do
  :: i < NODES ->
     if
     :: node[l].match[i] > 0 -> round_answers = round_answers | (1 << i)
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0
#endif
}

inline answer_round(l, f) {
  if
  :: round_of == l && round_term == node[l].term && node[f].term == round_term ->
     round_answers = round_answers | (1 << f)
  :: else
  fi
}

inline holders_of(l, k, set) {
  set = 0;
  i = 0;
  do
  :: i < NODES ->
     if
     :: node[l].match[i] >= k -> set = set | (1 << i)
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

#define IS_VOTER(n, m) \
  ((m == 0 && n != 3) || m == 1 || (m == 2 && n != 2))
#ifdef MUTANT_KEEP_VOTE_OF_LOST_DISK
#define ALIVE(n) (1 == 1)
#else
#define ALIVE(n) (n != 2 || !disk_lost)
#endif

/* A change waits for the leader's no-op, and with it for all earlier changes. */
#ifdef CHANGES
#define MAY_CHANGE(l) (disk_lost && node[l].commit >= node[l].no_op)
#define MAY_LOSE_DISK (!disk_lost)
#else
#define MAY_CHANGE(l) (false)
#define MAY_LOSE_DISK (false)
#endif

/* A round reports the commit index of its start. */
#ifdef ROUNDS
#define MAY_ROUND(l) (node[l].leads && round_of == NONE)
#ifdef MUTANT_ROUND_BEFORE_NO_OP
#define KNOWS_COMMIT(l) (true)
#else
#define KNOWS_COMMIT(l) (node[l].commit >= node[l].no_op)
#endif
#else
#define MAY_ROUND(l) (false)
#define KNOWS_COMMIT(l) (false)
#endif

/* COUNTS: an entry of an earlier term is only committed below one of this. */
#ifdef MUTANT_COMMIT_EARLIER_TERM
#define COUNTS(l, k) (true)
#else
#define COUNTS(l, k) (node[l].entry_term[k - 1] == node[l].term)
#endif

init {
  byte a, b, k, m, set, i, j, next_term;
  bool same;
  atomic {
    a = 0;
    do
    :: a < NODES ->
       node[a].vote = NONE;
       node[a].synced_vote = NONE;
       a++
    :: else -> break
    od;
    a = 0;
    do
    :: a <= MAX_TERM -> leader_of[a] = NONE; a++
    :: else -> break
    od;
    a = 0
  }
end:
  do
  :: atomic {
       select(a : 0 .. NODES - 1);
       select(b : 0 .. NODES - 1);
       skip; d_step { membership_of(a, m) };
       if
       /* a stands for election */
       :: a == b && ALIVE(a) && !node[a].leads && node[a].term < MAX_TERM &&
          IS_VOTER(a, m) -> d_step { stand(a) }
       /* b votes for a */
       :: a != b && ALIVE(a) && ALIVE(b) && node[a].votes != 0 &&
          node[b].term <= node[a].term && IS_VOTER(b, m) -> d_step { grant_vote(a, b) }
       /* a has a quorum */
       :: a == b && node[a].votes != 0 && DECIDES(node[a].votes, m) &&
          node[a].length < MAX_LOG -> d_step { take_office(a) }
       /* a replicates to b */
       :: a != b && ALIVE(a) && ALIVE(b) && node[a].leads &&
          (b != 3 || disk_lost) && node[a].length > 0 ->
          select(k : 1 .. MAX_LOG);
          if
          :: k <= node[a].length -> d_step { replicate(a, b, k); answer_round(a, b) }
          :: else
          fi
       /* a commits what a quorum holds */
       :: a == b && node[a].leads && node[a].commit < node[a].length ->
          k = node[a].commit + 1;
          do
          :: k < node[a].length -> k++
          :: break
          od;
          skip; d_step { holders_of(a, k, set) };
          if
          :: DECIDES(set, m) && COUNTS(a, k) -> d_step { commit_to(a, k) }
          :: else
          fi
       /* a appends a command */
       :: a == b && node[a].leads && node[a].length < MAX_LOG -> d_step { append(a, KEEP) }
       /* a starts to replace 2 by 3 */
       :: a == b && node[a].leads && node[a].length < MAX_LOG && m == 0 &&
          MAY_CHANGE(a) ->
#ifdef MUTANT_ONE_STEP_CHANGE
          skip; d_step { append(a, 2) }
#else
          skip; d_step { append(a, 1) }
#endif
       /* a leaves the joint phase once that is committed */
       :: a == b && node[a].leads && node[a].length < MAX_LOG && m == 1 &&
          node[a].commit == node[a].length -> d_step { append(a, 2) }
       /* a starts a round, or has the answers for it */
       :: a == b && MAY_ROUND(a) && KNOWS_COMMIT(a) -> d_step { start_round(a) }
       :: a == b && round_of == a && node[a].leads &&
          node[a].term == round_term && DECIDES(round_answers, m) ->
          assert(round_commit >= round_floor)
       /* a crashes */
       :: a == b && (node[a].leads || node[a].votes != 0 ||
                     node[a].vote != node[a].synced_vote) ->
          d_step {
            forget_office(a);
            node[a].vote = node[a].synced_vote
          }
       /* the disk of 2 is lost */
       :: a == b && a == 2 && MAY_LOSE_DISK ->
          skip; d_step { lose_disk(2) }
       :: else
       fi;
       a = 0;
       b = 0;
       k = 0;
       m = 0;
       set = 0
     }
  od
}
