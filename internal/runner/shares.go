// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"cmp"
	"slices"
	"time"

	"sailhead/internal/shares"
	"sailhead/internal/worker"
)

// Shares
//
// Inputs: the competitor to which each reservation and task belongs, which is a kind together with the availability zone of the
// entry; the usage of each competitor on this worker; the weights of the kinds (package shares).
// Rule: competitors that were given no more than their share get free resources first. Among them, and among the others, urgency
// decides. An offer names the kind whose jobs may use it.
// Reason: by urgency alone, a burst of one kind or availability zone would take the resources of all others, as its jobs that have
// started precede the jobs that have not. Only the agent sees how much of its worker all entries use.

// sharing records how the competitors use the worker. It is kept when the worker's incarnation changes.
type sharing struct {
	accounts *shares.Accounts
	kinds    *shares.Kinds
	// bounds are the resources that longer tasks leave free for shorter ones. If areBoundsOutdated is set, they must be computed
	// again before use.
	bounds            []shares.HeadroomBound
	areBoundsOutdated bool
	// contendedUntil is the time until which longer tasks leave resources free for shorter ones.
	contendedUntil time.Time
	// lastEmitted is when SharesDivided was last emitted.
	lastEmitted time.Time
}

func newSharing() sharing {
	return sharing{accounts: shares.NewAccounts(), kinds: shares.NewKinds()}
}

// contentionTime is how long longer tasks leave resources free for shorter ones after several competitors have waited for the worker.
const contentionTime = time.Second

// sharesInterval is the shortest time between two SharesDivided effects.
const sharesInterval = time.Second

// competitor returns the competitor to which the jobs of a kind belong if they arrive on the session.
func (s *session) competitor(kind string) shares.Competitor {
	return shares.Competitor{Zone: s.zone, Kind: kind}
}

// precedence determines the order in which reservations and tasks get free resources.
type precedence struct {
	// isBelowShare is set if the competitor was given no more than its share.
	isBelowShare bool
	urgency      Urgency
}

// precedenceOf returns the precedence of a reservation or a task of a competitor.
func (r *Runner) precedenceOf(now time.Time, c shares.Competitor, u Urgency) precedence {
	return precedence{isBelowShare: !r.limits.NoShares && r.sharing.accounts.IsWithinShare(now, c), urgency: u}
}

// compare returns a negative number if p precedes other, and a positive one if other precedes p.
func (p precedence) compare(other precedence) int {
	return cmp.Or(trueFirst(p.isBelowShare, other.isBelowShare), p.urgency.Compare(other.urgency))
}

// recordArrival records the arrival of a task or a reservation, from which the headroom for its kind is computed.
func (r *Runner) recordArrival(now time.Time, kind string, needs worker.Resources, estimate time.Duration, urgency Urgency) {
	if !r.limits.NoShares {
		r.sharing.kinds.RecordArrival(now, kind, needs.CPU, estimate, urgency.StartBy.Sub(now))
	}
}

// chargeStart charges the estimated work of a task that is started to its competitor.
func (r *Runner) chargeStart(now time.Time, t *task) {
	t.charged = shares.NewWork(t.Needs.CPU, t.Estimate)
	r.chargeTask(now, t, t.charged)
}

// settleCharge replaces the charge for the run of a task by the work that it has used so far.
func (r *Runner) settleCharge(now time.Time, t *task) {
	took := shares.NewWork(t.Needs.CPU, now.Sub(t.startEmittedAt))
	r.chargeTask(now, t, took-t.charged)
	t.charged = took
}

func (r *Runner) chargeTask(now time.Time, t *task, work shares.Work) {
	if !r.limits.NoShares {
		r.sharing.accounts.Charge(now, t.competitor, t.Weight, work)
		r.sharing.kinds.Charge(now, t.Kind, work)
	}
}

// chargeOffer charges offered resources, multiplied by factor, to the competitor of a reservation. A factor of -1 reverses an earlier
// charge. The offer of a probe has no reservation and is not charged.
func (r *Runner) chargeOffer(now time.Time, offered *reservation, resources worker.Resources, factor shares.Work) {
	if !r.limits.NoShares && offered != nil {
		r.sharing.accounts.Charge(now, offered.competitor, offered.Weight, factor*shares.NewWork(resources.CPU, offered.Estimate))
	}
}

// updateShares updates the shares of the worker's competitors.
func (r *Runner) updateShares(now time.Time) {
	if r.limits.NoShares {
		return
	}
	r.sharing.areBoundsOutdated = true
	waiting := r.waitingCompetitors()
	if len(waiting) > 1 {
		r.sharing.contendedUntil = now.Add(contentionTime)
	}
	divided := r.sharing.accounts.Divide(now, cores(r.worker.record.Capacity), waiting)
	if len(waiting) > 1 && now.Sub(r.sharing.lastEmitted) >= sharesInterval {
		r.sharing.lastEmitted = now
		r.emit(SharesDivided{Shares: divided})
	}
}

// waitingCompetitors returns the distinct competitors of the reservations.
func (r *Runner) waitingCompetitors() []shares.Competitor {
	var waiting []shares.Competitor
	for _, each := range r.reservations {
		if !slices.Contains(waiting, each.competitor) {
			waiting = append(waiting, each.competitor)
		}
	}
	return waiting
}

// cores returns the CPU of the resources in cores.
func cores(resources worker.Resources) float64 {
	const milliCores = 1000
	return float64(resources.CPU) / milliCores
}
