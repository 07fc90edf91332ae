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
// Inputs: what is free of the worker, the estimated time of a task, what the kinds of shorter tasks usually use here and use now (package
// shares).
// Rule: a task without an offer is started, and a reservation gets an offer, only if that leaves free what shorter tasks are due. Entries are
// told with the load. It holds for scarceTime after several competitors waited for the worker.
// Reason: room that is taken by a long task is gone for longer than short ones can wait. While nobody waits, it would only keep long tasks off
// the workers that suit them.

// reasonHeadroom is why a task without an offer is rejected that has to leave room for shorter ones.
const reasonHeadroom = "the free resources are kept for shorter tasks"

// bounds returns what tasks leave free for shorter ones.
func (r *Runner) bounds(now time.Time) []shares.Bound {
	if r.sharing.areBoundsDue && !r.limits.NoShares {
		r.sharing.areBoundsDue = false
		r.sharing.bounds = nil
		if now.Before(r.sharing.scarceUntil) {
			r.sharing.bounds = r.sharing.kinds.Headroom(now, r.worker.usedByKind)
		}
	}
	return r.sharing.bounds
}

// freeFor returns the free resources that a task of an estimated time may use.
func (r *Runner) freeFor(now time.Time, estimate time.Duration) worker.Resources {
	free := r.free()
	free.CPU -= shares.HeadroomCPU(r.bounds(now), estimate)
	return free
}

// leavesRoom reports whether a task of a reservation fits into free resources beside what it has to leave for shorter ones.
func (r *Runner) leavesRoom(now time.Time, free worker.Resources, reserved *reservation) bool {
	left := shares.HeadroomCPU(r.bounds(now), reserved.Estimate)
	return left == 0 || reserved.Needs.CPU <= free.CPU-left
}

// leavesHeadroom reports whether a task may start as far as shorter ones go, and notes it if not.
func (r *Runner) leavesHeadroom(now time.Time, t *task) bool {
	if t.hasOffer || t.isRequeued || t.isProbe {
		return true
	}
	t.isHeldBack = t.Needs.Fits(r.free()) && !t.Needs.Fits(r.freeFor(now, t.Estimate))
	return !t.isHeldBack
}

// hasReservations reports whether reservations wait that would use what is free or becomes free next. Those that have to leave room for
// shorter tasks do not count, so that entries start these without an offer.
func (r *Runner) hasReservations(now time.Time) bool {
	return slices.ContainsFunc(r.reservations, func(each *reservation) bool {
		return shares.HeadroomCPU(r.bounds(now), each.Estimate) == 0 || each.Needs.Fits(r.freeFor(now, each.Estimate))
	})
}
