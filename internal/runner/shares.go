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
// Inputs: the kind of each reservation and task, the availability zone of its entry, what each of these competitors was given here, the weights
// of the kinds (package shares).
// Rule: what is free goes first to competitors that were given less than their share. Among them, and among the others, urgency decides. An
// offer names the kind whose jobs may use it.
// Reason: by urgency alone a burst of one kind or availability zone takes the room of all others, as its jobs that have begun go before those
// that have not. The agent is the only place that sees what all entries use of its worker.

// sharing is what the runner knows of who uses the worker. It outlives the worker's incarnations.
type sharing struct {
	accounts *shares.Accounts
	kinds    *shares.Kinds
	// bounds is what tasks leave free for shorter ones, unless it is due to be computed again.
	bounds       []shares.Bound
	areBoundsDue bool
	// scarceUntil is until when tasks leave room for shorter ones.
	scarceUntil time.Time
	// lastEmitted is when SharesDivided was emitted last.
	lastEmitted time.Time
}

func newSharing() sharing {
	return sharing{accounts: shares.NewAccounts(), kinds: shares.NewKinds()}
}

// scarceTime is how long after several competitors waited for the worker tasks leave room for shorter ones.
const scarceTime = time.Second

// sharesInterval is the shortest time between two SharesDivided.
const sharesInterval = time.Second

// competitor returns as whom jobs of a kind compete that come through the entry of a session.
func (s *session) competitor(kind string) shares.Competitor {
	return shares.Competitor{Zone: s.zone, Kind: kind}
}

// precedence is what decides who comes first for free resources.
type precedence struct {
	// isBelowShare is set if the competitor was given its share or less.
	isBelowShare bool
	urgency      Urgency
}

// precedenceOf returns the claim of a reservation or a task.
func (r *Runner) precedenceOf(now time.Time, c shares.Competitor, u Urgency) precedence {
	return precedence{isBelowShare: !r.limits.NoShares && r.sharing.accounts.IsBelow(now, c), urgency: u}
}

// compare returns the order of two claims at a time: negative if c comes first.
func (c precedence) compare(other precedence, now time.Time) int {
	return cmp.Or(trueFirst(c.isBelowShare, other.isBelowShare), c.urgency.Compare(other.urgency, now))
}

// recordArrival notes a task or a reservation that asks for room.
func (r *Runner) recordArrival(now time.Time, kind string, needs worker.Resources, estimate time.Duration, urgency Urgency) {
	if !r.limits.NoShares {
		r.sharing.kinds.Arrived(now, kind, needs.CPU, estimate, urgency.StartBy.Sub(now))
	}
}

// chargeStart charges the competitor of a task that is started for its estimated time.
func (r *Runner) chargeStart(now time.Time, t *task) {
	t.charged = shares.NewWork(t.Needs.CPU, t.Estimate)
	r.chargeTask(now, t, t.charged)
}

// settleCharge replaces what was charged for the run of a task by what it took until now.
func (r *Runner) settleCharge(now time.Time, t *task) {
	took := shares.NewWork(t.Needs.CPU, now.Sub(t.began))
	r.chargeTask(now, t, took-t.charged)
	t.charged = took
}

func (r *Runner) chargeTask(now time.Time, t *task, work shares.Work) {
	if !r.limits.NoShares {
		r.sharing.accounts.Charge(now, t.competitor, t.Weight, work)
		r.sharing.kinds.Charge(now, t.Kind, work)
	}
}

// chargeOffer charges the competitor of a reservation for resources that are offered, times the factor: -1 takes it back. A probe, which no
// reservation led to, is charged to nobody.
func (r *Runner) chargeOffer(now time.Time, offered *reservation, resources worker.Resources, factor shares.Work) {
	if !r.limits.NoShares && offered != nil {
		r.sharing.accounts.Charge(now, offered.competitor, offered.Weight, factor*shares.NewWork(resources.CPU, offered.Estimate))
	}
}

// divide divides the worker between its competitors.
func (r *Runner) divide(now time.Time) {
	if r.limits.NoShares {
		return
	}
	r.sharing.areBoundsDue = true
	waiting := r.waitingCompetitors()
	if len(waiting) > 1 {
		r.sharing.scarceUntil = now.Add(scarceTime)
	}
	divided := r.sharing.accounts.Divide(now, cores(r.worker.record.Capacity), waiting)
	if len(waiting) > 1 && now.Sub(r.sharing.lastEmitted) >= sharesInterval {
		r.sharing.lastEmitted = now
		r.emit(SharesDivided{Shares: divided})
	}
}

// waitingCompetitors returns the competitors of the reservations.
func (r *Runner) waitingCompetitors() []shares.Competitor {
	var waiting []shares.Competitor
	for _, each := range r.reservations {
		if !slices.Contains(waiting, each.competitor) {
			waiting = append(waiting, each.competitor)
		}
	}
	return waiting
}

// cores returns the CPU of resources in cores.
func cores(resources worker.Resources) float64 {
	const milliCores = 1000
	return float64(resources.CPU) / milliCores
}
