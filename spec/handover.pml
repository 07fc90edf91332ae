/* SPDX-License-Identifier: MIT
 *
 * An entry stops as planned and hands its bindings to another entry while a successor fences a key.
 * Entry 0 leaves, entry 1 is its heir; A is the settled first choice, S its successor.
 * Holds: the submission starts at most once.
 *
 * Go code: internal/native/ownership. docs/PROOFS.md lists the function that carries each rule.
 *
 * Rules and their mutants:
 *   NOBINDINGS  a leaving entry hands its bindings over before it leaves the roster
 *   DROPASKED   a fence waits for the promise of an entry that was asked, also after the entry has left
 *   KEEPOWN     a key with two bindings that differ is sent to neither owner
 */
#define NONE 0
#define A 1
#define S 2
#define STUCK 3            /* a conflict of two bindings: the key is sent to no owner */

byte bound[2];             /* the owner to which an entry has bound the key */
bool sent[2];              /* the entry has sent the key to that owner */
bool promised[2];          /* a fence has bound the key */
bool closed;               /* entry 0 has handed over */
bool left;                 /* the roster lists entry 0 no longer */
byte to_a;                 /* requests under way to A */
byte to_s[2];              /* to S, under the epoch before entry 0 left */
byte to_s_after;           /* to S, of entry 1 under the epoch after */
bool knows[2];             /* an entry has seen that entry 0 left */
bool knows_s;              /* S has seen that entry 0 left */
byte started;              /* how often the submission has started */

inline start_once() { started++; assert(started <= 1) }

inline forward(i) {
  sent[i] = true;
  if
  :: bound[i] == A -> to_a++
  :: bound[i] == S && knows[i] -> to_s_after++
  :: bound[i] == S && !knows[i] -> to_s[i]++
  :: else
  fi
}

proctype Entry(byte i) {
  byte requests = 0;
  do
  :: atomic { requests < 2 && !(i == 0 && closed) -> requests++;
       if
       :: bound[i] == NONE -> if :: bound[i] = A :: bound[i] = S fi; forward(i)
       :: bound[i] != NONE -> forward(i)
       fi }
  :: atomic { i == 0 && !closed -> closed = true;
#ifndef NOBINDINGS
       if
       :: bound[0] == NONE
       :: bound[0] != NONE && (bound[1] == NONE || (!sent[1] && !promised[1])) ->
          bound[1] = bound[0]; sent[1] = sent[0]; promised[1] = promised[0]
       :: bound[0] != NONE && bound[1] == bound[0] -> sent[1] = (sent[0] || sent[1]); promised[1] = true
       :: bound[0] != NONE && bound[1] != NONE && bound[1] != bound[0] && (sent[1] || promised[1]) ->
#ifndef KEEPOWN
          bound[1] = STUCK
#else
          skip
#endif
       fi
#endif
     }
  :: atomic { i == 0 && closed && !left -> left = true }
  :: atomic { i == 1 && left && !knows[1] -> knows[1] = true }
  :: timeout -> break
  od
}

proctype First() {
  bool held = false;
  do
  :: atomic { to_a > 0 -> to_a--; if :: !held -> held = true; start_once() :: else fi }
  :: timeout -> break
  od
}

/* ask asks entry j for its promise; without one, clear becomes false. */
inline ask(j) {
  atomic {
    if
    :: j == 0 && closed -> clear = false
    :: (j == 1 || !closed) && (bound[j] == NONE || bound[j] == S) -> bound[j] = S; promised[j] = true
    :: (j == 1 || !closed) && (bound[j] == A || bound[j] == STUCK) -> clear = false
    :: clear = false
    fi
  }
}

proctype Successor() {
  byte from; bool clear; bool decided = false;
  do
  :: atomic { left && !knows_s -> knows_s = true }
  :: atomic { to_s[0] > 0 -> to_s[0]--; from = 0; if :: knows_s -> skip :: else -> goto fence fi }
  :: atomic { to_s[1] > 0 -> to_s[1]--; from = 1; if :: knows_s -> skip :: else -> goto fence fi }
  :: atomic { to_s_after > 0 -> to_s_after--; knows_s = true; from = 1; goto fence }
  :: timeout -> break
  od;
  goto done;
fence:
  clear = true;
  if
  :: from == 0 -> ask(1)
  :: from == 1 && !knows_s ->
#ifdef DROPASKED
     if
     :: ask(0)
     :: atomic { left -> skip }
     fi
#else
     ask(0)
#endif
  :: from == 1 && knows_s -> skip
  fi;
  atomic { if :: !decided && clear -> start_once() :: else fi; decided = true };
done: skip
}

init { atomic { run Entry(0); run Entry(1); run First(); run Successor() } }
