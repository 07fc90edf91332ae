/* SPDX-License-Identifier: MIT
 *
 * One task, the entry that owns it, two agents and their workers, on discrete time. The entry places the task at
 * agent 0; at any moment it loses that session, waits and places the task at agent 1. Orders, echoes and starts are
 * late or lost; agent 0 freezes, thaws and dies. Holds: no two runs of the task go on at the same time.
 *
 * Rules and their mutants:
 *   EARLY      the entry places a task again only after the session's and the lease's time
 *   NOSTOP     an agent stops the runs of a session whose time is over
 *   NOCHECK    an agent looks at the session right before a start
 *   STALE      an echo prolongs the session from when its ping was sent, not from when it came
 *   NOFENCE    a start without an answer is stopped before the task is run again
 *   ENDLESS    a start is good only until the end of its lease
 *   STOPTIME   a run that was stopped may go on, unlisted, for the time of a stop before the task is run again
 */
#define S 2                 /* the session's time */
#define H 2                 /* the lease's time */
#define STOP 1              /* the longest time of a stop at the worker */
#define SETTLE (S + H)
#define END 7
#define NONE 255

byte now;
byte runs[2];               /* runs that go on at the worker */
byte lease[2];
byte inflight[2];           /* starts on their way to the worker */
byte until[2];
bool ordered[2];            /* the entry's order on its way to the agent */
bool holding[2];            /* the agent may have a run at the worker */
byte session[2];            /* the session is valid before this time */
byte echo[2] = NONE;        /* time of a ping whose echo is under way */
byte pinged;
bool frozen[2];
bool dead[2];
bool stopping[2];           /* the worker has taken a stop for the run */
byte stopped_by[2];         /* when that run has ended at the latest */
bool settling;              /* agent 0 has stopped a start without an answer and waits for the run's end */
byte settled_at;
bool again;                 /* the task was run again after a start without an answer */
bool lost;                  /* the entry has given up the session with agent 0 */
byte lost_at;

#define awake(g) (!dead[g] && !frozen[g])
#define valid(g) (now < session[g])

/* A living agent has stopped the runs of an ended session before time goes on. */
#ifdef NOSTOP
#define obliged(g) false
#else
#define obliged(g) (awake(g) && !valid(g) && holding[g])
#endif

inline begin_run(g) {
  runs[g]++;
  assert(runs[0] + runs[1] <= 1)
}

/* A stop fences the starts that are under way at once; a run goes on until the worker ends it. */
inline stop_run(g) {
  inflight[g] = 0;
  if :: runs[g] > 0 && !stopping[g] -> stopping[g] = true; stopped_by[g] = now + STOP :: else fi
}

inline end_run(g) {
  runs[g] = 0; stopping[g] = false
}

inline end_run_if_over(g) {
  if :: runs[g] > 0 && (now >= lease[g] || stopping[g] && now >= stopped_by[g]) -> end_run(g) :: else fi
}

active proctype Time() {
  do
  :: atomic { now < END && !obliged(0) && !obliged(1) ->
       now++;
       end_run_if_over(0);
       end_run_if_over(1) }
  :: now == END -> break
  od
}

active proctype Entry() {
  atomic { ordered[0] = true; session[0] = S };
  atomic { lost = true; lost_at = now };
#ifdef EARLY
  atomic { now >= lost_at + S -> ordered[1] = true; session[1] = now + S }
#else
  atomic { now >= lost_at + SETTLE -> ordered[1] = true; session[1] = now + S }
#endif
}

proctype Agent(byte g) {
  do
  /* a ping, which the entry echoes unless it has given the session up */
  :: atomic { g == 0 && awake(g) && echo[g] == NONE && !lost && now > pinged -> pinged = now; echo[g] = now }
  :: atomic { awake(g) && echo[g] != NONE ->
#ifdef STALE
       session[g] = now + S;
#else
       if :: session[g] < echo[g] + S -> session[g] = echo[g] + S :: else fi;
#endif
       echo[g] = NONE }
  :: atomic { echo[g] != NONE -> echo[g] = NONE }
  /* the order, acted on or dropped */
#ifdef NOCHECK
  :: atomic { awake(g) && ordered[g] -> ordered[g] = false; holding[g] = true; inflight[g]++; until[g] = now + H }
#else
  :: atomic { awake(g) && ordered[g] && valid(g) -> ordered[g] = false; holding[g] = true; inflight[g]++; until[g] = now + H }
#endif
  :: atomic { ordered[g] -> ordered[g] = false }
  /* a hold */
#ifdef NOSTOP
  :: atomic { awake(g) && holding[g] && runs[g] > 0 -> lease[g] = now + H }
#else
  :: atomic { awake(g) && holding[g] && valid(g) && runs[g] > 0 -> lease[g] = now + H }
  /* the session is over: a stop ends the run and fences a start that is still under way */
  :: atomic { awake(g) && holding[g] && !valid(g) -> holding[g] = false; stop_run(g) }
#endif
  /* no answer to the start, which may have begun a run since it was listed: stop it, wait for the end of a run that may go on, and run the task again, once */
  :: atomic { g == 0 && !again && !settling && awake(g) && holding[g] && valid(g) && inflight[g] + runs[g] == 1 ->
       settling = true; settled_at = now + STOP;
#ifndef NOFENCE
       stop_run(g)
#endif
     }
#ifdef STOPTIME
  :: atomic { g == 0 && settling && awake(g) && holding[g] && valid(g) ->
#else
  :: atomic { g == 0 && settling && awake(g) && holding[g] && valid(g) && now >= settled_at ->
#endif
       settling = false; again = true; inflight[g]++; until[g] = now + H }
  :: atomic { g == 0 && !frozen[g] && now < END -> frozen[g] = true }
  :: atomic { frozen[g] -> frozen[g] = false }
  :: atomic { g == 0 && !dead[g] -> dead[g] = true }
  :: now == END -> break
  od
}

proctype Worker(byte g) {
  do
#ifdef ENDLESS
  :: atomic { inflight[g] > 0 -> inflight[g]--; lease[g] = now + H; begin_run(g) }
#else
  :: atomic { inflight[g] > 0 && now < until[g] -> inflight[g]--; lease[g] = until[g]; begin_run(g) }
#endif
  :: atomic { inflight[g] > 0 -> inflight[g]-- }
  :: atomic { runs[g] > 0 -> end_run(g) }
  :: now == END -> break
  od
}

init {
  run Agent(0); run Agent(1); run Worker(0); run Worker(1)
}
