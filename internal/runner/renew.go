// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

// renew prolongs what runs: by calls that do not wait, several in the time of a lease, and beside them by
// one that waits for an end.
func (r *Runner) renew(now time.Time) {
	if now.Sub(r.worker.lastRenewSent) >= r.nextRenewInterval() {
		r.requestListing(now)
	}
	if !r.worker.longPolling && r.hasActive() && !now.Before(r.worker.longPollAfter) && len(r.worker.unacknowledged) == 0 {
		r.worker.longPolling = true
		r.sendRenew(now, longPollTimeout)
	}
}

// holdPause returns the time between two calls to hold that do not wait.
func (r *Runner) nextRenewInterval() time.Duration {
	switch {
	case len(r.worker.unacknowledged) > 0:
		return unacknowledgedRenewInterval
	case r.awaitsListing():
		return minRetryInterval
	case r.hasActive():
		return timing.RenewInterval
	default:
		return idleRenewInterval
	}
}

// requestListing asks for the worker's lists at once.
func (r *Runner) requestListing(now time.Time) {
	r.worker.lastRenewSent = now
	r.sendRenew(now, 0)
}

func (r *Runner) sendRenew(now time.Time, wait time.Duration) {
	hold := worker.RenewRequest{Fence: r.fence, AcknowledgedEnd: r.worker.acknowledgedUpTo(), Wait: wait}
	// A silent worker may still be carrying out what it does not answer: without new leases its runs lapse.
	if !r.worker.isUnresponsive(now) {
		hold.LeaseUntil = r.leaseUntil(now)
		r.worker.lastRenewal = now
	}
	r.emit(CallRenew{Incarnation: r.worker.record.ID, Renew: hold})
}

func (r *Runner) handleRenewAnswer(now time.Time, e RenewAnswered) {
	if r.worker == nil || r.worker.record.ID != e.Incarnation {
		return
	}
	if e.LongPoll {
		r.worker.longPolling = false
		if _, isListing := e.Result.(worker.Listing); !isListing {
			r.worker.longPollAfter = now.Add(timing.RenewInterval)
		}
	}
	switch result := e.Result.(type) {
	case worker.Listing:
		r.applyListing(now, e.Sent, result)
	case worker.Fenced:
		r.raiseFence()
		r.requestListing(now)
	case worker.Unanswered:
		r.stopUnlisted(now, e.Sent)
	default:
		r.handleWorkerState(now, e.Incarnation, e.Result)
	}
	if r.worker != nil {
		r.renew(now)
	}
}

// awaitsListing reports whether a run waits for a listing.
func (r *Runner) awaitsListing() bool {
	for _, t := range r.tasks {
		if t.state == stateChecking || t.state == stateStopping && !t.stopAnswered.IsZero() {
			return true
		}
	}
	return false
}

func (r *Runner) applyListing(now, sent time.Time, listing worker.Listing) {
	r.readClock(listing.Clock, listing.Received)
	wasSilent := r.worker.isUnresponsive(now)
	if sent.After(r.worker.lastAnswered) {
		r.worker.lastAnswered = sent
	}
	if wasSilent {
		r.markLoadDue()
	}
	for _, end := range listing.Ended {
		r.applyEnd(now, end)
	}
	listed := make(map[string]worker.Run, len(listing.Running))
	for _, run := range listing.Running {
		listed[run.Name] = run
		r.observeRun(now, sent, run)
	}
	for _, t := range r.active() {
		if sent.After(t.resolveAfter) {
			run, isListed := listed[t.Name]
			r.resolve(now, t, isListed && run.Run == t.Run)
		}
	}
	for name := range r.worker.orphans {
		if _, isListed := listed[name]; !isListed {
			delete(r.worker.orphans, name)
			r.markLoadDue()
		}
	}
}

// applyEnd takes note of the end of a run, once.
func (r *Runner) applyEnd(now time.Time, end worker.End) {
	if end.Number <= r.worker.lastEndNumber {
		return
	}
	r.worker.lastEndNumber = end.Number
	r.worker.lastEnd = now
	t, ok := r.tasks[end.Name]
	if !ok || t.Run != end.Run || t.state == stateQueued {
		r.retainOrphanEnd(now, end)
		return
	}
	if t.IsDurable && isOutcome(end.Ending) {
		r.retainEnd(now, end)
	}
	t.Checkpoint = end.Checkpoint
	r.health.recordEnd(t, end.Ending, now)
	switch {
	case end.Ending == worker.EndingDone:
		r.finish(t, OutcomeDone, "")
	case end.Ending == worker.EndingFailed:
		r.finish(t, OutcomeFailed, "the run failed")
	case t.rerunAfterStop:
		t.Run++
		r.requeue(t)
	case end.Ending == worker.EndingStopped:
		r.finish(t, OutcomeStopped, "the run was stopped")
	default:
		r.finish(t, OutcomeLost, "the run's lease ran out")
	}
}

// observeRun takes in a run that the worker lists. A listing that was asked for before the last end was taken
// note of may list what has ended since.
func (r *Runner) observeRun(now, sent time.Time, run worker.Run) {
	t, ok := r.tasks[run.Name]
	if !ok || t.Run != run.Run || t.state == stateQueued {
		if sent.After(r.worker.lastEnd) {
			r.stopOrphan(now, run)
		}
		return
	}
	t.progress = run.Percent
	t.listedAt = now
}

// stopOrphan stops a run that nobody here asked for, as an earlier agent leaves behind.
func (r *Runner) stopOrphan(now time.Time, run worker.Run) {
	if last, known := r.worker.orphans[run.Name]; known && now.Sub(last) < stopRetryInterval {
		return
	}
	r.worker.orphans[run.Name] = now
	r.emit(CallStop{Incarnation: r.worker.record.ID, Stop: worker.StopRequest{Name: run.Name, Run: run.Run, Fence: r.fence}})
	r.markLoadDue()
}

// resolve decides on a run that was in doubt, by a listing that was asked for after the doubt arose.
func (r *Runner) resolve(now time.Time, t *task, isListed bool) {
	switch t.state {
	case stateChecking:
		if isListed {
			t.state = stateRunning
			r.sendUpdate(t.session, Update{Name: t.Name, Run: t.Run, Outcome: OutcomeStarted})
			return
		}
		t.rerunAfterStop = true
		r.beginStop(now, t)
	case stateStopping:
		if isListed || t.stopAnswered.IsZero() {
			return
		}
		r.stopConfirmed(t)
	}
}

// stopUnlisted fences the starts in doubt whose listing was not answered either.
func (r *Runner) stopUnlisted(now, sent time.Time) {
	for _, t := range r.active() {
		if t.state == stateChecking && !sent.Before(t.resolveAfter) {
			t.rerunAfterStop = true
			r.beginStop(now, t)
		}
	}
}

// beginStop stops a run; the stop is repeated until the worker takes it.
func (r *Runner) beginStop(now time.Time, t *task) {
	t.state = stateStopping
	t.stopAnswered = time.Time{}
	r.callStop(now, t)
}

func (r *Runner) callStop(now time.Time, t *task) {
	t.lastStopSent = now
	r.emit(CallStop{Incarnation: r.worker.record.ID, Stop: worker.StopRequest{Name: t.Name, Run: t.Run, Fence: r.fence}})
}

func (r *Runner) retryStops(now time.Time) {
	for _, t := range r.active() {
		if t.state == stateStopping && t.stopAnswered.IsZero() && now.Sub(t.lastStopSent) >= stopRetryInterval {
			r.callStop(now, t)
		}
	}
}

// retryStop repeats a stop that was not answered, unless that was told at once: the next tick repeats it then.
func (r *Runner) retryStop(now time.Time, t *task) {
	if t.state == stateStopping && t.stopAnswered.IsZero() && now.Sub(t.lastStopSent) >= minRetryInterval && !r.worker.isUnresponsive(now) {
		r.callStop(now, t)
	}
}

func (r *Runner) handleStopAnswer(now time.Time, e StopAnswered) {
	t, ok := r.current(e.Incarnation, e.Name, e.Run)
	switch e.Result.(type) {
	case worker.Accepted, worker.Outdated:
		if ok && t.state == stateStopping && t.stopAnswered.IsZero() {
			t.stopAnswered = now
			t.resolveAfter = now.Add(r.stopBound())
			r.requestListing(now)
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
	default:
		r.handleWorkerState(now, e.Incarnation, e.Result)
	}
}

// stopBound is how long after the answer to a stop the run may go on, by this process's clock. A worker need not list a
// run that it is stopping, so a listing that lacks the run says that it has ended only if it was asked for later.
func (r *Runner) stopBound() time.Duration {
	return r.limits.Stop + r.limits.Stop/timing.ClockDriftDivisor
}

// stopConfirmed ends a run that the worker has taken a stop for and lists no longer.
func (r *Runner) stopConfirmed(t *task) {
	if t.rerunAfterStop {
		t.Run++
		r.requeue(t)
		return
	}
	r.finish(t, OutcomeStopped, "the run was stopped")
}

// expireLease gives up the runs of a worker whose leases have surely run out.
func (r *Runner) expireLease(now time.Time) {
	lease := r.limits.Lease + r.limits.Lease/timing.ClockDriftDivisor + r.limits.Stop
	over := now.Sub(r.worker.lastRenewal) - lease
	if r.worker.lastRenewal.IsZero() || over <= 0 {
		return
	}
	for _, t := range r.active() {
		if t.state != stateStarting && (!t.IsDurable || over > timing.DurableLossDelay) {
			r.finish(t, OutcomeLost, "the worker is silent and the run's lease has run out")
		}
	}
}
