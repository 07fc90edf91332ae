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
// Rule: a worker that has not answered a renewal for timing.WorkerUnresponsiveAfter gets no new tasks and no new leases.
// Once its last lease, the drift and the time of a stop have passed, its runs are reported as lost. A durable task
// waits timing.DurableLossDelay longer. A start under way is left to its own answer.
// Reason: the entry reruns a lost task elsewhere, so the run here must have ended. The end of a durable task's run that
// was done must not be missed, as the task would run twice.
// Measured: see timing.WorkerLease and timing.DurableLossDelay.

// isUnresponsive reports whether the worker has left all renewals unanswered for timing.WorkerUnresponsiveAfter.
func (i *incarnation) isUnresponsive(now time.Time) bool {
	return now.Sub(i.lastAnswered) > timing.WorkerUnresponsiveAfter
}

// leaseUntil returns the end of a lease that begins now, on the worker's clock, or zero if that clock is unknown.
func (r *Runner) leaseUntil(now time.Time) time.Duration {
	if r.worker.clock == 0 {
		return 0
	}
	return r.worker.clock + now.Sub(r.worker.clockRead) + r.limits.Lease
}

// leaseBound returns how long after the last request of a lease a run may continue, on this process's clock.
func (r *Runner) leaseBound() time.Duration {
	return withDrift(r.limits.Lease) + r.limits.Stop
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
