// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// place sends the tasks of the waiting jobs to workers with room. A job whose tasks do not all find room
// gets what comes free next: it lets no other pass.
func (d *Dispatcher) place(now time.Time) {
	if len(d.agents) == 0 {
		return
	}
	for _, j := range slices.Clone(d.waiting) {
		if j.isDurable && (!d.shutdownAt.IsZero() || d.awaitsAgents(now, j)) {
			continue
		}
		if j.lateRetry && !j.everSent && d.freeShare(j.Kind.Service) < lateRetryFreeShare {
			continue
		}
		tasks := d.placeable(now, j)
		if len(tasks) == 0 {
			if j.everSent {
				d.dequeueUnlessPending(now, j)
			}
			continue
		}
		plan := d.plan(j, tasks)
		for _, p := range plan {
			d.send(now, j, p.task, p.agent)
		}
		if len(plan) < len(tasks) {
			// A job that has begun moves up.
			d.dequeue(j)
			d.enqueue(j)
			return
		}
		d.dequeueUnlessPending(now, j)
	}
}

// lateRetryFreeShare is the part of the workers' room that must be free for jobs that come too late to be of worth.
const lateRetryFreeShare = 0.25

// freeShare is the part of the service's room that is free.
func (d *Dispatcher) freeShare(service string) float64 {
	var free, capacity int
	for _, a := range d.agents {
		if a.accepts(service) {
			free += max(a.free().CPU, 0)
			capacity += a.record.Capacity.CPU
		}
	}
	if capacity == 0 {
		return 0
	}
	return float64(free) / float64(capacity)
}

// dequeueUnlessPending takes a job off the waiting ones unless a task of it still has to be placed.
func (d *Dispatcher) dequeueUnlessPending(now time.Time, j *job) {
	for _, t := range j.tasks {
		if t.state == taskPending && (j.isReady(t.step) || now.Before(t.notBefore)) {
			return
		}
	}
	d.dequeue(j)
}

// placement is a task and the agent that is to run it.
type placement struct {
	task  *task
	agent *agent
}

// candidate is an agent with the room that a plan has left there.
type candidate struct {
	agent *agent
	free  worker.Resources
}

// plan finds room for as many of the tasks as there is, on as few workers as possible: a job suffers from
// each worker that fails, so fewer jobs suffer the fewer workers each of them has.
func (d *Dispatcher) plan(j *job, tasks []*task) []placement {
	d.gatherCandidates(j)
	var plan []placement
	for len(tasks) > 0 {
		group := sameStep(tasks)
		plan = d.planGroup(j, group, plan)
		tasks = tasks[len(group):]
	}
	return plan
}

// sameStep returns the first tasks that are of one step.
func sameStep(tasks []*task) []*task {
	for i, t := range tasks {
		if t.step != tasks[0].step {
			return tasks[:i]
		}
	}
	return tasks
}

// gatherCandidates notes the agents whose workers serve the job, in random order.
func (d *Dispatcher) gatherCandidates(j *job) {
	d.candidates = d.candidates[:0]
	for _, a := range d.ordered {
		if a.accepts(j.Kind.Service) {
			d.candidates = append(d.candidates, candidate{agent: a, free: a.free()})
		}
	}
	d.random.Shuffle(len(d.candidates), func(i, k int) {
		d.candidates[i], d.candidates[k] = d.candidates[k], d.candidates[i]
	})
}

// planGroup adds places for equal tasks of one step to a plan.
func (d *Dispatcher) planGroup(j *job, group []*task, plan []placement) []placement {
	step := j.Steps[group[0].step]
	for len(group) > 0 {
		best, count := d.best(j, step, group, plan)
		if count == 0 {
			return plan
		}
		for _, t := range group[:count] {
			plan = append(plan, placement{task: t, agent: best.agent})
		}
		best.free = best.free.Minus(step.Needs.Times(count))
		group = group[count:]
	}
	return plan
}

// best returns the worker that takes most of the tasks, sound ones and the step's rack first.
func (d *Dispatcher) best(j *job, step Step, group []*task, plan []placement) (best *candidate, count int) {
	var bestRank int
	for i := range d.candidates {
		c := &d.candidates[i]
		if step.Label != "" && !c.agent.record.HasLabel(step.Label) {
			continue
		}
		fits := step.Needs.Count(c.free, len(group))
		if step.PerWorker > 0 {
			fits = min(fits, step.PerWorker-j.countAt(c.agent, group[0].step, plan))
		}
		if fits <= 0 {
			continue
		}
		rank := rankOf(c.agent, step, group[0])
		if best == nil || rank > bestRank || rank == bestRank && fits > count {
			best, count, bestRank = c, fits, rank
		}
	}
	return best, count
}

// countAt counts the tasks of a step that are at an agent or planned for it.
func (j *job) countAt(a *agent, step int, plan []placement) int {
	count := 0
	for _, t := range j.tasks {
		if t.step == step && t.state == taskSent && t.agent == a.id {
			count++
		}
	}
	for _, p := range plan {
		if p.task.step == step && p.agent == a {
			count++
		}
	}
	return count
}

// rankOf orders workers for a task: those where it has not failed, sound ones, those of its rack.
func rankOf(a *agent, step Step, t *task) int {
	rank := 0
	if !slices.Contains(t.avoid, a.id) {
		rank += 4
	}
	if a.isHealthy() {
		rank += 2
	}
	if step.Rack != "" && a.record.HasLabel(step.Rack) {
		rank++
	}
	return rank
}

func (d *Dispatcher) send(now time.Time, j *job, t *task, a *agent) {
	step := j.Steps[t.step]
	t.state = taskSent
	t.agent = a.id
	t.placed = now
	t.run++
	j.everSent = true
	number := a.countStart(step.Needs)
	d.emit(StartTask{Agent: a.id, Number: number, Task: runner.Task{
		Name: t.name, Run: t.run, Payload: j.Payload, Needs: step.Needs, Checkpoint: t.checkpoint,
		Expected: step.Expected, Priority: j.Kind.Priority, IsDurable: j.isDurable,
	}})
	d.emit(j.decisionMade(now, DecisionPlaced{}).withRun(t.name, t.run, a.id))
}
