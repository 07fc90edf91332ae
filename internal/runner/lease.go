// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/timing"
)

// The worker's lease and its expiry
//
// Inputs: when a lease was last requested, Limits.Lease and Limits.Stop, and the drift of the worker's clock.
// Rule: a worker that has not answered a renewal for timing.WorkerUnresponsiveAfter, though it was asked timing.RenewInterval ago,
// gets no new tasks and no new leases.
// Once its last lease, the drift and the time of a stop have passed, its runs are reported as lost. A durable task
// waits timing.DurableLossDelay longer. A start under way is left to its own answer.
// Reason: the entry reruns a lost task elsewhere, so the run here must have ended. The end of a durable task's run that
// was done must not be missed, as the task would run twice.

// isUnresponsive reports whether the worker has left all renewals unanswered for timing.WorkerUnresponsiveAfter. One that was not asked
// has not failed to answer: without that, each idle worker of a quiet day was unresponsive for a moment now and then, 31 times with 11
// workers, and rejected starts.
func (i *incarnation) isUnresponsive(now time.Time) bool {
	wasAsked := !i.askedAt.IsZero() && now.Sub(i.askedAt) >= timing.RenewInterval
	return wasAsked && now.Sub(i.lastAnswered) > timing.WorkerUnresponsiveAfter
}

// maxClockAge is how old a reading of the worker's clock may be for a lease to be computed from it. The worker's clock stands still while
// the VM is suspended and this process's does not, so an old reading would give a lease that is longer by the suspension. Every answer
// brings a new one, at least every idleRenewInterval, and one lost answer is within this.
const maxClockAge = timing.WorkerUnresponsiveAfter

// leaseUntil returns the end of a lease that begins now, on the worker's clock, or zero if that clock is unknown.
func (r *Runner) leaseUntil(now time.Time) time.Duration {
	if r.worker.clock == 0 || now.Sub(r.worker.clockRead) > maxClockAge {
		return 0
	}
	return r.worker.clock + now.Sub(r.worker.clockRead) + r.limits.Lease
}

// leaseBound returns how long after the last request of a lease a run may continue, on this process's clock.
func (r *Runner) leaseBound() time.Duration {
	return withDrift(r.limits.Lease) + r.limits.Stop
}

// maxTickGap is the time between two ticks above which this process may have been suspended with its VM: a shorter suspension is within the
// lease, which is renewed as soon as it is over.
const maxTickGap = 500 * time.Millisecond

// noteTick lets the lease of the runs end later by the time for which the process may have been suspended: the worker's clock then
// stood still too, and a run that is reported as lost must have ended. If the process alone was stopped, a listing shows the ends.
func (r *Runner) noteTick(now time.Time) {
	gap := now.Sub(r.lastTick)
	isLate := !r.lastTick.IsZero() && gap > maxTickGap
	if !r.lastTick.IsZero() {
		r.lateness.record(now, gap)
	}
	r.lastTick = now
	if isLate && r.worker != nil && !r.worker.lastRenewal.IsZero() {
		r.worker.lastRenewal = r.worker.lastRenewal.Add(gap)
	}
}

// expireLease reports the runs as lost whose leases must have expired on the worker.
func (r *Runner) expireLease(now time.Time) {
	if r.worker.lastRenewal.IsZero() {
		return
	}
	expiredFor := now.Sub(r.worker.lastRenewal) - r.leaseBound()
	if expiredFor <= 0 {
		return
	}
	for _, t := range r.active() {
		if t.state == stateStarting || t.IsDurable && expiredFor <= timing.DurableLossDelay {
			continue
		}
		r.finish(t, OutcomeLost, "the worker is unresponsive and the run's lease has expired")
	}
}
