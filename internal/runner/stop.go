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

// Stops and their retries
//
// Inputs: the worker's answer to a stop call, and its listings.
// Rule: a stop is repeated until the worker accepts it, as long as the worker responds. A stopped run has ended when the worker
// lists its end, or when it is missing in a listing that was requested later than Limits.Stop after the answer, with an allowance
// for the drift of the worker's clock.
// Reason: an unresponsive worker does not carry out stops, and would have to process all of them before it answers anything new;
// its runs end when their leases expire. After the answer a run may continue for Limits.Stop, and the worker need not list it
// during that time.

const (
	// overdueStopTime is the time from the first call of a stop after which it is reported as overdue: timing.MaxStopTime, and twice as long
	// for the calls and a busy VM.
	overdueStopTime = 3 * timing.MaxStopTime
	// stopRetryInterval is the time between two stop calls for the same run: longer than the call's time-out of 25 ms.
	stopRetryInterval = 40 * time.Millisecond
	// minRetryInterval is the shortest time between an unanswered call and the next one. Without it, a worker that closes
	// each connection at once would be called in a loop: 7,294 long polls failed in 5 s.
	minRetryInterval = 20 * time.Millisecond
)

func (r *Runner) handleStop(now time.Time, e StopRequested) {
	t, ok := r.tasks[e.Name]
	switch {
	case !ok:
	case t.session == e.Session:
		r.stop(now, t, r.extendableUntil(t))
	case t.supersededBy != nil && t.supersededBy.session == e.Session:
		r.rejectSuperseding(t, reasonStoppedBeforeStart)
	}
}

// stopTasksOf stops the tasks of a session that has ended.
func (r *Runner) stopTasksOf(now time.Time, ended *session) {
	for _, name := range slices.Sorted(maps.Keys(r.tasks)) {
		t := r.tasks[name]
		if t.supersededBy != nil && t.supersededBy.session == ended.id {
			t.supersededBy = nil
		}
		if t.session == ended.id {
			r.stop(now, t, ended.validUntil)
		}
	}
}

// stop ends a task in any state. The task does not run again. extendableUntil is the time until which its run might be extended without the
// stop.
func (r *Runner) stop(now time.Time, t *task, extendableUntil time.Time) {
	switch t.state {
	case stateQueued:
		r.removeFromQueue(t)
		r.finish(t, OutcomeNotStarted, reasonStoppedBeforeStart)
	case stateStopping:
	default:
		r.observeStop(now, t)
		r.beginStop(now, t, extendableUntil)
	}
}

// beginStop starts to stop the run of an active task. extendableUntil is the same as in stop.
func (r *Runner) beginStop(now time.Time, t *task, extendableUntil time.Time) {
	t.state = stateStopping
	t.stop = r.newStop(now, t.Name, t.Run)
	t.stop.extendableUntil = minTime(now, extendableUntil)
}

// stop is a stop of a run that was sent to the worker.
type stop struct {
	// name is the name of the task.
	name string
	run  uint32
	// begun is when the stop was first sent. isReported is set once StopOverdue was emitted for it.
	begun      time.Time
	isReported bool
	// extendableUntil is the time until which the run might be extended: when the stop began, or when the lease of the task's session ended
	// if that was earlier. It is zero for an orphan.
	extendableUntil time.Time
	// lastSent is when the stop was last sent, and fence the fencing token of that call.
	lastSent time.Time
	fence    uint64
	// answered is when the answer arrived with which the worker accepted the stop, zero before that.
	answered time.Time
}

// awaitsAnswer reports whether the worker has not yet accepted the stop.
func (s *stop) awaitsAnswer() bool {
	return s.answered.IsZero()
}

// hasEnded reports whether the absence of the run from a listing that was requested at the given time shows that the run has
// ended. bound is how long a run may continue after its stop was accepted.
func (s *stop) hasEnded(requested time.Time, bound time.Duration) bool {
	return !s.awaitsAnswer() && requested.After(s.answered.Add(bound))
}

// newStop sends the first stop call for a run.
func (r *Runner) newStop(now time.Time, name string, run uint32) *stop {
	s := &stop{name: name, run: run, begun: now}
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

// stops returns the pending stops of tasks, then those of orphans, each in the order of their names.
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

// retryStops repeats the stops that were sent at least stopRetryInterval ago and have not been accepted.
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

// reportOverdueStops reports each stop whose run has not ended within overdueStopTime.
func (r *Runner) reportOverdueStops(now time.Time) {
	for _, s := range r.stops() {
		if s.isReported || now.Sub(s.begun) <= overdueStopTime {
			continue
		}
		s.isReported = true
		_, isOrphan := r.worker.orphans[s.name]
		r.emit(StopOverdue{
			RunID: RunID{Task: s.name, Run: s.run}, IsAccepted: !s.awaitsAnswer(), IsOrphan: isOrphan,
			LeasedFor: r.worker.leasedFrom.Sub(s.begun),
		})
	}
}

// stopOf returns the stop to which an answer belongs, or nil if the run has ended or the answer comes from another
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
	case worker.Accepted, worker.StaleRun:
		if s != nil && s.awaitsAnswer() {
			s.answered = now
			r.requestListing(now)
		}
	case worker.Fenced:
		if s != nil {
			r.raiseFence(s.fence, fenceStep)
			r.callStop(now, s)
		}
	case worker.NoResponse:
		if s != nil {
			r.retryStop(now, s)
		}
	case worker.Invalid, worker.Unhealthy, worker.WrongIncarnation, worker.Unreachable:
		r.handleWorkerState(now, e.Incarnation, time.Time{}, e.Result)
	}
}

// retryStop repeats a stop whose call failed. If the call failed within minRetryInterval or the worker is unresponsive, the
// stop is left to retryStops.
func (r *Runner) retryStop(now time.Time, s *stop) {
	failedAtOnce := now.Sub(s.lastSent) < minRetryInterval
	if s.awaitsAnswer() && !failedAtOnce && !r.worker.isUnresponsive(now) {
		r.callStop(now, s)
	}
}

// stopBound returns the longest time on this process's clock for which a run may continue after the worker accepted its
// stop.
func (r *Runner) stopBound() time.Duration {
	return withDrift(r.limits.Stop)
}

// withDrift returns the longest time that may pass on this process's clock while d passes on the worker's clock.
func withDrift(d time.Duration) time.Duration {
	return d + d/timing.ClockDriftDivisor
}

const (
	// reasonStopped is the reason for OutcomeStopped if the agent stopped the run.
	reasonStopped = "the run was stopped"
	// reasonStoppedBeforeStart is the reason for OutcomeNotStarted if a task without a run was stopped.
	reasonStoppedBeforeStart = "the task was stopped before its start"
)
