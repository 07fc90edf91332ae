/* SPDX-License-Identifier: MIT
 *
 * An entry joins the roster while a successor fences a key, and the earlier entry may die.
 * Entries 0 and 1 are listed from epoch 1, entry 2 from epoch 2; A is the settled first choice,
 * S its successor. Holds: the submission starts at most once.
 *
 * Go code: internal/native/ownership. docs/PROOFS.md lists the function that carries each rule.
 *
 * Rules and their mutants:
 *   NOACK      a joined entry forwards keys only after the earlier ones have acknowledged its epoch
 *   NOISSUE    and of those only the keys that were issued after that
 *   NOCATCHUP  a fence asks every entry of the highest epoch that an entry answers with
 *   NOTOMB     a joined entry does not forward an older key that only a dead entry may forward
 */
#define NONE 0
#define A 1
#define S 2

byte bound[3];      /* the owner to which an entry has bound the key */
byte epoch[3];      /* the epoch that an entry uses */
bool up[3];         /* the entry is alive */
bool issued;        /* the key is issued, */
bool issued_after;  /* after both earlier entries had acknowledged epoch 2 */
byte to_a, to_s;    /* requests under way to each owner */
byte started;       /* how often the submission has started */

inline forward(i) {
  if
  :: bound[i] == NONE -> if :: bound[i] = A; to_a++ :: bound[i] = S; to_s++ fi
  :: bound[i] == A -> to_a++
  :: bound[i] == S -> to_s++
  fi
}

proctype Issuer() {
  atomic { issued = true; issued_after = (epoch[0] == 2 && epoch[1] == 2) }
}

proctype Earlier(byte i) {
  byte sent = 0;
  do
  :: atomic { up[i] && epoch[i] == 1 -> epoch[i] = 2 }
  :: atomic { up[i] && issued && sent < 2 -> sent++; forward(i) }
  :: atomic { up[i] && i == 0 -> up[0] = false; bound[0] = NONE }
  :: timeout -> break
  od
}

proctype Joined() {
  byte sent = 0;
  do
  :: atomic { issued && sent < 2 -> sent++;
       if
#if defined(NOACK)
       :: forward(2)
#elif defined(NOISSUE)
       :: epoch[0] == 2 && epoch[1] == 2 -> forward(2)
       :: else -> skip
#else
       :: issued_after -> forward(2)
       :: !issued_after && up[0] -> forward(0)      /* relayed */
       :: !issued_after && !up[0] ->
#ifdef NOTOMB
          forward(2)
#else
          skip                                       /* the outcome is unknown */
#endif
#endif
       fi }
  :: timeout -> break
  od
}

proctype First() {
  bool held = false;
end:
  do
  :: atomic { to_a > 0 -> to_a--; if :: !held -> held = true; started++; assert(started <= 1) :: else fi }
  od
}

proctype Successor() {
  byte i; byte known; bool clear; bool decided = false;
end:
  do
  :: atomic { to_s > 0 -> to_s-- };
     if
     :: decided
     :: else ->
        clear = true; known = 2; i = 0;
        do
        :: i < known -> atomic {
             if
             :: !up[i] -> clear = false
             :: up[i] && bound[i] == A -> clear = false
             :: up[i] && bound[i] != A -> bound[i] = S;
#ifndef NOCATCHUP
                if :: epoch[i] == 2 -> known = 3 :: else fi
#else
                skip
#endif
             :: up[i] -> clear = false               /* no answer */
             fi; i++ }
        :: else -> break
        od;
        atomic { decided = true; if :: clear -> started++; assert(started <= 1) :: else fi }
     fi
  od
}

init {
  atomic {
    epoch[0] = 1; epoch[1] = 1; epoch[2] = 2; up[0] = true; up[1] = true; up[2] = true;
    run Issuer(); run Earlier(0); run Earlier(1); run Joined(); run First(); run Successor()
  }
}
