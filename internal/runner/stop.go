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
// Rule: a stop is repeated until the worker accepts it, while the worker responds. A stopped run has ended when the worker lists its end, or when a
// listing lacks it that was requested later than the answer plus Limits.Stop plus the drift of the worker's clock.
// Reason: an unresponsive worker does not carry out stops, and would have to work off all of them before it answers anything new;
// without a lease its runs end by themselves. A run may continue for Limits.Stop after the answer, and the worker need not list it during that time.

const (
	// stopRetryInterval is the time between two stops of the same run: longer than the call's time-out of 25 ms.
	stopRetryInterval = 40 * time.Millisecond
	// minRetryInterval is the shortest time between two calls of which the first was not answered. Without it a worker
	// that closes each connection at once is called in a loop: 7,294 long polls failed in 5 s.
	minRetryInterval = 20 * time.Millisecond
)

func (r *Runner) handleStop(now time.Time, e StopRequested) {
	t, ok := r.tasks[e.Name]
	switch {
	case !ok:
	case t.session == e.Session:
		r.stop(now, t)
	case t.supersededBy != nil && t.supersededBy.session == e.Session:
		r.rejectSuperseding(t, reasonStoppedBeforeStart)
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
	switch t.state {
	case stateQueued:
		r.removeFromQueue(t)
		r.finish(t, OutcomeNotStarted, reasonStoppedBeforeStart)
	case stateStopping:
	default:
		r.observeStop(now, t)
		r.beginStop(now, t)
	}
}

// beginStop stops the run of an active task.
func (r *Runner) beginStop(now time.Time, t *task) {
	t.state = stateStopping
	t.stop = r.newStop(now, t.Name, t.Run)
}

// stop is the stop of a run on the worker.
type stop struct {
	// name is the name of the task.
	name string
	run  uint32
	// lastSent is when it was last sent, and fence the fencing token that it carried.
	lastSent time.Time
	fence    uint64
	// answered is when the worker accepted it. Zero until then.
	answered time.Time
}

// awaitsAnswer reports whether the worker has not yet accepted the stop.
func (s *stop) awaitsAnswer() bool {
	return s.answered.IsZero()
}

// isOver reports whether a listing that was requested at a time shows that the run has ended, by not containing it. bound
// is how long a run may continue after its stop was accepted.
func (s *stop) isOver(requested time.Time, bound time.Duration) bool {
	return !s.awaitsAnswer() && requested.After(s.answered.Add(bound))
}

// newStop sends the first stop of a run.
func (r *Runner) newStop(now time.Time, name string, run uint32) *stop {
	s := &stop{name: name, run: run}
	r.callStop(now, s)
	return s
}

func (r *Runner) callStop(now time.Time, s *stop) {
	s.lastSent = now
	s.fence = r.fence
	r.emit(CallStop{
		Incarnation: r.worker.record.Incarnation(),
		Stop:        worker.StopRequest{Name: s.name, Run: s.run, Fence: r.fence},
	})
}

// stops returns the stops under way, of tasks and of orphans, each in the order of their names.
func (r *Runner) stops() []*stop {
	var stops []*stop
	for _, t := range r.active() {
		if t.state == stateStopping {
			stops = append(stops, t.stop)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.worker.orphans)) {
		stops = append(stops, r.worker.orphans[name])
	}
	return stops
}

// retryStops repeats the stops that have not been accepted for stopRetryInterval.
func (r *Runner) retryStops(now time.Time) {
	if r.worker.isUnresponsive(now) {
		return
	}
	for _, s := range r.stops() {
		if s.awaitsAnswer() && now.Sub(s.lastSent) >= stopRetryInterval {
			r.callStop(now, s)
		}
	}
}

// stopOf returns the stop that an answer is about, or nil if the run has ended or the answer comes from another
// incarnation.
func (r *Runner) stopOf(e StopAnswered) *stop {
	if !r.isCurrent(e.Incarnation) {
		return nil
	}
	if t, ok := r.activeRun(e.Name, e.Run); ok && t.state == stateStopping {
		return t.stop
	}
	if orphan, ok := r.worker.orphans[e.Name]; ok && orphan.run == e.Run {
		return orphan
	}
	return nil
}

func (r *Runner) handleStopAnswer(now time.Time, e StopAnswered) {
	s := r.stopOf(e)
	switch e.Result.(type) {
	case worker.Accepted, worker.Outdated:
		if s != nil && s.awaitsAnswer() {
			s.answered = now
			r.requestListing(now)
		}
	case worker.Fenced:
		if s != nil {
			r.raiseFence(s.fence, fenceStep)
			r.callStop(now, s)
		}
	case worker.Unanswered:
		if s != nil {
			r.retryStop(now, s)
		}
	case worker.Invalid, worker.Unhealthy, worker.WrongIncarnation, worker.NotReached:
		r.handleWorkerState(now, e.Incarnation, time.Time{}, e.Result)
	}
}

// retryStop repeats a stop whose call failed. If the call failed at once, or the worker is unresponsive, the next tick
// repeats it instead.
func (r *Runner) retryStop(now time.Time, s *stop) {
	failedAtOnce := now.Sub(s.lastSent) < minRetryInterval
	if s.awaitsAnswer() && !failedAtOnce && !r.worker.isUnresponsive(now) {
		r.callStop(now, s)
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

const (
	// reasonStopped is the reason of OutcomeStopped if the agent stopped the run.
	reasonStopped = "the run was stopped"
	// reasonStoppedBeforeStart is the reason of OutcomeNotStarted if the entry stopped a task that had no run.
	reasonStoppedBeforeStart = "the task was stopped before its start"
)
