// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"maps"
	"slices"
	"time"

	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

// Stops and their retry
//
// Inputs: the worker's answer to a stop, and its listings.
// Rule: a stop is repeated until the worker accepts it. A stopped run has ended when the worker lists its end, or when a
// listing lacks it that was requested later than the answer plus Limits.Stop plus the drift of the worker's clock.
// Reason: a run may continue for Limits.Stop after the answer, and the worker need not list it during that time.
// Measured: without the wait a task ran twice (dyfrdwy-prod-grown scale-1, commit c1ad8fe); with it 1,500 random
// schedules pass; spec/session.pml, mutant STOPTIME.

const (
	// stopRetryInterval is the time between two stops of the same run. Design: longer than the call's time-out of 25 ms.
	// Not measured.
	stopRetryInterval = 40 * time.Millisecond
	// minRetryInterval is the shortest time between two calls of which the first was not answered. Without it a worker
	// that closes each connection at once is called in a loop: 7,294 long polls failed in 5 s (commit ab70a73). Not
	// varied.
	minRetryInterval = 20 * time.Millisecond
)

func (r *Runner) handleStop(now time.Time, e StopRequested) {
	t, ok := r.tasks[e.Name]
	if ok && t.session == e.Session {
		r.stop(now, t)
	}
}

// stopTasksOf stops the tasks of a session that has ended.
func (r *Runner) stopTasksOf(now time.Time, id SessionID) {
	for _, name := range slices.Sorted(maps.Keys(r.tasks)) {
		if t := r.tasks[name]; t.session == id {
			r.stop(now, t)
		}
	}
}

// stop ends a task in any state. It does not run again.
func (r *Runner) stop(now time.Time, t *task) {
	t.rerunAfterStop = false
	switch t.state {
	case stateQueued:
		r.unqueue(t)
		r.finish(t, OutcomeNotStarted, "the task was stopped before its start")
	case stateStopping:
	default:
		r.beginStop(now, t)
	}
}

// beginStop stops the run of an active task.
func (r *Runner) beginStop(now time.Time, t *task) {
	t.state = stateStopping
	t.stopAnswered = time.Time{}
	r.callStop(now, t)
}

func (r *Runner) callStop(now time.Time, t *task) {
	t.lastStopSent = now
	r.emitStop(t.Name, t.Run)
}

func (r *Runner) emitStop(name string, run uint32) {
	r.emit(CallStop{
		Incarnation: r.worker.record.ID,
		Stop:        worker.StopRequest{Name: name, Run: run, Fence: r.fence},
	})
}

// awaitsStopAnswer reports whether the worker has not yet accepted the stop of the task.
func (t *task) awaitsStopAnswer() bool {
	return t.state == stateStopping && t.stopAnswered.IsZero()
}

// retryStops repeats the stops that have not been accepted for stopRetryInterval.
func (r *Runner) retryStops(now time.Time) {
	for _, t := range r.active() {
		if t.awaitsStopAnswer() && now.Sub(t.lastStopSent) >= stopRetryInterval {
			r.callStop(now, t)
		}
	}
}

func (r *Runner) handleStopAnswer(now time.Time, e StopAnswered) {
	t, ok := r.currentRun(e.Incarnation, e.Name, e.Run)
	switch e.Result.(type) {
	case worker.Accepted, worker.Outdated:
		if ok && t.awaitsStopAnswer() {
			r.acceptStop(now, t)
		}
	case worker.Fenced:
		r.raiseFence()
		if ok && t.state == stateStopping {
			r.callStop(now, t)
		}
	case worker.Unanswered:
		if ok {
			r.retryStop(now, t)
		}
	case worker.Invalid, worker.Unhealthy, worker.WrongIncarnation, worker.NotReached:
		r.handleWorkerState(now, e.Incarnation, e.Result)
	}
}

// acceptStop handles a stop that the worker has accepted, or rejected because the run has already ended.
func (r *Runner) acceptStop(now time.Time, t *task) {
	t.stopAnswered = now
	t.resolveAfter = now.Add(r.stopBound())
	r.requestListing(now)
}

// retryStop repeats a stop whose call failed. If the call failed at once, or the worker is unresponsive, the next tick
// repeats it instead.
func (r *Runner) retryStop(now time.Time, t *task) {
	failedAtOnce := now.Sub(t.lastStopSent) < minRetryInterval
	if t.awaitsStopAnswer() && !failedAtOnce && !r.worker.isUnresponsive(now) {
		r.callStop(now, t)
	}
}

// stopBound returns how long a run may continue after the worker accepted its stop, on this process's clock.
func (r *Runner) stopBound() time.Duration {
	return withDrift(r.limits.Stop)
}

// withDrift returns the longest time on this process's clock that a time on the worker's clock may take.
func withDrift(d time.Duration) time.Duration {
	return d + d/timing.ClockDriftDivisor
}

// resolveStop decides on a stopped run by a listing that was requested after resolveAfter.
func (r *Runner) resolveStop(t *task, isListed bool) {
	if isListed || t.stopAnswered.IsZero() {
		return
	}
	if t.rerunAfterStop {
		r.rerun(t)
		return
	}
	r.finish(t, OutcomeStopped, reasonStopped)
}

// reasonStopped is the reason of OutcomeStopped if the agent stopped the run.
const reasonStopped = "the run was stopped"
