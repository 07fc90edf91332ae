// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// This file decides where a job reserves resources that it did not find free, and which tasks use an offer. How agents
// choose among the reservations of all entries is in package runner (reservation.go).

const (
	// maxReservations is the largest number of agents at which a job reserves; see reservationLimit.
	maxReservations = 24
	// reservationsPerTask is the number of agents at which a job reserves for each task that waits; see reservationLimit.
	reservationsPerTask = 3
	// minScarceReservations is the least number for a job while room is scarce or kept; see reservationLimit.
	minScarceReservations = 12
)

// reservationLimit returns the largest number of agents at which a job reserves.
//
// Inputs: the number of its tasks that wait, whether room is scarce for its kind (forecast.go) or what is left is kept for shorter tasks
// (isRoomKept).
//
// Rule: reservationsPerTask for each of them, and maxReservations at most; minScarceReservations at least while room is scarce or kept.
// Reservations at agents that accept no tasks any more, or do not respond, do not count.
//
// Reason: with a few agents for each task, one of them has room soon. Each agent costs two messages, one to reserve and one to
// cancel: with many for every job these messages alone fill the link of an entry, and it loses its agents. Where jobs are refused by
// forecast few wait: with a few agents each there would be some at which no urgent job reserves, whose room would go to less urgent ones.
// Room that is kept for shorter tasks is at some of the agents only.
func reservationLimit(tasks int, isScarceOrKept bool) int {
	limit := min(reservationsPerTask*tasks, maxReservations)
	if isScarceOrKept {
		return max(limit, minScarceReservations)
	}
	return limit
}

// reservation is what a job has reserved.
type reservation struct {
	// latest is what was requested last, without its count.
	latest runner.Reservation
	// agents are those where the reservation is, as far as the entry knows.
	agents map[AgentID]bool
	// view is Dispatcher.view when the agents were chosen.
	view uint64
}

// reserve reserves resources for the tasks of a job that found none. The tasks are in the order of their steps; those of
// the first step are reserved for.
//
// Inputs: the needs and the label of the step, the urgency of the job, the agents that accept tasks of the service and
// their health.
//
// Rule: reservations at agents whose worker could run a task, chosen at random, at no more than reservationLimit; unhealthy
// workers, and those where the first task failed, only if there is no other. They are repeated when the needs or the urgency
// change, and more are added when agents come.
//
// Reason: nobody knows which worker has room next. With the limit, the messages of a job do not grow with the cluster.
func (d *Dispatcher) reserve(now time.Time, j *job, tasks []*task) {
	group := sameStep(tasks)
	step := j.Steps[group[0].step]
	wanted := runner.Reservation{
		Job: j.ID, Needs: step.Needs, Urgency: j.urgency(),
		Kind: j.Kind.Name, Estimate: j.times[group[0].step].task, Weight: j.Kind.Weight,
	}
	r := &j.reservation
	isChanged := wanted != r.latest
	if !isChanged && r.view == d.view {
		return
	}
	if r.agents == nil {
		r.agents = make(map[AgentID]bool)
	}
	r.latest, r.view = wanted, d.view
	wanted.Count = len(group)
	agents := d.reservationAgents(now, j, step, group[0])
	isScarceOrKept := d.isScarce(now, j) || d.isRoomKept(agents, step.Needs)
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
		wanted.Estimate = j.estimateAt(group[0].step, a)
		d.emit(Reserve{Agent: a.id, Reservation: wanted})
	}
}

// countAt returns at how many of the agents there is a reservation.
func (r *reservation) countAt(agents []*agent) int {
	count := 0
	for _, a := range agents {
		if r.agents[a.id] {
			count++
		}
	}
	return count
}

// reservationAgents returns the agents where a job may reserve for tasks of a step, in random order.
func (d *Dispatcher) reservationAgents(now time.Time, j *job, step Step, t *task) []*agent {
	var preferred, others []*agent
	d.gatherCandidates(now, j)
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

// forgetReservationsAt records that an agent has no reservations of this entry, because its session ended or its worker
// changed.
func (d *Dispatcher) forgetReservationsAt(id AgentID) {
	for _, j := range d.waiting {
		delete(j.reservation.agents, id)
	}
	d.agentsChanged()
}

// offerReceived uses an offer for the waiting jobs and answers it.
//
// Inputs: the offered resources, the waiting jobs in their order.
//
// Rule: the tasks of the most urgent waiting jobs that fit use the offer, whichever job it was made for, if they are of its kind. A task
// uses no offer of a worker that it avoids, unless it avoids all. Offers of an agent whose session is to be closed, or whose availability zone
// is evacuated, are not used.
//
// Reason: the job that led to the offer may have been placed meanwhile. The agent chose the kind by its share, and offers what is left to
// another one.
func (d *Dispatcher) offerReceived(now time.Time, e OfferReceived) {
	a, ok := d.agents[e.Agent]
	if !ok {
		return
	}
	if e.Offer.IsProbe {
		d.probeReceived(now, a, e.Offer)
		return
	}
	if j, ok := d.jobs[e.Offer.Job]; ok && e.Offer.Left == 0 {
		// The reservation is gone at the agent. It is made again if tasks are left.
		delete(j.reservation.agents, a.id)
		j.reservation.view = 0
	}
	d.sortWaiting(now)
	left := e.Offer.Resources
	for _, j := range d.waiting {
		if a.mayGetTasks() && d.isOfferedTo(j, e.Offer) && d.mayUseOffer(now, j, a) && j.canUse(left) && d.mayPlace(now, j) {
			left = d.placeInOffer(now, j, a, e.Offer.ID, left)
		}
	}
	d.emit(AnswerOffer{Agent: a.id, Offer: e.Offer.ID})
	d.isPlaceDue = true
}

// isOfferedTo reports whether an offer is for jobs of the kind of a job. One that names no kind is for all.
func (d *Dispatcher) isOfferedTo(j *job, offer runner.Offer) bool {
	return d.limits.NoShares || offer.Kind == "" || offer.Kind == j.Kind.Name
}

// mayUseOffer reports whether a job may use an offer of an agent. One that is contained does not, as it reserves nothing: what it
// used would be lost to the job that did. Nor does one for which the worker is too slow, while another suits it.
func (d *Dispatcher) mayUseOffer(now time.Time, j *job, a *agent) bool {
	if j.Kind.Service != a.record.Service || !d.containment.permits(j, a.id) || d.isContained(j) {
		return false
	}
	isSuitable := func(other *agent) bool {
		return d.mayRun(j, other) && j.canRunOn(other.record) && !other.isTooSlow(now, j)
	}
	return !a.isTooSlow(now, j) || !slices.ContainsFunc(d.ordered, isSuitable)
}

// placeInOffer sends the tasks of a job that fit into what is left of an offer, and returns what is left then.
func (d *Dispatcher) placeInOffer(now time.Time, j *job, a *agent, id runner.OfferID, left worker.Resources) worker.Resources {
	p := planner{job: j}
	for _, t := range d.placeable(now, j) {
		step := j.Steps[t.step]
		c := candidate{agent: a, free: left}
		if t.avoids(a.id) && d.hasWorker(j, t, func(a *agent) bool { return !t.avoids(a.id) }) || p.fits(&c, []*task{t}) <= 0 {
			continue
		}
		one := placement{job: j, task: t, agent: a, offer: id}
		p.placements = append(p.placements, one)
		left = left.Minus(step.Needs)
		if d.isSuspect(t) {
			// The agent starts nothing beside it.
			left = worker.Resources{}
			break
		}
	}
	for _, one := range p.placements {
		d.send(now, one)
	}
	return left
}

// hasWorker reports whether an agent accepts tasks of the job whose worker could run the task if it were empty, and which suits.
func (d *Dispatcher) hasWorker(j *job, t *task, suits func(*agent) bool) bool {
	step := j.Steps[t.step]
	return slices.ContainsFunc(d.ordered, func(a *agent) bool {
		return d.mayRun(j, a) && step.canRunOn(a.record) && suits(a)
	})
}

// canRunOn reports whether a task of some step of the job could run on a worker if it were empty.
func (j *job) canRunOn(w worker.Record) bool {
	return slices.ContainsFunc(j.Steps, func(step Step) bool { return step.canRunOn(w) })
}

// canRunOn reports whether a task of the step could run on a worker if it were empty.
func (s Step) canRunOn(w worker.Record) bool {
	return s.Needs.Fits(w.Capacity) && (s.Label == "" || w.HasLabel(s.Label))
}
