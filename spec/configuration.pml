/* SPDX-License-Identifier: MIT
 *
 * The configuration: two operators change it at the same moment, answers of the platform are lost, two nodes
 * exchange versions by gossip, one of them restarts, and the platform has outages.
 * Asserted: each change takes effect once and none is lost; a node that serves never returns to a lower version; a node
 * that has restarted does not serve under a lower version than one that was in force on every node.
 *
 * Rules and their mutants:
 *   NOCAS     a write compares the revision that was read
 *   NOID      after a lost answer the operator checks for the change before writing it again
 *   ANYVER    a node accepts only a higher version
 *   NOLEARN   a node reads the platform before it serves
 */
#define N 2

byte version;              /* at the platform */
byte applied[2];           /* how often each operator's change took effect */
byte contents[2];          /* ... and is in the current version */
bool committed[2];
bool down;
byte node[N];
bool serving[N];
byte in_force;             /* the highest version that every node has had */

/* update_in_force: a version is in force once every node serves and has it or a higher one. */
inline update_in_force() {
  if
  :: serving[0] && serving[1] && node[0] <= node[1] && node[0] > in_force -> in_force = node[0]
  :: serving[0] && serving[1] && node[1] < node[0] && node[1] > in_force -> in_force = node[1]
  :: else
  fi
}

/* accept: a node uses a version from now on. */
inline accept(i, v) { assert(!serving[i] || v >= node[i]); node[i] = v }

/* check: a node that serves has at least the version in force. */
inline check(i) { assert(!serving[i] || node[i] >= in_force) }

proctype Operator(byte o) {
  byte read; byte tries = 0; byte own0; byte own1;
  do
  :: tries < 3 -> tries++;
     atomic { !down -> read = version; own0 = contents[0]; own1 = contents[1] };
#ifndef NOID
     if
     :: (o == 0 && own0 > 0) || (o == 1 && own1 > 0) -> committed[o] = true; break
     :: else
     fi;
#endif
     atomic {
       if
#ifndef NOCAS
       :: !down && version == read ->
#else
       :: !down ->
#endif
          version++;
          contents[0] = own0; contents[1] = own1;
          contents[o]++; applied[o]++;
          assert(applied[o] <= 1);
          assert(!committed[1 - o] || contents[1 - o] > 0);
          if
          :: committed[o] = true; break
          :: skip                                   /* the answer is lost */
          fi
       :: else -> skip                              /* conflict or outage */
       fi }
  :: tries == 3 -> break
  od
}

proctype Platform() {
  byte outages = 0;
  do
  :: atomic { outages < 1 && !down -> down = true; outages++ }
  :: atomic { down -> down = false }
  :: timeout -> break
  od
}

proctype Node(byte i) {
  byte restarts = 0;
  do
  :: atomic { !down && !serving[i] && version >= node[i] -> node[i] = version; serving[i] = true; update_in_force(); check(i) }
#ifdef NOLEARN
  :: atomic { !serving[i] -> serving[i] = true; update_in_force(); check(i) }
#endif
#ifdef ANYVER
  :: atomic { serving[i] && serving[1 - i] -> accept(i, node[1 - i]); update_in_force(); check(i) }
#else
  :: atomic { node[1 - i] > node[i] -> accept(i, node[1 - i]); update_in_force(); check(i) }
#endif
  :: atomic { !down && serving[i] && version > node[i] -> accept(i, version); update_in_force(); check(i) }
  :: atomic { i == 0 && restarts < 1 -> restarts++; node[0] = 0; serving[0] = false }
  :: timeout -> break
  od
}

init {
  atomic { run Operator(0); run Operator(1); run Platform(); run Node(0); run Node(1) }
}
