// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/shares"
	"sailhead/internal/worker"
)

// The rank of a worker for a task is the sum of the weights that apply. Each weight is larger than the sum of the smaller ones, so a worker
// where the task did not fail comes before any where it did, and so on.
const (
	// rankNotAvoided: no run of the task failed on the worker or was stopped there because it took too long.
	rankNotAvoided = 4
	// rankHealthy: the worker is healthy; see health.go.
	rankHealthy = 2
	// rankRack: the worker has the rack label of the step.
	rankRack = 1
)

// placement is a task and the agent that is to run it.
type placement struct {
	job   *job
	task  *task
	agent *agent
	// offer is the offer whose resources the task uses, zero for none.
	offer runner.OfferID
}

// candidate is an agent whose worker may get tasks of the job.
type candidate struct {
	agent *agent
	// free are the resources that the plan has left.
	free worker.Resources
	// headroom is what tasks have to leave of it for shorter ones.
	headroom []shares.Bound
}

// spareShare is the part, 0 to 1, of its CPU that is free at least on a worker that is nearly free.
const spareShare = 0.7

// spareFactor returns the time factor of a worker that is nearly free, and a larger one than any for others.
func (c *candidate) spareFactor() float64 {
	if float64(c.free.CPU) < spareShare*float64(c.agent.record.Capacity.CPU) {
		return math.Inf(1)
	}
	return c.agent.timeFactor
}

// planner chooses workers for the tasks of one job.
type planner struct {
	job        *job
	candidates []candidate
	placements []placement
	// isSuspect reports whether a worker has crashed under a task.
	isSuspect func(*task) bool
	// hasLeftOut is set if an ejected worker had room for a task that must not fail again.
	hasLeftOut bool
	// left is the room for tasks that are shorter than those that have to leave some.
	left room
}

// plan chooses workers for as many of the tasks as there are resources. The tasks are in the order of their steps.
//
// Inputs: the needs (worker.Resources), labels and bounds of the steps; the free resources, labels and health of the
// workers that accept tasks of the service.
//
// Rule: of the workers with the label of the step, those with the highest rank; of these the one that can run the most
// of the remaining tasks of the step; of these the fastest one that is nearly free (candidate.spareFactor). Ties are broken at random.
//
// Reason: a job suffers from each of its workers that fails, so it is placed on as few as possible. It is answered sooner by a fast one, but
// once these are in use they are left to the long jobs that are late elsewhere. With the random order, entries do not all choose the same worker.
//
// left is the room that other jobs may find although this one does not.
func (d *Dispatcher) plan(now time.Time, j *job, tasks []*task) (placements []placement, left room) {
	hasLeftOut := d.gatherCandidates(now, j)
	p := planner{job: j, candidates: d.candidates, isSuspect: d.isSuspect}
	for len(tasks) > 0 {
		group := sameStep(tasks)
		p.placeGroup(group)
		tasks = tasks[len(group):]
	}
	if hasLeftOut || p.hasLeftOut {
		return p.placements, roomForOthers
	}
	return p.placements, p.left
}

// gatherCandidates collects the agents that accept tasks of a job, in random order. Those whose worker is too slow for the
// job are left out, unless all are that could run it. It reports whether a healthy one was.
func (d *Dispatcher) gatherCandidates(now time.Time, j *job) (hasLeftOut bool) {
	d.candidates = d.candidates[:0]
	var slow []candidate
	for _, a := range d.ordered {
		if !d.mayRun(j, a) {
			continue
		}
		c := candidate{agent: a, free: a.unreserved(), headroom: d.headroomAt(a)}
		if a.isTooSlow(now, j) {
			slow = append(slow, c)
			hasLeftOut = hasLeftOut || a.isHealthy()
		} else {
			d.candidates = append(d.candidates, c)
		}
	}
	canRun := func(c candidate) bool { return j.canRunOn(c.agent.record) }
	if !slices.ContainsFunc(d.candidates, canRun) {
		d.candidates = append(d.candidates, slow...)
		hasLeftOut = false
	}
	d.random.Shuffle(len(d.candidates), func(i, k int) {
		d.candidates[i], d.candidates[k] = d.candidates[k], d.candidates[i]
	})
	return hasLeftOut
}

// sameStep returns the tasks at the beginning that belong to one step.
func sameStep(tasks []*task) []*task {
	for i, t := range tasks {
		if t.step != tasks[0].step {
			return tasks[:i]
		}
	}
	return tasks
}

// placeGroup places tasks of one step until no worker has resources for another.
func (p *planner) placeGroup(group []*task) {
	needs := p.job.Steps[group[0].step].Needs
	for len(group) > 0 {
		best, count := p.best(group)
		if count == 0 {
			return
		}
		count = p.untilSuspect(group[:count])
		for _, t := range group[:count] {
			p.placements = append(p.placements, placement{job: p.job, task: t, agent: best.agent})
		}
		best.free = best.free.Minus(needs.Times(count))
		if p.isSuspect(group[count-1]) {
			// The agent starts nothing beside it.
			best.free = worker.Resources{}
		}
		group = group[count:]
	}
}

// untilSuspect returns how many of the tasks come before the end of the first suspect: nothing is started beside it.
func (p *planner) untilSuspect(tasks []*task) int {
	for i, t := range tasks {
		if p.isSuspect(t) {
			return i + 1
		}
	}
	return len(tasks)
}

// best returns the best worker for tasks of one step and how many of them it can run, or 0 if there is none. The rank
// is that for the first task.
func (p *planner) best(group []*task) (best *candidate, count int) {
	step := p.job.Steps[group[0].step]
	var bestRank int
	for i := range p.candidates {
		c := &p.candidates[i]
		fits := p.fits(c, group)
		if fits <= 0 {
			continue
		}
		rank := rankOf(c.agent, step, group[0])
		isBetter := best == nil || cmp.Or(cmp.Compare(rank, bestRank), cmp.Compare(fits, count), compareSpeed(best, c)) > 0
		if isBetter {
			best, count, bestRank = c, fits, rank
		}
	}
	return best, count
}

// minSpeedRatio is the ratio of the time factors of two workers from which one is faster, as they are averages.
const minSpeedRatio = 1.1

// compareSpeed returns a positive number if tasks are better placed on c than on other for its speed, and 0 if that does not matter.
func compareSpeed(other, c *candidate) int {
	own, others := c.spareFactor(), other.spareFactor()
	if own*minSpeedRatio > others && others*minSpeedRatio > own || math.IsInf(own, 1) && math.IsInf(others, 1) {
		return 0
	}
	return cmp.Compare(others, own)
}

// fits returns how many tasks of one step a worker can run.
func (p *planner) fits(c *candidate, group []*task) int {
	step := p.job.Steps[group[0].step]
	if !step.canRunOn(c.agent.record) {
		return 0
	}
	fits := step.Needs.Count(p.freeFor(c, group[0].step), len(group))
	if spare := p.job.countSpare(group); c.agent.load.IsEjected && !c.agent.isWithoutOther && spare < fits {
		fits = spare
		p.hasLeftOut = true
	}
	if step.PerWorker > 0 {
		fits = min(fits, step.PerWorker-p.countAt(c.agent, group[0].step))
	}
	return fits
}

// freeFor returns what tasks of a step may use of a worker's free resources, and notes if they have to leave any.
func (p *planner) freeFor(c *candidate, step int) worker.Resources {
	free := c.free
	estimate := p.job.estimateAt(step, c.agent)
	left := shares.HeadroomCPU(c.headroom, estimate)
	free.CPU -= left
	if left > 0 && (p.left == roomForNone || room(estimate) < p.left) {
		p.left = room(estimate)
	}
	return free
}

// countAt counts the tasks of a step that are at an agent or planned for it.
func (p *planner) countAt(a *agent, step int) int {
	count := p.job.countAt(a, step)
	for _, planned := range p.placements {
		if planned.task.step == step && planned.agent == a {
			count++
		}
	}
	return count
}

// countAt counts the tasks of a step that are at an agent.
func (j *job) countAt(a *agent, step int) int {
	count := 0
	for _, t := range j.tasks {
		if t.step == step && t.isAt(a.id) {
			count++
		}
	}
	return count
}

// rankOf returns the rank of a worker for a task of a step.
func rankOf(a *agent, step Step, t *task) int {
	rank := 0
	if !t.avoids(a.id) {
		rank += rankNotAvoided
	}
	if a.isHealthy() {
		rank += rankHealthy
	}
	if step.Rack != "" && a.record.HasLabel(step.Rack) {
		rank += rankRack
	}
	return rank
}
