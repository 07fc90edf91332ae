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
// Rule: a worker that has not answered a renewal for timing.WorkerUnresponsiveAfter, although one was sent at least
// timing.RenewInterval ago, gets no new tasks and no new leases. Once its last lease, the clock drift and the time for
// a stop have passed, its runs are reported as lost; those of durable tasks after another timing.DurableLossDelay. A
// start in progress is decided by its own answer.
// Reason: the entry runs a lost task again elsewhere, so the run on this worker must have ended. A successful end of a
// durable task's run must not be missed, or the task would run twice.

// isUnresponsive reports whether the worker has left all renewals unanswered for timing.WorkerUnresponsiveAfter. Time
// without an outstanding renewal does not count: otherwise, idle workers became unresponsive for a moment now and then
// (31 times on a quiet day with 11 workers) and rejected starts.
func (i *incarnation) isUnresponsive(now time.Time) bool {
	wasAsked := !i.askedAt.IsZero() && now.Sub(i.askedAt) >= timing.RenewInterval
	return wasAsked && now.Sub(i.lastAnswered) > timing.WorkerUnresponsiveAfter
}

// maxClockAge is the maximum age of a reading of the worker's clock from which a lease is computed. While the VM is
// suspended, the worker's clock stops and this process's does not, so a lease computed from an older reading would be
// too long by the suspension. Every answer brings a new reading, at least every idleRenewInterval, and the limit
// tolerates one lost answer.
const maxClockAge = timing.WorkerUnresponsiveAfter

// leaseUntil returns the end of a lease that begins now, on the worker's clock, or zero if that clock is unknown.
func (r *Runner) leaseUntil(now time.Time) time.Duration {
	if r.worker.clock == 0 || now.Sub(r.worker.clockRead) > maxClockAge {
		return 0
	}
	return r.worker.clock + now.Sub(r.worker.clockRead) + r.limits.Lease
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
	if isLate && r.worker != nil && !r.worker.lastRenewal.IsZero() {
		r.worker.lastRenewal = r.worker.lastRenewal.Add(gap)
	}
}

// expireLease reports the runs as lost whose lease must have expired on the worker.
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
