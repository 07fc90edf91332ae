// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/timing"
)

// The worker's lease and its expiry
//
// Inputs: when a lease was last requested, Limits.Lease and Limits.Stop, the drift of the worker's clock, and until when each run on the
// worker may be extended.
// Rule: the worker has one lease for all its runs, so it is requested only for Limits.Lease after the first time at which one of them may not
// be extended any more: the end of its session's lease, or the beginning of its stop if that is earlier. While there are orphans, or
// while the runs on the worker are not known, no lease is requested, and none by an isolated agent (isolation.go). A worker whose lease has not
// been extended for timing.WorkerUnresponsiveAfter gets no new tasks.
// Reason: the entry or the caller of a run starts the task elsewhere after a fixed time. A worker may answer renewals but not accept the
// stop; its other runs then end with the stopped one and run elsewhere.
//
// Rule: a worker that has not answered a renewal for timing.WorkerUnresponsiveAfter, although one was sent at least
// timing.RenewInterval ago, gets no new tasks and no new leases. Once its last lease, the clock drift and the time for
// a stop have passed, its runs are reported as lost; those of durable tasks after another timing.DurableLossDelay. A
// start in progress is decided by its own answer.
// Reason: the entry runs a lost task again elsewhere, so the run on this worker must have ended. A successful end of a
// durable task's run must not be missed, or the task would run twice.

// isUnresponsive reports whether the worker has left all renewals unanswered for timing.WorkerUnresponsiveAfter. Time
// without an outstanding renewal does not count: otherwise an idle worker, which is asked less often, would reject starts now and then.
func (i *incarnation) isUnresponsive(now time.Time) bool {
	wasAsked := !i.askedAt.IsZero() && now.Sub(i.askedAt) >= timing.RenewInterval
	return wasAsked && now.Sub(i.lastAnswered) > timing.WorkerUnresponsiveAfter
}

// maxClockAge is the maximum age of a reading of the worker's clock from which a lease is computed. While the VM is
// suspended, the worker's clock stops and this process's does not, so a lease computed from an older reading would be
// too long by the suspension. Every answer brings a new reading, at least every idleRenewInterval, and the limit
// tolerates one lost answer.
const maxClockAge = timing.WorkerUnresponsiveAfter

// leaseStart returns the time from which a lease that is requested now is counted: now, or earlier if a run on the worker may not be extended
// any more. ok is false if no lease may be requested.
func (r *Runner) leaseStart(now time.Time) (from time.Time, ok bool) {
	if !r.worker.knowsAllRuns || len(r.worker.orphans) > 0 || r.isIsolated(now) {
		return time.Time{}, false
	}
	from = now
	for _, t := range r.tasks {
		if t.state != stateQueued {
			from = minTime(from, r.extendableUntil(t))
		}
	}
	return from, true
}

// extendableUntil returns the time until which the run of a task may be extended. It is zero if the session has ended.
func (r *Runner) extendableUntil(t *task) time.Time {
	if t.state == stateStopping {
		return t.stop.extendableUntil
	}
	s, ok := r.sessions[t.session]
	if !ok {
		return time.Time{}
	}
	return s.validUntil
}

// minTime returns the earlier of two times.
func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// isLeaseHeldBack reports whether a run that may not be extended has kept the lease from being extended for
// timing.WorkerUnresponsiveAfter.
func (r *Runner) isLeaseHeldBack(now time.Time) bool {
	from, ok := r.leaseStart(now)
	return ok && now.Sub(from) > timing.WorkerUnresponsiveAfter
}

// updateLeaseHeldBack makes entries know whether new tasks are rejected because the lease is held back.
func (r *Runner) updateLeaseHeldBack(now time.Time) {
	if isHeldBack := r.isLeaseHeldBack(now); isHeldBack != r.worker.wasLeaseHeldBack {
		r.worker.wasLeaseHeldBack = isHeldBack
		r.markLoadDue()
	}
}

// requestLease returns the end of the lease to request now, on the worker's clock, or zero if none may be requested, that clock is
// unknown, or the lease would be over.
func (r *Runner) requestLease(now time.Time) time.Duration {
	from, ok := r.leaseStart(now)
	isClockKnown := r.worker.clock != 0 && now.Sub(r.worker.clockRead) <= maxClockAge
	if !ok || !isClockKnown || now.Sub(from) >= r.limits.Lease {
		return 0
	}
	if from.After(r.worker.leasedFrom) {
		r.worker.leasedFrom = from
	}
	return r.worker.clock + from.Sub(r.worker.clockRead) + r.limits.Lease
}

// leaseBound returns the longest time for which a run may continue after a lease was last requested, on this process's
// clock.
func (r *Runner) leaseBound() time.Duration {
	return withDrift(r.limits.Lease) + r.limits.Stop
}

// maxTickGap is the time between two ticks above which this process may have been suspended with its VM. A shorter
// suspension is covered by the lease, which is renewed as soon as it is over.
const maxTickGap = 500 * time.Millisecond

// recordTick postpones the expiry of the lease by the time for which the process may have been suspended: the worker's
// clock then stopped too, and a run must have ended before it is reported as lost. If only this process was stopped, a
// listing shows which runs have ended.
func (r *Runner) recordTick(now time.Time) {
	gap := now.Sub(r.lastTick)
	isLate := !r.lastTick.IsZero() && gap > maxTickGap
	if !r.lastTick.IsZero() {
		r.lateness.record(now, gap)
	}
	r.lastTick = now
	if isLate && r.worker != nil && !r.worker.leasedFrom.IsZero() {
		r.worker.leasedFrom = r.worker.leasedFrom.Add(gap)
	}
}

// hasLeaseExpired reports whether the worker's lease must have expired at a time, and for how long.
func (r *Runner) hasLeaseExpired(at time.Time) (since time.Duration, ok bool) {
	if r.worker.leasedFrom.IsZero() {
		return 0, false
	}
	since = at.Sub(r.worker.leasedFrom) - r.leaseBound()
	return since, since > 0
}

// expireLease reports the runs of an unresponsive worker as lost whose lease must have expired there. A worker that responds lists the ends of
// its runs.
func (r *Runner) expireLease(now time.Time) {
	expiredFor, ok := r.hasLeaseExpired(now)
	if !ok || !r.worker.isUnresponsive(now) {
		return
	}
	for _, t := range r.active() {
		if t.state == stateStarting || t.IsDurable && expiredFor <= timing.DurableLossDelay {
			continue
		}
		r.finish(t, OutcomeLost, "the run's lease has expired")
	}
}
