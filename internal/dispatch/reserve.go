// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// This file decides at which agents a job reserves resources that it did not find free, and which tasks use an offer.
// Package runner (reservation.go) decides how agents choose among the reservations of all entries.

const (
	// maxReservations is the largest number of agents at which a job reserves; see reservationLimit.
	maxReservations = 24
	// reservationsPerTask is the number of agents at which a job reserves for each waiting task; see reservationLimit.
	reservationsPerTask = 3
	// minScarceReservations is the least limit for a job while resources are scarce or kept free; see reservationLimit.
	minScarceReservations = 12
)

// reservationLimit returns the largest number of agents at which a job reserves.
//
// Inputs: the number of its waiting tasks, whether resources are scarce for its kind (forecast.go) or the remaining ones
// are kept free for shorter tasks (isHeadroomKept).
//
// Rule: reservationsPerTask for each waiting task, and at most maxReservations; at least minScarceReservations while
// resources are scarce or kept free. Reservations at agents that no longer accept tasks or do not respond do not count.
//
// Reason: with a few agents per task, one of them soon has free resources. Each agent costs two messages, one to reserve
// and one to cancel: with many agents for every job, these messages alone saturate the link of an entry, and it loses its
// agents. Where jobs are refused by forecast, few jobs wait: with a few agents each, no urgent job would reserve at some
// of the agents, whose resources would then go to less urgent jobs. Resources that are kept free for shorter tasks exist at
// some agents only.
func reservationLimit(tasks int, isScarceOrKept bool) int {
	limit := min(reservationsPerTask*tasks, maxReservations)
	if isScarceOrKept {
		return max(limit, minScarceReservations)
	}
	return limit
}

// reservation holds what a job has reserved.
type reservation struct {
	// latest is the latest request, without its count.
	latest runner.Reservation
	// agents holds the agents that have the reservation, as far as the entry knows.
	agents map[AgentID]bool
	// agentsVersion is Dispatcher.agentsVersion when the agents were chosen.
	agentsVersion uint64
}

// reserve reserves resources for the tasks of a job that found none. The tasks are in the order of their steps; resources
// are reserved for those of the first step only.
//
// Inputs: the needs and the label of the step, the urgency of the job, the agents that accept tasks of the service and
// their health.
//
// Rule: it reserves at randomly chosen agents whose worker could run a task, at no more than reservationLimit; at workers
// on which many runs fail, and those that the first task avoids, only if there are no others. Reservations are sent again
// when the needs or the urgency change, and more are added when the agents that accept tasks change.
//
// Reason: it is not known which worker will have free resources next. With the limit, the messages of a job do not grow
// with the cluster.
func (d *Dispatcher) reserve(now time.Time, j *job, tasks []*task) {
	group := firstStepTasks(tasks)
	step := j.Steps[group[0].step]
	request := runner.Reservation{
		Job: j.ID, Needs: step.Needs, Urgency: j.urgency(),
		Kind: j.Kind.Name, Estimate: j.times[group[0].step].task, Weight: j.Kind.Weight,
	}
	r := &j.reservation
	isChanged := request != r.latest
	if !isChanged && r.agentsVersion == d.agentsVersion {
		return
	}
	if r.agents == nil {
		r.agents = make(map[AgentID]bool)
	}
	r.latest, r.agentsVersion = request, d.agentsVersion
	request.Count = len(group)
	agents := d.reservationAgents(now, j, step, group[0])
	isScarceOrKept := d.isScarce(now, j) || d.isHeadroomKept(agents, step.Needs)
	missing := reservationLimit(len(group), isScarceOrKept) - r.countAt(agents)
	for _, a := range agents {
		isNew := !r.agents[a.id]
		if isNew && missing <= 0 || !isNew && !isChanged {
			continue
		}
		if isNew {
			missing--
		}
		r.agents[a.id] = true
		request.Estimate = j.estimateAt(group[0].step, a)
		d.emit(Reserve{Agent: a.id, Reservation: request})
	}
}

// hasReserved reports whether a job of which no task has been sent has the reservations that it would make now. Most waiting jobs do, so that
// placing tasks costs little while a long queue waits.
func (d *Dispatcher) hasReserved(j *job) bool {
	return !j.hasSentTask && len(j.reservation.agents) > 0 && j.reservation.agentsVersion == d.agentsVersion
}

// countAt returns the number of the given agents that have the reservation.
func (r *reservation) countAt(agents []*agent) int {
	count := 0
	for _, a := range agents {
		if r.agents[a.id] {
			count++
		}
	}
	return count
}

// reservationAgents returns the agents at which a job may reserve for tasks of a step, in random order.
func (d *Dispatcher) reservationAgents(now time.Time, j *job, step Step, t *task) []*agent {
	var preferred, others []*agent
	d.collectCandidates(now, j)
	for _, c := range d.candidates {
		a := c.agent
		switch {
		case !step.canRunOn(a.record), a.load.IsEjected:
		case !a.isFailing() && !t.avoids(a.id):
			preferred = append(preferred, a)
		default:
			others = append(others, a)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return others
}

// cancelReservations cancels what a job has reserved.
func (d *Dispatcher) cancelReservations(j *job) {
	r := &j.reservation
	if len(r.agents) == 0 {
		return
	}
	for _, a := range d.ordered {
		if r.agents[a.id] {
			d.emit(Reserve{Agent: a.id, Reservation: runner.Reservation{Job: j.ID}})
		}
	}
	*r = reservation{}
}

// discardReservationsAt removes the reservations at an agent without cancelling them, because the agent has discarded
// them: its session ended or its worker changed.
func (d *Dispatcher) discardReservationsAt(id AgentID) {
	for _, j := range d.waiting {
		delete(j.reservation.agents, id)
	}
	d.agentsChanged()
}

// offerReceived uses an offer for the waiting jobs and answers it.
//
// Inputs: the offered resources, the waiting jobs in their order.
//
// Rule: the offer is used for the tasks of the most urgent waiting jobs of its kind that fit, regardless of the job it was
// made for. A task does not use an offer of a worker that it avoids, unless it avoids all. Offers of an agent that is
// deselected, or whose availability zone is evacuated, are not used.
//
// Reason: the job that the offer was made for may have been placed in the meantime. The agent chose the kind by its share,
// and offers what is left to another kind.
func (d *Dispatcher) offerReceived(now time.Time, e OfferReceived) {
	a, ok := d.agents[e.Agent]
	if !ok {
		return
	}
	if e.Offer.IsProbe {
		d.probeReceived(now, a, e.Offer)
		return
	}
	if j, ok := d.jobs[e.Offer.Job]; ok && e.Offer.Remaining == 0 {
		// The agent has removed the reservation. It is made again if tasks are left.
		delete(j.reservation.agents, a.id)
		j.reservation.agentsVersion = 0
	}
	d.sortWaiting()
	remaining := e.Offer.Resources
	for _, j := range d.waiting {
		if a.mayGetTasks() && d.isOfferedTo(j, e.Offer) && d.mayUseOffer(now, j, a) && j.canUse(remaining) && d.mayPlace(now, j) {
			remaining = d.placeFromOffer(now, j, a, e.Offer.ID, remaining)
		}
	}
	d.emit(AnswerOffer{Agent: a.id, Offer: e.Offer.ID})
	d.isPlaceDue = true
}

// isOfferedTo reports whether an offer is made to the kind of a job. An offer without a kind is made to all kinds.
func (d *Dispatcher) isOfferedTo(j *job, offer runner.Offer) bool {
	return d.limits.NoShares || offer.Kind == "" || offer.Kind == j.Kind.Name
}

// mayUseOffer reports whether a job may use an offer of an agent. A contained job may not: it reserves nothing, and would
// take the resources from the job that reserved them. Nor may a job for which the worker is too slow while another worker
// is fast enough.
func (d *Dispatcher) mayUseOffer(now time.Time, j *job, a *agent) bool {
	if j.Kind.Service != a.record.Service || !d.containment.allows(j, a.id) || d.isContained(j) {
		return false
	}
	isSuitable := func(other *agent) bool {
		return d.canPlace(j, other) && j.canRunOn(other.record) && !other.isTooSlow(now, j)
	}
	return !a.isTooSlow(now, j) || !slices.ContainsFunc(d.ordered, isSuitable)
}

// placeFromOffer sends the tasks of a job that fit into the resources left of an offer, and returns what remains of them.
func (d *Dispatcher) placeFromOffer(now time.Time, j *job, a *agent, id runner.OfferID, remaining worker.Resources) worker.Resources {
	p := planner{job: j}
	for _, t := range d.placeable(now, j) {
		step := j.Steps[t.step]
		c := candidate{agent: a, free: remaining}
		if t.avoids(a.id) && d.hasWorker(j, t, func(a *agent) bool { return !t.avoids(a.id) }) || p.fits(&c, []*task{t}) <= 0 {
			continue
		}
		placed := placement{job: j, task: t, agent: a, offer: id}
		p.placements = append(p.placements, placed)
		remaining = remaining.Minus(step.Needs)
		if d.isSuspect(t) {
			// The agent runs a suspect alone.
			remaining = worker.Resources{}
			break
		}
	}
	for _, one := range p.placements {
		d.send(now, one)
	}
	return remaining
}

// hasWorker reports whether there is an agent that accepts tasks of the job, whose worker could run the task if it were
// idle, and that matches.
func (d *Dispatcher) hasWorker(j *job, t *task, matches func(*agent) bool) bool {
	step := j.Steps[t.step]
	return slices.ContainsFunc(d.ordered, func(a *agent) bool {
		return d.canPlace(j, a) && step.canRunOn(a.record) && matches(a)
	})
}

// canRunOn reports whether a task of at least one step of the job could run on a worker if the worker were idle.
func (j *job) canRunOn(w worker.Record) bool {
	return slices.ContainsFunc(j.Steps, func(step Step) bool { return step.canRunOn(w) })
}

// canRunOn reports whether a task of the step could run on a worker if the worker were idle.
func (s Step) canRunOn(w worker.Record) bool {
	return s.Needs.Fits(w.Capacity) && (s.Label == "" || w.HasLabel(s.Label))
}
