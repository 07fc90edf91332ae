/* SPDX-License-Identifier: MIT
 *
 * One task, its owner and two guards. Requests and replies are late or lost, guards restart.
 * Holds: the task starts at most once, and has not started if the owner answers that it did not.
 *
 * Go code: internal/native/guard and the start of tasks in internal/native/daemon. docs/PROOFS.md lists the function that
 * carries each rule.
 *
 * Rules and their mutants:
 *   NOFENCE    a guard that answers a report on an unknown task never starts the task
 *   MOVELOST   a task whose guard does not answer does not move to another guard
 *   NOINC      a restarted guard rejects requests to its earlier incarnation
 *   NORECORD   a guard has a record of each task that it has started
 */
#define UNKNOWN 0
#define RUN 1
#define FENCED 2

byte state[2];                              /* of the task at each guard */
byte incarnation[2];
byte started;                               /* how often the task has started */
bool said_not_started;                      /* the owner has answered that the task did not start */
chan start[2] = [2] of { byte };            /* the incarnation that the owner means */
chan ask[2] = [1] of { byte };
chan told[2] = [1] of { bool, bool };       /* not started here; known */

inline run_task(g) {
  if
#ifdef NORECORD
  :: true -> started++; assert(started <= 1 && !said_not_started)
#else
  :: state[g] == UNKNOWN -> state[g] = RUN; started++; assert(started <= 1 && !said_not_started)
  :: else
#endif
  fi
}

proctype Guard(byte g) {
  byte meant;
  do
  :: atomic { start[g]?meant ->
       if
#ifndef NOINC
       :: meant != incarnation[g]
#endif
       :: meant == incarnation[g] -> run_task(g)
       fi }
  :: atomic { ask[g]?meant ->
       if
#ifndef NOINC
       :: meant != incarnation[g] -> if :: told[g]!false, false :: skip fi
       :: meant == incarnation[g] && state[g] == RUN -> if :: told[g]!false, true :: skip fi
       :: meant == incarnation[g] && state[g] != RUN ->
#else
       :: state[g] == RUN -> if :: told[g]!false, true :: skip fi
       :: state[g] != RUN ->
#endif
#ifndef NOFENCE
          state[g] = FENCED;
#endif
          if :: told[g]!true, true :: skip fi
       fi }
  :: atomic { incarnation[g] == 0 -> incarnation[g] = 1; state[g] = UNKNOWN }
  :: timeout -> break
  od
}

proctype Owner() {
  byte g = 0; byte asked = 0; bool not_started; bool known; byte meant;
  do
  :: g < 2 ->
     asked = 0; meant = incarnation[g];
     if
     :: start[g]!meant                        /* the reply is lost, or the request is late */
#ifdef NORECORD
     :: start[g]!meant; start[g]!meant        /* the network doubles the request */
#endif
     :: skip                                   /* the request is lost */
     fi;
     do
     :: asked < 2 -> asked++;
        if
        :: nfull(ask[g]) -> ask[g]!meant
        :: full(ask[g])
        fi;
        if
        :: told[g]?not_started, known ->
           if
           :: known && not_started -> g++; break           /* move it */
           :: known && !not_started -> goto done
           :: !known -> goto done                           /* outcome unknown */
           fi
        :: true                                             /* no answer in time */
        fi
     :: asked == 2 ->
#ifdef MOVELOST
        g++; break
#else
        goto done
#endif
     od
  :: g == 2 -> said_not_started = true; assert(started == 0); break
  od;
done: skip
}

init { atomic { run Guard(0); run Guard(1); run Owner() } }
