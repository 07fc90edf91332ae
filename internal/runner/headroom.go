// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"slices"
	"time"

	"sailhead/internal/shares"
	"sailhead/internal/worker"
)

// Headroom
//
// Inputs: the free resources of the worker, the estimated run time of a task, and the usual and the present usage of
// kinds with shorter tasks (package shares).
// Rule: a task without an offer is started, and a reservation gets an offer, only if enough resources remain free for
// kinds with shorter tasks. The headroom is sent to entries with the load. The rule applies for contentionTime after
// several competitors have waited for the worker.
// Reason: a long task occupies resources for longer than short tasks can wait. While nobody waits, headroom would only
// keep long tasks off the workers that suit them.

// reasonHeadroom is the reason for rejecting a task without an offer that would use the headroom of shorter tasks.
const reasonHeadroom = "the free resources are kept for shorter tasks"

// bounds returns the headroom that tasks must leave for shorter ones.
func (r *Runner) bounds(now time.Time) []shares.HeadroomBound {
	if r.sharing.areBoundsOutdated && !r.limits.NoShares {
		r.sharing.areBoundsOutdated = false
		r.sharing.bounds = nil
		if now.Before(r.sharing.contendedUntil) {
			r.sharing.bounds = r.sharing.kinds.Headroom(now, r.worker.usedByKind)
		}
	}
	return r.sharing.bounds
}

// freeFor returns the free resources available to a task with the given estimated run time.
func (r *Runner) freeFor(now time.Time, estimate time.Duration) worker.Resources {
	free := r.free()
	free.CPU -= shares.HeadroomCPU(r.bounds(now), estimate)
	return free
}

// fitsBesideHeadroom reports whether a task of a reservation fits into the free resources less the headroom for shorter tasks.
func (r *Runner) fitsBesideHeadroom(now time.Time, free worker.Resources, reserved *reservation) bool {
	left := shares.HeadroomCPU(r.bounds(now), reserved.Estimate)
	return left == 0 || reserved.Needs.CPU <= free.CPU-left
}

// leavesHeadroom reports whether a task may start without using the headroom of shorter ones, and marks it as held back
// if not.
func (r *Runner) leavesHeadroom(now time.Time, t *task) bool {
	if t.hasOffer || t.isRequeued || t.isProbe {
		return true
	}
	t.isLimitedByHeadroom = t.Needs.Fits(r.free()) && !t.Needs.Fits(r.freeFor(now, t.Estimate))
	return !t.isLimitedByHeadroom
}

// hasReservations reports whether any waiting reservation would use the resources that are free or become free next.
// Reservations that must leave headroom do not count, so that entries can start shorter tasks without an offer.
func (r *Runner) hasReservations(now time.Time) bool {
	return slices.ContainsFunc(r.reservations, func(each *reservation) bool {
		return shares.HeadroomCPU(r.bounds(now), each.Estimate) == 0 || each.Needs.Fits(r.freeFor(now, each.Estimate))
	})
}
