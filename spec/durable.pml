/* SPDX-License-Identifier: MIT
 *
 * One shard with one kept job of one task, two entries, one agent's worker and the platform's store. Entry 0 owns the
 * shard first; it may be frozen, cut from the store or killed, and the store may take its claim away. Entry 1 claims the
 * shard then, reads it, has entry 0 give it up or waits for its lease, and runs the task unless the store says that it is
 * done. A commit's answer may be lost, and the commit carried out later while its claim holds. Holds: the task is not done
 * twice, no two runs of it go on at a time, and what was told as done is done for the next owner.
 *
 * Rules and their mutants:
 *   TOKEN      a write rests on the claim's revision
 *   WRITTEN    an end is told, and the worker may forget it, only after it is written
 *   LAPSE      an owner gives its shards up once its lease may have run out
 *   WAITS      a new owner has the earlier one give the shard up, or waits for its lease, before it runs anything
 *   RETELL     the agent tells the new owner of an end that nobody has noted before the task may run again
 */
#define LEASE 3             /* the time of a lease */
#define STOP 1              /* the time in which an agent stops the runs of an owner that gave up */
#define END 9

byte now;
byte claim = 1;             /* revision of the claim in the store: 1 is entry 0's, 2 entry 1's; 0 is none */
bool ready;                 /* entry 0 owns the shard */
bool written;               /* the end is in the store */
bool told;                  /* a caller was told of the end, or the worker may forget it */
byte runs;                  /* runs that go on at the worker */
byte done;                  /* runs that were done */
bool unnoted;               /* the agent keeps an end that nobody has noted */
byte runner = 2;            /* the owner of the run that goes on; 2 is none */

bool owns[2];
bool knows[2];              /* the owner knows of the end */
byte valid;                 /* entry 0's lease holds before this time, as it believes */
byte gaveup = 255;          /* when entry 0 gave the shard up */
bool frozen;
bool begun;                 /* entry 0 has begun a run */
bool late0;                 /* a commit of entry 0 may be carried out later */
byte claimed_at;

/* A living owner gives up in time, and looks at its lease before it does anything. */
#ifdef LAPSE
#define obliged false
#define mayact true
#else
#define obliged (owns[0] && !frozen && now >= valid)
#define mayact (now < valid)
#endif
/* The agent ends the runs of an owner that gave up, or that is frozen, in time. */
#define overdue (runs > 0 && runner == 0 && gaveup != 255 && now >= gaveup + STOP)

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
  :: atomic { runs > 0 -> runs = 0; runner = 2; done++; unnoted = true; assert(done <= 1) }
  :: atomic { runs > 0 && runner == 0 && gaveup != 255 -> runs = 0; runner = 2 }
  :: atomic { unnoted && owns[0] && !frozen -> knows[0] = true }
#ifdef RETELL
#else
  :: atomic { unnoted && owns[1] -> knows[1] = true }
#endif
  :: now == END -> break
  od
}

active proctype Entry0() {
  atomic { owns[0] = true; valid = LEASE; ready = true };
  do
  /* the run, which may wait for room */
  :: atomic { owns[0] && !frozen && !begun && mayact -> begun = true; begin_run(0) }
  /* a renewal, while the store serves this entry and the claim holds */
  :: atomic { owns[0] && !frozen && claim == 1 && now < valid && valid <= 4 -> valid = now + LEASE }
  :: atomic { owns[0] && !frozen && gaveup == 255 && now < valid -> frozen = true }
  :: atomic { frozen ->
       frozen = false;
#ifdef LAPSE
#else
       if :: owns[0] && now >= valid -> owns[0] = false; if :: gaveup == 255 -> gaveup = now :: else fi :: else fi
#endif
     }
  :: atomic { owns[0] && !frozen && now >= valid ->
#ifdef LAPSE
       skip
#else
       owns[0] = false; gaveup = now
#endif
     }
  /* the commit of the end, whose answer may be lost */
  :: atomic { owns[0] && !frozen && knows[0] && !written ->
       if
#ifdef TOKEN
       :: written = true; told = true; unnoted = false
#else
       :: claim == 1 -> written = true; told = true; unnoted = false
#endif
       :: late0 = true
#ifdef WRITTEN
       :: told = true; unnoted = false
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

/* The store takes entry 0's claim away at any moment, also before its lease runs out. */
active proctype Store() {
  atomic { ready && claim == 1 -> claim = 0 }
}

active proctype Entry1() {
  bool read_done;
  atomic { claim == 0 -> claim = 2; claimed_at = now };
  /* what the store holds is read after the claim */
  atomic { read_done = written };
#ifdef WAITS
#else
  /* entry 0 gives the shard up when it is asked, or its lease has run out */
  atomic {
    if
    :: owns[0] && !frozen -> owns[0] = false; gaveup = now
    :: !owns[0] -> skip
    :: now >= claimed_at + LEASE -> if :: gaveup == 255 -> gaveup = now :: else fi
    fi };
  /* the agent stops what ran for it */
  (now >= gaveup + STOP && (runs == 0 || runner != 0) || now == END);
#endif
  atomic { owns[1] = true };
  /* ends that nobody has noted are told before the task may run */
#ifdef RETELL
#else
  (!unnoted || knows[1] || now == END);
#endif
  atomic {
    if
    :: now < END && !read_done && !knows[1] ->
         assert(!told);
         begin_run(1)
    :: else
    fi }
}
