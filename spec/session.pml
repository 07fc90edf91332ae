/* SPDX-License-Identifier: MIT
 *
 * One task, the entry that owns it, two agents and their workers, on discrete time. The entry places the task on agent 0.
 * At any moment it may lose that session; it then waits and places the task on agent 1. Start requests, pongs and calls
 * to the worker, stops included, are late or lost; agent 0 freezes, thaws and dies.
 *
 * Asserted: two runs of the task never overlap.
 *
 * Rules, each with the mutant that leaves it out:
 *   EARLY      the entry places the task again only after RERUN_DELAY
 *   NOSTOP     an agent neither stops the runs of a session whose lease has expired nor extends the worker's lease for them
 *   EXTEND     an agent extends the worker's lease, which is one for all runs there, only while the session of each run is valid
 *   NOCHECK    an agent checks the session's lease right before a start
 *   STALE      a pong extends the session's lease from when its ping was sent, not from when the pong arrived
 *   NOFENCE    the listing that decides on a start without an answer makes the worker reject that start
 *   ENDLESS    the worker rejects a start whose lease has expired
 *   STOPTIME   a stopped run may continue, unlisted, for STOP_TIME; the task runs again only after that
 *
 * In the code: internal/runner (session.go, start.go, stop.go, lease.go), internal/agent (callStart), internal/dispatch,
 * and the times in internal/timing. RERUN_DELAY here has no part for the stop; timing.RerunDelay has one in addition.
 */
#define SESSION_LEASE 2
#define WORKER_LEASE 2
#define STOP_TIME 1         /* the longest time between a stop and the end of the run */
#define RERUN_DELAY (SESSION_LEASE + WORKER_LEASE)
#define END 7               /* the last moment of the model */
#define NONE 255            /* no pong is under way */

byte now;
byte runs[2];               /* runs on the worker */
byte lease[2];              /* the worker ends the run at this time */
byte inflight[2];           /* starts on their way to the worker */
byte start_lease[2];        /* the end of the lease in the latest start */
bool requested[2];          /* a start request of the entry is on its way to the agent */
bool may_run[2];            /* the agent may have a run on the worker */
byte session[2];            /* the end of the session's lease */
byte pong[2] = NONE;        /* the time of the ping whose pong is under way */
byte pinged;                /* the time of the latest ping */
bool frozen[2];
bool dead[2];
bool stopping[2];           /* the worker has accepted a stop of the run */
byte stopped_by[2];         /* the latest time at which that run ends */
bool resolving;             /* agent 0 has stopped the run on request and waits for its end */
byte resolve_after;         /* the time at which that run has ended */
bool rerun;                 /* the task has run again, after a start without an answer or a stop */
bool lost;                  /* the entry has lost the session with agent 0 */
byte lost_at;

#define awake(g) (!dead[g] && !frozen[g])
#define valid(g) (now < session[g])

inline begin_run(g) {
  runs[g]++;
  assert(runs[0] + runs[1] <= 1)
}

/* From a stop on the worker rejects the starts that are under way; a run continues until the worker ends it. */
inline stop_run(g) {
  inflight[g] = 0;
  if :: runs[g] > 0 && !stopping[g] -> stopping[g] = true; stopped_by[g] = now + STOP_TIME :: else fi
}

inline end_run(g) {
  runs[g] = 0; stopping[g] = false
}

inline end_run_if_over(g) {
  if :: runs[g] > 0 && (now >= lease[g] || stopping[g] && now >= stopped_by[g]) -> end_run(g) :: else fi
}

active proctype Time() {
  do
  :: atomic { now < END ->
       now++;
       end_run_if_over(0);
       end_run_if_over(1) }
  :: now == END -> break
  od
}

active proctype Entry() {
  atomic { requested[0] = true; session[0] = SESSION_LEASE };
  atomic { lost = true; lost_at = now };
#ifdef EARLY
  atomic { now >= lost_at + SESSION_LEASE -> requested[1] = true; session[1] = now + SESSION_LEASE }
#else
  atomic { now >= lost_at + RERUN_DELAY -> requested[1] = true; session[1] = now + SESSION_LEASE }
#endif
}

proctype Agent(byte g) {
  do
  /* a ping, which the entry answers unless it has lost the session */
  :: atomic { g == 0 && awake(g) && pong[g] == NONE && !lost && now > pinged -> pinged = now; pong[g] = now }
  :: atomic { awake(g) && pong[g] != NONE ->
#ifdef STALE
       session[g] = now + SESSION_LEASE;
#else
       if :: session[g] < pong[g] + SESSION_LEASE -> session[g] = pong[g] + SESSION_LEASE :: else fi;
#endif
       pong[g] = NONE }
  :: atomic { pong[g] != NONE -> pong[g] = NONE }
  /* the start request is carried out or dropped */
#ifdef NOCHECK
  :: atomic { awake(g) && requested[g] -> requested[g] = false; may_run[g] = true; inflight[g]++; start_lease[g] = now + WORKER_LEASE }
#else
  :: atomic { awake(g) && requested[g] && valid(g) -> requested[g] = false; may_run[g] = true; inflight[g]++; start_lease[g] = now + WORKER_LEASE }
#endif
  :: atomic { requested[g] -> requested[g] = false }
  /* a renewal of the worker's lease */
#ifdef NOSTOP
  :: atomic { awake(g) && may_run[g] && runs[g] > 0 -> lease[g] = now + WORKER_LEASE }
#else
#ifdef EXTEND
  :: atomic { awake(g) && may_run[g] && runs[g] > 0 -> lease[g] = now + WORKER_LEASE }
#else
  :: atomic { awake(g) && may_run[g] && valid(g) && runs[g] > 0 -> lease[g] = now + WORKER_LEASE }
#endif
  /* the session has expired: a stop, unless it is lost, ends the run and makes the worker reject a start that is under way */
  :: atomic { awake(g) && may_run[g] && !valid(g) -> may_run[g] = false; stop_run(g) }
#endif
  /* the start was not answered and the listing does not contain a run: run the task again, once. The listing carries a
     higher fencing token, so the start that is still under way begins nothing. */
  :: atomic { g == 0 && !rerun && !resolving && awake(g) && may_run[g] && valid(g) && inflight[g] == 1 && runs[g] == 0 ->
#ifndef NOFENCE
       inflight[g] = 0;
#endif
       rerun = true; inflight[g]++; start_lease[g] = now + WORKER_LEASE }
  /* the run is stopped on request, and the task runs again, once, when the run has ended */
  :: atomic { g == 0 && !rerun && !resolving && awake(g) && may_run[g] && valid(g) && runs[g] == 1 ->
       resolving = true; resolve_after = now + STOP_TIME; stop_run(g) }
#ifdef STOPTIME
  :: atomic { g == 0 && resolving && awake(g) && may_run[g] && valid(g) ->
#else
  :: atomic { g == 0 && resolving && awake(g) && may_run[g] && valid(g) && now >= resolve_after ->
#endif
       resolving = false; rerun = true; inflight[g]++; start_lease[g] = now + WORKER_LEASE }
  :: atomic { g == 0 && !frozen[g] && now < END -> frozen[g] = true }
  :: atomic { frozen[g] -> frozen[g] = false }
  :: atomic { g == 0 && !dead[g] -> dead[g] = true }
  :: now == END -> break
  od
}

proctype Worker(byte g) {
  do
#ifdef ENDLESS
  :: atomic { inflight[g] > 0 -> inflight[g]--; lease[g] = now + WORKER_LEASE; begin_run(g) }
#else
  :: atomic { inflight[g] > 0 && now < start_lease[g] -> inflight[g]--; lease[g] = start_lease[g]; begin_run(g) }
#endif
  :: atomic { inflight[g] > 0 -> inflight[g]-- }
  :: atomic { runs[g] > 0 -> end_run(g) }
  :: now == END -> break
  od
}

init {
  run Agent(0); run Agent(1); run Worker(0); run Worker(1)
}
