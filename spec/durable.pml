/* SPDX-License-Identifier: MIT
 *
 * One shard with one durable job of one task, two entries, one agent with its worker, and the platform's store. Entry 0 owns
 * the shard first. It may be frozen or cut off, and the store may remove its claim at any time. Entry 1 then claims the shard,
 * reads it, waits until entry 0 has surrendered it or its lease has expired, and runs the task unless the store or the agent
 * reports its end. The answer to a commit may be lost, and the commit may be carried out later while its claim is in the store.
 * Checked: the task is never done twice, no two runs of it overlap, and an end that was reported is known to the next owner.
 *
 * Rules, each with a mutant that leaves it out:
 *   TOKEN      a write is made only if the claim has the revision that it was written at
 *   WRITTEN    an end is reported, and acknowledged to the agent, only after it is written
 *   LAPSE      an owner stops serving its shards once its lease may have expired
 *   WAITS      a new owner starts no run before the earlier one has surrendered the shard or its lease has expired
 *   RETELL     the agent resends unacknowledged ends to the new owner before the task may run again
 */
#define LEASE 3             /* length of a lease */
#define STOP 1              /* time within which an agent stops the runs of an owner that stopped serving the shard */
#define END 9               /* end of the modelled time */

byte now;
byte claim = 1;             /* revision of the claim in the store: 1 is entry 0's, 2 is entry 1's, 0 is none */
bool ready;                 /* entry 0 has started to serve the shard */
bool written;               /* the end is in the store */
bool told;                  /* the end was reported to a caller or acknowledged to the agent */
byte runs;                  /* runs on the worker */
byte done;                  /* runs that have ended as done */
bool unacked;               /* the agent keeps an end that no entry has acknowledged */
byte runner = 2;            /* the entry whose run is on the worker; 2 is none */

bool owns[2];
bool knows[2];              /* the owner was sent the end */
byte valid;                 /* when entry 0 must assume that its lease has expired */
byte stopped_at = 255;      /* when entry 0 stopped serving the shard; 255 is not yet */
bool frozen;
bool begun;                 /* entry 0 has started a run */
bool late0;                 /* a commit of entry 0 is in flight, and may be carried out later */
byte claimed_at;            /* when entry 1 claimed the shard */

/* An owner that is not frozen drops the shard in time, and checks its lease before it acts. */
#ifdef LAPSE
#define obliged false
#define mayact true
#else
#define obliged (owns[0] && !frozen && now >= valid)
#define mayact (now < valid)
#endif
/* The agent stops the runs of an owner that has stopped serving the shard, frozen or not, in time. */
#define overdue (runs > 0 && runner == 0 && stopped_at != 255 && now >= stopped_at + STOP)

active proctype Time() {
  do
  :: atomic { now < END && !obliged && !overdue -> now++ }
  :: atomic { now == END -> break }
  od
}

inline begin_run(owner) {
  runs++; runner = owner;
  assert(runs <= 1);
  assert(done == 0)
}

/* The agent and its worker. */
active proctype Agent() {
  do
  :: atomic { runs > 0 -> runs = 0; runner = 2; done++; unacked = true; assert(done <= 1) }
  :: atomic { runs > 0 && runner == 0 && stopped_at != 255 -> runs = 0; runner = 2 }
  :: atomic { unacked && owns[0] && !frozen -> knows[0] = true }
#ifdef RETELL
#else
  :: atomic { unacked && owns[1] -> knows[1] = true }
#endif
  :: now == END -> break
  od
}

active proctype Entry0() {
  atomic { owns[0] = true; valid = LEASE; ready = true };
  do
  /* the start of the run, which may wait for resources */
  :: atomic { owns[0] && !frozen && !begun && mayact -> begun = true; begin_run(0) }
  /* a renewal, which fails if the entry is cut off from the store or its claim is gone */
  :: atomic { owns[0] && !frozen && claim == 1 && now < valid && valid <= 4 -> valid = now + LEASE }
  :: atomic { owns[0] && !frozen && stopped_at == 255 && now < valid -> frozen = true }
  :: atomic { frozen ->
       frozen = false;
#ifdef LAPSE
#else
       if :: owns[0] && now >= valid -> owns[0] = false; if :: stopped_at == 255 -> stopped_at = now :: else fi :: else fi
#endif
     }
  :: atomic { owns[0] && !frozen && now >= valid ->
#ifdef LAPSE
       skip
#else
       owns[0] = false; stopped_at = now
#endif
     }
  /* the commit of the end, whose answer may be lost */
  :: atomic { owns[0] && !frozen && knows[0] && !written ->
       if
#ifdef TOKEN
       :: written = true; told = true; unacked = false
#else
       :: claim == 1 -> written = true; told = true; unacked = false
#endif
       :: late0 = true
#ifdef WRITTEN
       :: told = true; unacked = false
#endif
       :: skip
       fi }
#ifdef TOKEN
  :: atomic { late0 -> written = true; late0 = false }
#else
  :: atomic { late0 && claim == 1 -> written = true; late0 = false }
  :: atomic { late0 && claim != 1 -> late0 = false }
#endif
  :: now == END -> break
  od
}

/* The store may remove entry 0's claim at any time, also before its lease expires. */
active proctype Store() {
  atomic { ready && claim == 1 -> claim = 0 }
}

active proctype Entry1() {
  bool read_done;
  atomic { claim == 0 -> claim = 2; claimed_at = now };
  /* the shard is read after it is claimed */
  atomic { read_done = written };
#ifdef WAITS
#else
  /* entry 0 surrenders the shard, does not own it any more, or its lease has expired */
  atomic {
    if
    :: owns[0] && !frozen -> owns[0] = false; stopped_at = now
    :: !owns[0] -> skip
    :: now >= claimed_at + LEASE -> if :: stopped_at == 255 -> stopped_at = now :: else fi
    fi };
  /* the agent has stopped the runs of entry 0 */
  (now >= stopped_at + STOP && (runs == 0 || runner != 0) || now == END);
#endif
  atomic { owns[1] = true };
  /* unacknowledged ends arrive before the task may run */
#ifdef RETELL
#else
  (!unacked || knows[1] || now == END);
#endif
  atomic {
    if
    :: now < END && !read_done && !knows[1] ->
         assert(!told);
         begin_run(1)
    :: else
    fi }
}
