// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"slices"
	"strings"
	"time"

	"sailhead/internal/shares"
	"sailhead/internal/worker"
)

// taskState is the state of a task. A task is either queued or active, which means in any of the other states.
//
//	queued    -> starting   its resources are free
//	starting  -> running    the worker accepted the start
//	starting  -> queued     the worker rejected the start, and another attempt may succeed
//	starting  -> checking   the start was not answered
//	checking  -> running    the run is listed
//	checking  -> queued     the run is not listed
//	active    -> restarted  the worker restarted under the same ID
//	restarted -> running    the run is listed by the new process
//	active    -> stopping   the entry requested a stop, its session ended, or a newer session has the task
//
// A task can finish in every state.
type taskState int

const (
	// stateQueued waits for resources, or for an earlier run of the same task to end.
	stateQueued taskState = iota
	// stateStarting has a pending start.
	stateStarting
	// stateChecking has an unanswered start: the next listing fences it and shows whether a run started.
	stateChecking
	// stateRestarted had a run or a pending start when the worker restarted under the same ID; see restart.go.
	stateRestarted
	// stateRunning has a run on the worker.
	stateRunning
	// stateStopping has a pending stop: a listed end, or a later listing without the run, shows that the run has ended.
	stateStopping
)

// task is a task that is queued or may have a run on the worker.
type task struct {
	Task
	session SessionID
	state   taskState
	arrived time.Time
	// startEmittedAt is when the start effect of the current run was emitted.
	startEmittedAt time.Time
	// startNumber is the number of this start among all starts that were sent to the worker.
	startNumber uint64
	// sent is when the start call was made, or startEmittedAt until its answer arrives. The run started after sent. startTook is the
	// time from sent until the answer, or until a listing showed the run.
	sent      time.Time
	startTook time.Duration
	// hasStarted is set once it is certain that the current run has started.
	hasStarted bool
	// confirmedAt is when this process received the confirmation that the run has started. isOnClock is set if the answer contained the
	// clock of the incarnation.
	confirmedAt time.Time
	isOnClock   bool
	// stop is the stop of the current run in stateStopping.
	stop *stop
	// fence is the fencing token of the latest start. In stateChecking, a listing that was requested with a higher token
	// shows whether a run started.
	fence uint64
	// hadRun is set once a run of the task has been confirmed. Such a task is never reported as not started.
	hadRun bool
	// isRequeued is set for a queued task that is not rejected at once although MaxWait is zero, because its start is
	// repeated or it has waited for the end of an earlier run.
	isRequeued bool
	// isRejected is set if the start was answered with a status that the protocol does not have.
	isRejected bool
	// hasOffer is set if the task uses resources that were offered to its entry.
	hasOffer bool
	// supersededBy is the same task as requested by a newer session. It is queued when this task has finished.
	supersededBy *task
	// acceptedAt is when the worker confirmed the start of the current run, on the worker's clock; zero before that.
	acceptedAt time.Duration
	// progress is the run's progress in percent when it was last listed, and listedAt the time of that listing on the worker's clock.
	progress int
	listedAt time.Duration
	// isProbe is set for a task that shows whether an ejected worker has recovered.
	isProbe bool
	// epoch is the epoch of the ejection detector when the current run was started. isObserved is set once the detector has received the
	// result of the run.
	epoch      int
	isObserved bool
	// competitor is the competitor to which the task belongs, and charged the work that its account was charged for the current run.
	competitor shares.Competitor
	charged    shares.Work
	// isLimitedByHeadroom is set if the task was not started because it has to leave resources free for shorter ones.
	isLimitedByHeadroom bool
}

// awaitsListing reports whether only a listing can show that the task has a run on the worker.
func (t *task) awaitsListing() bool { return t.state == stateChecking || t.state == stateRestarted }

// id returns the ID of the current run.
func (t *task) id() RunID { return RunID{Task: t.Name, Run: t.Run} }

// JobOf returns the ID of the job from the name of one of its tasks.
func JobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// job returns the ID of the task's job.
func (t *task) job() string { return JobOf(t.Name) }

// active returns the tasks that may have a run on the worker, in the order of their names.
func (r *Runner) active() []*task {
	var active []*task
	for _, t := range r.tasks {
		if t.state != stateQueued {
			active = append(active, t)
		}
	}
	slices.SortFunc(active, func(a, b *task) int { return strings.Compare(a.Name, b.Name) })
	return active
}

// hasActive reports whether any task may have a run on the worker.
func (r *Runner) hasActive() bool {
	return len(r.tasks) > len(r.queue)
}

// currentRun returns the task to whose current run an answer belongs. ok is false if the answer comes from another
// incarnation of the worker or belongs to an earlier run.
func (r *Runner) currentRun(incarnation worker.Incarnation, name string, run uint32) (t *task, ok bool) {
	if !r.isCurrent(incarnation) {
		return nil, false
	}
	return r.activeRun(name, run)
}

// activeRun returns the active task with that name if its current run has that number.
func (r *Runner) activeRun(name string, run uint32) (t *task, ok bool) {
	t, ok = r.tasks[name]
	if !ok || t.Run != run || t.state == stateQueued {
		return nil, false
	}
	return t, true
}

// releaseIfActive releases the resources of a task that is removed, if it was active.
func (r *Runner) releaseIfActive(t *task) {
	if t.state != stateQueued && r.worker != nil {
		r.release(t)
	}
}

// finish removes a task, reports its outcome to its entry, and queues the task that supersedes it, if any.
func (r *Runner) finish(t *task, outcome Outcome, reason string) {
	if r.tasks[t.Name] == t {
		delete(r.tasks, t.Name)
		r.releaseIfActive(t)
	}
	r.markLoadDue()
	if outcome == OutcomeNotStarted && t.hadRun {
		outcome = OutcomeStopped
	}
	r.sendUpdate(t.session, Update{Name: t.Name, Run: t.Run, Outcome: outcome, Reason: reason, Checkpoint: t.Checkpoint})
	if t.supersededBy != nil {
		r.enqueue(t.supersededBy)
	}
}
