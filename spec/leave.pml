/* SPDX-License-Identifier: MIT
 *
 * The first choice A stops as planned, or dies and starts anew, while its successor H becomes its heir.
 * One key, two entries. Holds: the submission starts at most once.
 *
 * Go code: internal/native/ownership. docs/PROOFS.md lists the function that carries each rule.
 *
 * Rules and their mutants:
 *   NORECORDS   a leaving owner hands its records to the heir before it leaves the roster
 *   FENCEPAST   records that come while an heir fences the key end the fence
 *   TAKELATE    a leaving owner runs no key after it has handed its records over
 *   WRONGINC    a restarted owner refuses requests to its earlier incarnation
 *   RESETTLE    for a restarted owner a key issued before its restart is not settled
 */
#define E 2
#define NONE 0
#define A 1
#define H 2
#define B 3       /* A's next incarnation */

byte bound[E];    /* the owner to which an entry has bound the key */
bool sent[E];     /* the entry has sent the key to that owner */
bool promised[E]; /* a fence has bound the key */
byte seen[E];     /* what an entry knows of A: 0 listed, 1 left, 2 dead with B in its place */
byte roster;      /* the same in the roster */
bool handed;      /* A has handed its records over */
bool records;     /* H has A's record of the key */
bool held_a;      /* A has a record of the key */
bool decided_h;   /* H has run or declined the key */
bool decided_b;   /* B has run or declined the key */
byte to_a, to_h, to_b; /* requests under way to each owner */
byte started;     /* how often the submission has started */

inline start_once() { started++; assert(started <= 1) }

inline forward(i) {
  sent[i] = true;
  if
  :: bound[i] == A -> to_a++
  :: bound[i] == H -> to_h++
  :: bound[i] == B -> to_b++
  fi
}

proctype Entry(byte i) {
  byte requests = 0;
  do
  :: atomic { seen[i] != roster -> seen[i] = roster }
  :: atomic { requests < 2 -> requests++;
       if
       :: bound[i] == NONE && seen[i] == 0 -> bound[i] = A; forward(i)
       :: bound[i] == NONE && seen[i] == 0 -> bound[i] = H; forward(i)  /* A cannot be dialled */
       :: bound[i] == NONE && seen[i] == 1 -> bound[i] = H; forward(i)
       :: bound[i] == NONE && seen[i] == 2 -> bound[i] = B; forward(i)
       :: bound[i] == A && seen[i] == 0 -> forward(i)
       :: bound[i] == A && seen[i] == 1 -> bound[i] = H; forward(i)   /* A's heir */
       :: bound[i] == A && seen[i] == 2 -> skip                       /* unknown */
       :: bound[i] == H -> forward(i)
       :: bound[i] == B -> forward(i)
       fi }
  :: timeout -> break
  od
}

proctype First() {
  do
  :: atomic { to_a > 0 && roster != 2 -> to_a--;
       if
       :: held_a
#ifdef TAKELATE
       :: !held_a -> held_a = true; start_once()
#else
       :: !held_a && !handed -> held_a = true; start_once()
       :: !held_a && handed                                            /* declined */
#endif
       fi }
  :: atomic { !handed && roster == 0 -> handed = true;
#ifndef NORECORDS
       records = held_a
#endif
     }
  :: atomic { handed && roster == 0 -> roster = 1 }
  :: atomic { !handed && roster == 0 -> roster = 2 }                   /* death and restart */
  :: timeout -> break
  od
}

inline fence(owner, clear) {
  j = 0;
  do
  :: j < E -> atomic {
       if
       :: bound[j] == NONE || bound[j] == owner || !sent[j] && !promised[j] -> bound[j] = owner; promised[j] = true
       :: bound[j] == A && owner == H && roster == 1 -> bound[j] = H; promised[j] = true
       :: else -> clear = false
       fi; j++ }
  :: else -> break
  od
}

proctype Heir() {
  byte j; bool clear;
  do
  :: atomic { to_h > 0 -> to_h-- };
     if
     :: records || decided_h
     :: else -> clear = true;
        fence(H, clear);
        atomic { decided_h = true;
          if
#ifdef FENCEPAST
          :: clear -> start_once()
#else
          :: clear && !records -> start_once()
#endif
          :: else
          fi }
     fi
  :: timeout -> break
  od
}

proctype Restarted() {
  byte j; bool clear;
  do
  :: atomic { roster == 2 && to_b > 0 -> to_b-- };
     if
     :: decided_b
     :: else -> clear = true;
#ifndef RESETTLE
        fence(B, clear);
#endif
        atomic { decided_b = true; if :: clear -> start_once() :: else fi }
     fi
#ifdef WRONGINC
  :: atomic { roster == 2 && to_a > 0 -> to_a--; if :: !decided_b -> decided_b = true; start_once() :: else fi }
#endif
  :: timeout -> break
  od
}

init {
  atomic { run Entry(0); run Entry(1); run First(); run Heir(); run Restarted() }
}
