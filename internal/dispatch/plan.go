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

// The rank of a worker for a task is the sum of the weights that apply. Each weight is larger than the sum of the smaller
// ones, so the criteria are compared in this order.
const (
	// rankNotAvoided applies if no run of the task has failed on the worker or was stopped there because it took too long.
	rankNotAvoided = 4
	// rankHealthy applies if the worker is healthy; see health.go.
	rankHealthy = 2
	// rankRack applies if the worker has the rack label of the step.
	rankRack = 1
)

// placement is a task and the agent that will run it.
type placement struct {
	job   *job
	task  *task
	agent *agent
	// offer is the offer whose resources the task uses, zero if it uses none.
	offer runner.OfferID
}

// candidate is an agent that may get tasks of the job.
type candidate struct {
	agent *agent
	// free holds the free resources of its worker that the plan has not used yet.
	free worker.Resources
	// headroom holds the resources that longer tasks have to leave free for shorter ones.
	headroom []shares.HeadroomBound
}

// minIdleCPUShare is the fraction of a worker's CPU that has to be free for the worker to count as nearly idle.
const minIdleCPUShare = 0.7

// idleTimeFactor returns the time factor of a nearly idle worker, and infinity for others.
func (c *candidate) idleTimeFactor() float64 {
	if float64(c.free.CPU) < minIdleCPUShare*float64(c.agent.record.Capacity.CPU) {
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
	// hasExcluded is set if an ejected worker had resources but was not used for tasks that must not fail again.
	hasExcluded bool
	// durationLimit is the shortest estimated duration for which headroom had to be left free, or fitsNone if there was no
	// headroom. Shorter tasks may still find resources.
	durationLimit durationBound
}

// plan chooses workers for as many of the tasks as there are resources for. The tasks are in the order of their steps.
//
// Inputs: the needs (worker.Resources), labels and bounds of the steps; the free resources, labels and health of the
// workers that accept tasks of the service.
//
// Rule: of the workers with the label of the step, those with the highest rank are preferred; of these, those that can run
// the most of the remaining tasks of the step; of these, the fastest nearly idle one (candidate.idleTimeFactor). Ties are
// broken at random.
//
// Reason: the failure of any of its workers delays a job, so it is placed on as few as possible. A fast worker answers it
// sooner, but fast workers that are already in use are left to long jobs that would be late elsewhere. The random order
// prevents all entries from choosing the same worker.
//
// durationLimit is the duration below which tasks of later jobs may find resources if this job does not find enough.
func (d *Dispatcher) plan(now time.Time, j *job, tasks []*task) (placements []placement, roomLeft durationBound) {
	hasExcluded := d.collectCandidates(now, j)
	p := planner{job: j, candidates: d.candidates, isSuspect: d.isSuspect}
	for len(tasks) > 0 {
		group := firstStepTasks(tasks)
		p.placeGroup(group)
		tasks = tasks[len(group):]
	}
	if hasExcluded || p.hasExcluded {
		return p.placements, fitsAny
	}
	return p.placements, p.durationLimit
}

// collectCandidates collects the agents that accept tasks of a job in d.candidates, in random order. Agents whose worker
// is too slow for the job are excluded, unless no other worker could run it. It reports whether a healthy one was
// excluded.
func (d *Dispatcher) collectCandidates(now time.Time, j *job) (hasExcluded bool) {
	d.candidates = d.candidates[:0]
	var slow []candidate
	for _, a := range d.ordered {
		if !d.canPlace(j, a) {
			continue
		}
		c := candidate{agent: a, free: a.unreserved(), headroom: d.headroomAt(a)}
		if a.isTooSlow(now, j) {
			slow = append(slow, c)
			hasExcluded = hasExcluded || a.isHealthy()
		} else {
			d.candidates = append(d.candidates, c)
		}
	}
	canRun := func(c candidate) bool { return j.canRunOn(c.agent.record) }
	if !slices.ContainsFunc(d.candidates, canRun) {
		d.candidates = append(d.candidates, slow...)
		hasExcluded = false
	}
	d.random.Shuffle(len(d.candidates), func(i, k int) {
		d.candidates[i], d.candidates[k] = d.candidates[k], d.candidates[i]
	})
	return hasExcluded
}

// firstStepTasks returns the leading tasks that belong to the same step as the first one.
func firstStepTasks(tasks []*task) []*task {
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
		count = p.countUntilSuspect(group[:count])
		for _, t := range group[:count] {
			p.placements = append(p.placements, placement{job: p.job, task: t, agent: best.agent})
		}
		best.free = best.free.Minus(needs.Times(count))
		if p.isSuspect(group[count-1]) {
			// The agent runs a suspect alone.
			best.free = worker.Resources{}
		}
		group = group[count:]
	}
}

// countUntilSuspect returns how many of the tasks may be placed together: those up to and including the first suspect, as
// nothing is started beside a suspect.
func (p *planner) countUntilSuspect(tasks []*task) int {
	for i, t := range tasks {
		if p.isSuspect(t) {
			return i + 1
		}
	}
	return len(tasks)
}

// best returns the best worker for tasks of one step and how many of them it can run, or 0 if there is none. Workers are
// ranked for the first task.
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

// minSpeedRatio is the minimum ratio of two time factors that counts as a difference in speed. Smaller differences are not
// significant, as the factors are averages.
const minSpeedRatio = 1.1

// compareSpeed compares two candidates by the speed of their workers. It returns a positive number if c is preferred, and
// 0 if there is no relevant difference.
func compareSpeed(other, c *candidate) int {
	own, others := c.idleTimeFactor(), other.idleTimeFactor()
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
	if spare := p.job.countWithSpareAttempt(group); c.agent.load.IsEjected && !c.agent.isWholeServiceEjected && spare < fits {
		fits = spare
		p.hasExcluded = true
	}
	if step.MaxPerWorker > 0 {
		fits = min(fits, step.MaxPerWorker-p.countAt(c.agent, group[0].step))
	}
	return fits
}

// freeFor returns the free resources of a worker that tasks of a step may use, without its headroom for shorter tasks. If
// there is headroom, it updates p.durationLimit.
func (p *planner) freeFor(c *candidate, step int) worker.Resources {
	free := c.free
	estimate := p.job.estimateAt(step, c.agent)
	headroom := shares.HeadroomCPU(c.headroom, estimate)
	free.CPU -= headroom
	if headroom > 0 && (p.durationLimit == fitsNone || durationBound(estimate) < p.durationLimit) {
		p.durationLimit = durationBound(estimate)
	}
	return free
}

// countAt returns the number of tasks of a step that are at an agent or planned for it.
func (p *planner) countAt(a *agent, step int) int {
	count := p.job.countAt(a, step)
	for _, planned := range p.placements {
		if planned.task.step == step && planned.agent == a {
			count++
		}
	}
	return count
}

// countAt returns the number of tasks of a step that are at an agent.
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
