// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// place sends tasks of waiting jobs to workers with free resources.
//
// Inputs: the waiting jobs in the order of compareJobs, the free resources of the workers.
//
// Rule: each job gets as many of the free resources as it can use. If some of its tasks found none, it reserves resources.
// Every later job of the same service then reserves resources, too, even if some are free, unless it can use free resources
// that the earlier jobs could not use (headroom.go, plan).
//
// Reason: a job that waited until all its tasks fit would be refused while workers have resources for some of them, and
// would make later jobs wait in the meantime. Agents offer what becomes free to the first of the reservations of all
// entries (package runner).
//
// It runs only if isPlaceDue, because each call visits every waiting job and every worker. Most events are loads that
// report fewer free resources or only reserved ones, and cannot lead to a placement.
func (d *Dispatcher) place(now time.Time) {
	if len(d.agents) == 0 {
		return
	}
	if len(d.probes) > 0 {
		d.useProbes(now)
	}
	d.sortWaiting()
	left := make(durationBounds)
	for _, j := range slices.Clone(d.waiting) {
		if !d.mayPlace(now, j) || left.isFull(j) && d.hasReserved(j) {
			continue
		}
		left.add(j, d.placeJob(now, j, left.isFull(j)))
	}
}

// tickInterval is the time between two ticks.
const tickInterval = 10 * time.Millisecond

// mayPlace reports whether tasks of a job may be placed now. Jobs that may not be placed do not block later ones. A job
// that is past its latest start or has expired is ended by the next tick, which can come late after the VM was suspended.
// It may be placed for one interval between ticks after its latest start, or after it was accepted if that came later, so
// that none is refused beside a worker with resources.
func (d *Dispatcher) mayPlace(now time.Time, j *job) bool {
	switch {
	case j.isDurable:
		return !d.isShuttingDown() && !d.awaitsAgents(now, j)
	case now.After(j.expiresAt()), d.isShuttingDown() && now.After(d.shutdownAt):
		return false
	default:
		return j.hasSentTask || !now.After(later(d.latestStart(j), j.acceptedAt).Add(tickInterval))
	}
}

// placeJob places the tasks of a job that may run now, unless isFull is set, and reserves resources for those that found no
// worker. It returns the duration below which tasks of later jobs of the service may still find resources.
func (d *Dispatcher) placeJob(now time.Time, j *job, isFull bool) durationBound {
	tasks, roomLeft := d.placeable(now, j), fitsAny
	if free := d.withoutOffer(j, tasks); !isFull && len(free) > 0 {
		var placements []placement
		placements, roomLeft = d.plan(now, j, free)
		for _, p := range placements {
			d.send(now, p)
		}
		tasks = d.placeable(now, j)
	}
	if len(tasks) > 0 && d.isContained(j) {
		// A contained job reserves nothing, as all agents of its kind are tried again soon, and blocks no later job.
		return fitsAny
	}
	if len(tasks) > 0 {
		d.reserve(now, j, tasks)
		if len(d.withoutOffer(j, tasks)) == 0 {
			return fitsAny
		}
		return roomLeft
	}
	d.cancelReservations(j)
	if j.hasSentTask {
		d.dequeueUnlessPending(now, j)
	}
	return fitsAny
}

// placeable returns the tasks of a job that may be placed now, in the order of their steps.
func (d *Dispatcher) placeable(now time.Time, j *job) []*task {
	var tasks []*task
	for _, t := range j.tasks {
		if t.state == taskPending && !t.awaitsEnd(now) && j.isReady(t.step) && !d.isEnding(t) {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// isEnding reports whether a run of the task from an earlier submission of its job may not have ended yet.
func (d *Dispatcher) isEnding(t *task) bool {
	_, ok := d.endingRuns[t.name]
	return ok || d.runsElsewhere.mayRun(t.name)
}

// send sends a new run of a task to the agent of its placement.
func (d *Dispatcher) send(now time.Time, p placement) {
	j, t, step := p.job, p.task, p.job.Steps[p.task.step]
	expected := d.endWait(now, j)
	d.logRestart(now, j, t)
	t.state = taskSent
	t.agent = p.agent.id
	t.placedAt = now
	t.isRunTimeRepresentative = t.run == 0
	t.run++
	if !j.hasSentTask {
		j.hasSentTask = true
		d.isWaitingSorted = false
	}
	d.forecasts.placed(now, j, 1)
	t.start = p.agent.countStart(now, d.claimed(p))
	d.emit(StartTask{Agent: t.agent, Number: t.start, Task: runner.Task{
		Name: t.name, Run: t.run, Payload: j.Payload, Needs: step.Needs, Checkpoint: t.checkpoint,
		Expected: j.expectedAt(t.step, p.agent), Urgency: j.urgency(), Offer: p.offer, IsDurable: j.isDurable,
		IsSuspect: d.isSuspect(t), Kind: j.Kind.Name, IsContained: d.isContained(j),
		Estimate: j.estimateAt(t.step, p.agent), Weight: j.Kind.Weight,
		IgnoresEjection: p.agent.ignoresEjection, KindFailureRate: d.kindFailureRate(j, t.agent),
	}})
	d.emit(j.decisionMade(now, DecisionPlaced{Expected: expected}).withRun(t.name, t.run, t.agent))
}

// logRestart reports that a task is started although the end of its latest run was not reported.
func (d *Dispatcher) logRestart(now time.Time, j *job, t *task) {
	if t.unreported == nil {
		return
	}
	restarted := DecisionRestarted{
		Earlier: t.unreported.agent, Silence: now.Sub(t.unreported.since), Sessions: d.agentsKnowingAllEnds(), Agents: d.knownAgents,
	}
	d.emit(j.decisionMade(now, restarted).withRun(t.name, t.run, t.unreported.agent))
}

// claimed returns the resources that a placement takes from an agent until the next load includes its start: the needs
// of the task, or all free resources for a suspect or a contained job, as the agent runs it alone.
func (d *Dispatcher) claimed(p placement) worker.Resources {
	needs := p.job.Steps[p.task.step].Needs
	if free := p.agent.free(); (d.isSuspect(p.task) || d.isContained(p.job)) && needs.Fits(free) {
		return free
	}
	return needs
}
