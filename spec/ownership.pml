/* SPDX-License-Identifier: MIT
 *
 * One submission key, two entries, the settled first choice A and its successor S.
 * Entries crash, forwards and replies are late or lost, owners are unreachable, A crashes.
 * Holds: the submission starts at most once.
 *
 * Go code: internal/native/ownership. docs/PROOFS.md lists the function that carries each rule.
 *
 * Rules and their mutants:
 *   NOMEMO        an entry binds the key to an owner before it forwards the key
 *   NOFENCE       an entry that promises binds the key to the owner that asked
 *   MOVELOST      a key that a request may have carried to its owner does not move
 *   MOVEPROMISED  a promised key does not move
 *   REDECIDE      an owner that declined a key never runs it
 *   IGNOREDEAD    a fence fails if an entry is dead, as its bindings are lost
 */
#define E 2
#define NONE 0
#define A 1
#define S 2
#define TAKEN 1
#define DECLINED 2

byte bound[E];             /* the owner to which an entry has bound the key */
byte unconfirmed[E];       /* requests to that owner without a result */
bool promised[E];          /* a fence has bound the key */
bool taken[E];             /* the owner has answered for the key */
bool up[E];                /* the entry is alive */
bool alive_a = true;
byte started;              /* how often the submission has started */
chan to_a = [3] of { byte };            /* the entry that sends the request */
chan to_s = [3] of { byte };
chan reply[E] = [3] of { byte, byte };  /* the owner, and TAKEN or DECLINED */

#define movable(i) ((unconfirmed[i] == 0 || lost_moves) && (!promised[i] || promise_moves) && !taken[i])
#ifdef MOVELOST
#define lost_moves true
#else
#define lost_moves false
#endif
#ifdef MOVEPROMISED
#define promise_moves true
#else
#define promise_moves false
#endif

inline send(i) {
  unconfirmed[i]++;
  if
  :: bound[i] == A && nfull(to_a) -> to_a!i
  :: bound[i] == S && nfull(to_s) -> to_s!i
  :: else -> skip
  fi;
#ifdef NOMEMO
  bound[i] = NONE; unconfirmed[i] = 0
#endif
}

proctype Entry(byte i) {
  byte requests = 0; byte owner; byte what;
  do
  :: atomic { up[i] && requests < 2 -> requests++;
       if :: bound[i] == NONE -> bound[i] = A :: else fi;
       if
       :: send(i)
       :: movable(i) -> bound[i] = 3 - bound[i];   /* the owner cannot be dialled */
          if :: send(i) :: skip fi
       :: skip                                     /* no route: the outcome is unknown */
       fi }
  :: atomic { up[i] && nempty(reply[i]) -> reply[i]?owner, what;
       if
       :: owner == bound[i] && what == TAKEN -> taken[i] = true;
          if :: unconfirmed[i] > 0 -> unconfirmed[i]-- :: else fi
       :: owner == bound[i] && what == DECLINED && !taken[i] ->
          unconfirmed[i] = 0; promised[i] = false; bound[i] = 3 - bound[i]
       :: else
       fi }
  :: atomic { up[i] -> up[i] = false; bound[i] = NONE; unconfirmed[i] = 0; promised[i] = false; taken[i] = false }
  :: timeout -> break
  od
}

inline answer(i, owner, what) {
  if
  :: nfull(reply[i]) -> reply[i]!owner, what
  :: skip                                          /* the reply is lost */
  fi
}

proctype First() {
  byte i; bool held = false;
  do
  :: atomic { alive_a && nempty(to_a) -> to_a?i;
       if
       :: !held -> held = true; started++; assert(started <= 1)
       :: else
       fi;
       answer(i, A, TAKEN) }
  :: atomic { alive_a -> alive_a = false; break }
  :: timeout -> break
  od
}

proctype Successor() {
  byte i; byte j; bool held = false; bool declined = false; bool clear;
  do
  :: atomic { nempty(to_s) -> to_s?i };
     if
     :: held -> atomic { answer(i, S, TAKEN) }
     :: declined -> atomic { answer(i, S, DECLINED) }
     :: else ->
        clear = true; j = 0;
        do
        :: j < E -> atomic {
             if
             :: j == i                              /* the request of an entry counts as its promise */
             :: j != i && !up[j] ->
#ifndef IGNOREDEAD
                clear = false
#else
                skip
#endif
             :: j != i && up[j] && (bound[j] == NONE || bound[j] == S || movable(j)) ->
#ifndef NOFENCE
                bound[j] = S; promised[j] = true
#else
                skip
#endif
             :: j != i && up[j] && bound[j] == A && !movable(j) -> clear = false
             :: j != i && up[j] -> clear = false    /* no answer in time */
             fi; j++ }
        :: else -> break
        od;
        atomic {
          if
          :: clear -> held = true; started++; assert(started <= 1); answer(i, S, TAKEN)
          :: else ->
#ifndef REDECIDE
             declined = true;
#endif
             answer(i, S, DECLINED)
          fi }
     fi
  :: timeout -> break
  od
}

init {
  atomic { up[0] = true; up[1] = true; run Entry(0); run Entry(1); run First(); run Successor() }
}
