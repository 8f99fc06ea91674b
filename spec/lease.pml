/* File: lease.pml
 *
 * Configuration leases: accept, in force, isolated and restarted holders,
 * relayed proofs.
 *
 * QUORUM stands for the control group: it accepts changes and answers with a
 * proof of age 0. Two holders poll the quorum or each other. Time is a tick
 * that ages everything by one; ages stop counting at LENGTH, where a lease has
 * ended. A holder that is isolated, frozen or slow is one whose steps are not
 * taken; a message is delayed by not taking it, lost by overwriting it, and
 * doubled by taking it and leaving it.
 *
 * Checked: no holder acts on a revision older than one that is in force, and
 * no holder's revision goes back within one run.
 *
 * Left out: clock drift (covered by lease_bound_test), snapshots in pieces,
 * how the quorum knows that it leads (consensus.pml), more than two holders,
 * more than MAX_REVISION changes.
 *
 * Mutants that must fail: MUTANT_BASIS, MUTANT_NONCE, MUTANT_RELAY,
 * MUTANT_PROOF, MUTANT_REVERT, MUTANT_EARLY.
 */
#define LENGTH 3
#define MAX_REVISION 2
#define HOLDERS 2
#define NONE 255

#ifdef MUTANT_EARLY
#define IN_FORCE_AFTER (LENGTH - 1)
#else
#define IN_FORCE_AFTER LENGTH
#endif

byte accepted = 0;                      /* the quorum's revision */
byte accepted_age[MAX_REVISION + 1];    /* of each change */

byte revision[HOLDERS];    /* that a holder has */
byte basis_age[HOLDERS];   /* of its proof; LENGTH: no lease */
byte proven[HOLDERS];      /* the proof's revision */
byte asked_age[HOLDERS];   /* of its poll without an answer; NONE: none */

byte answer_age[HOLDERS];       /* stated in the answer on its way; NONE: none */
byte answer_proven[HOLDERS];
byte answer_revision[HOLDERS];
bool answer_current[HOLDERS];   /* it answers the newest poll of this run */

#define AGE(x) if :: x < LENGTH -> x++ :: else fi

inline Tick() {
  i = 1;
  do
  :: i <= MAX_REVISION -> AGE(accepted_age[i]); i++
  :: else -> break
  od;
  i = 0;
  do
  :: i < HOLDERS ->
     AGE(basis_age[i]);
     if
     :: asked_age[i] != NONE -> AGE(asked_age[i])
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

/* A new poll makes the answers to earlier ones worthless. */
inline Poll(h) {
  asked_age[h] = 0;
  answer_current[h] = false
}

inline Restart(h) {
  revision[h] = 0;
  basis_age[h] = LENGTH;
  proven[h] = 0;
  asked_age[h] = NONE;
  answer_current[h] = false
}

/* `have` is what the answerer has; a long answer is cut short. */
inline FillAnswer(h, age, proof, have) {
  answer_age[h] = age;
  answer_proven[h] = proof;
  answer_current[h] = true;
  if
  :: answer_revision[h] = have
  :: have > 0 -> answer_revision[h] = have - 1
  fi
}

inline AnswerByQuorum(h) {
  FillAnswer(h, 0, accepted, accepted)
}

inline AnswerByHolder(h, by) {
#ifdef MUTANT_RELAY
  FillAnswer(h, 0, proven[by], revision[by])
#else
  FillAnswer(h, basis_age[by], proven[by], revision[by])
#endif
}

inline TakeAnswer(h) {
#ifdef MUTANT_REVERT
  revision[h] = answer_revision[h];
#else
  if
  :: answer_revision[h] > revision[h] -> revision[h] = answer_revision[h]
  :: else
  fi;
#endif
  /* The basis is the time of asking less the stated age. */
#ifdef MUTANT_BASIS
  i = answer_age[h];
#else
  i = asked_age[h] + answer_age[h];
#endif
#ifdef MUTANT_PROOF
  if
  :: i < basis_age[h] ->
#else
  if
  :: i < basis_age[h] && revision[h] >= answer_proven[h] ->
#endif
     basis_age[h] = i;
     proven[h] = answer_proven[h]
  :: else
  fi;
  i = 0;
  asked_age[h] = NONE;
  answer_current[h] = false
}

#ifdef MUTANT_NONCE
#define MAY_TAKE(h) (answer_age[h] != NONE && asked_age[h] != NONE)
#else
#define MAY_TAKE(h) (answer_current[h] && asked_age[h] != NONE)
#endif

#define MAY_ACT(h) (basis_age[h] < LENGTH)

/* Whoever acts has each change that is in force. */
inline CheckBound(h) {
  if
  :: MAY_ACT(h) ->
     i = 1;
     do
     :: i <= accepted ->
        assert(accepted_age[i] < IN_FORCE_AFTER || revision[h] >= i);
        i++
     :: else -> break
     od;
     i = 0
  :: else
  fi
}

init {
  byte i = 0;
  byte h = 0;
  byte before = 0;
  atomic {
    do
    :: h < HOLDERS ->
       basis_age[h] = LENGTH;
       asked_age[h] = NONE;
       answer_age[h] = NONE;
       h++
    :: else -> break
    od;
    h = 0
  }
  do
  :: atomic { Tick() }
  :: atomic {
       accepted < MAX_REVISION ->
       accepted++;
       accepted_age[accepted] = 0
     }
  :: atomic {
       if :: h = 0 :: h = 1 fi;
       if
       :: Poll(h)
       :: Restart(h)
       :: asked_age[h] != NONE -> AnswerByQuorum(h)
       :: asked_age[h] != NONE && MAY_ACT(1 - h) -> AnswerByHolder(h, 1 - h)
       :: MAY_TAKE(h) ->
          before = revision[h];
          TakeAnswer(h);
          assert(revision[h] >= before);
          before = 0
       fi;
       h = 0
     }
  :: atomic { CheckBound(0); CheckBound(1) }
  od
}
