// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"sailhead/internal/ejection"
	"sailhead/internal/runner"
)

// This file decides what an ejected worker means for jobs. Its agent ejects it and offers probes (runner/ejection.go); probe.go decides which
// tasks use them.
//
// Inputs: which workers of a service are ejected, of those that get tasks otherwise.
//
// Rule: an ejected worker's room is no room: it gets no tasks and no reservations, and does not count for what is free. If more than
// maxEjectedShare of the workers of a service are ejected, they get tasks again that have another attempt left, after all others (plan.go),
// and their agents are told to ignore the ejection. If all are, they get the other tasks too.
//
// Reason: a worker that fails its tasks is free again at once, so it draws what waits as soon as the others are full, and jobs use up
// their attempts there. But so many workers are rarely ill at once by themselves: what they have in common may be a kind that
// fails everywhere or a rack that is far from its data, and a wrong decision must not take all workers of a site out of service. A task that
// must not fail again has no other worker to wait for if all are ejected.

// maxEjectedShare is the part of the workers of a service, 0 to 1, above which ejections are ignored. If more are ill, a third of the jobs are
// refused for want of their room when all workers are busy. Used for tasks that may fail, they serve most of these if half of their runs fail, and
// cost the others little if all do.
const maxEjectedShare = 0.3

// hasSpareAttempt reports whether the next run of a task may fail without ending the job.
func (j *job) hasSpareAttempt(t *task) bool { return t.failures+1 < j.Kind.MaxAttempts() }

// mayRunDespiteEjection reports whether the first run of a task of a job that arrives may be started on the ejected worker without a probe.
func (a *agent) mayRunDespiteEjection(j *job) bool {
	return a.ignoresEjection && (a.isWithoutOther || j.Kind.MaxAttempts() > 1)
}

// countSpare returns how many of the tasks come before the first one whose next failed run ends the job: it does not run on an ejected worker.
func (j *job) countSpare(tasks []*task) int {
	for i, t := range tasks {
		if !j.hasSpareAttempt(t) {
			return i
		}
	}
	return len(tasks)
}

// ejectionChanged applies that the worker of an agent was ejected or is in service again.
func (d *Dispatcher) ejectionChanged(a *agent) {
	d.agentsChanged()
	if a.load.IsEjected {
		d.cancelReservationsAt(a.id)
	}
	d.emit(DecisionMade{Decision: DecisionEjected{IsEjected: a.load.IsEjected}, Agent: a.id})
}

// ejections counts the workers of a service that get tasks or would if they were not ejected, and those of them that are.
type ejections struct{ all, ejected int }

// with returns the counts with the worker of another agent.
func (e ejections) with(a *agent) ejections {
	if a.unresponsive || !a.mayGetTasks() || !a.load.Accepts && !a.load.IsEjected {
		return e
	}
	e.all++
	if a.load.IsEjected {
		e.ejected++
	}
	return e
}

// areTooMany reports whether so many are ejected that this is ignored.
func (e ejections) areTooMany() bool {
	return float64(e.ejected) > maxEjectedShare*float64(e.all)
}

// areAll reports whether no worker is in service.
func (e ejections) areAll() bool { return e.ejected == e.all }

// updateEjections decides anew at which agents the ejection is ignored.
func (d *Dispatcher) updateEjections() {
	d.ejectedAgents = 0
	counts := make(map[string]ejections)
	for _, a := range d.ordered {
		if a.load.IsEjected {
			d.ejectedAgents++
		}
		counts[a.record.Service] = counts[a.record.Service].with(a)
	}
	for _, a := range d.ordered {
		count := counts[a.record.Service]
		a.ignoresEjection = a.load.IsEjected && !d.limits.NoEjection && count.areTooMany()
		a.isWithoutOther = a.ignoresEjection && count.areAll()
	}
}

// EjectedAgents returns the number of agents in session whose workers are ejected.
func (d *Dispatcher) EjectedAgents() int { return d.ejectedAgents }

// kindFailures returns the share of the runs of the job's kind, 0 to 1, that go wrong at other agents than the given one.
func (d *Dispatcher) kindFailures(j *job, at AgentID) float64 {
	if d.limits.NoEjection {
		return 0
	}
	isEjected := func(id AgentID) bool {
		a, ok := d.agents[id]
		return ok && a.load.IsEjected
	}
	return d.kindOutcomes[j.Kind.Name].FailureRate(string(at), func(id string) bool { return isEjected(AgentID(id)) })
}

// noteEnd remembers whether a run of a kind went wrong at an agent, as agents judge it: it failed, took far longer than expected, or was stopped
// there though nothing here has asked for that.
func (d *Dispatcher) noteEnd(now time.Time, j *job, t *task, outcome runner.Outcome) {
	isKnown, hasFailed := true, false
	switch outcome {
	case runner.OutcomeDone:
		hasFailed = d.wasOverdue(now, j, t)
	case runner.OutcomeFailed:
		hasFailed = true
	case runner.OutcomeStopped:
		isKnown, hasFailed = !t.avoids(t.agent), true
	default:
		isKnown = false
	}
	if isKnown {
		d.noteOutcome(j, t.agent, hasFailed)
	}
}

// wasOverdue reports whether a run that has ended now took far longer than expected.
func (d *Dispatcher) wasOverdue(now time.Time, j *job, t *task) bool {
	a, ok := d.agents[t.agent]
	if !ok {
		return false
	}
	usual := a.usualTime(j.expectedAt(t.step, a))
	return ejection.IsOverdue(ejection.Progress{Elapsed: now.Sub(t.placed)}, usual, false)
}

// noteOutcome remembers whether a run of a kind went wrong at an agent.
func (d *Dispatcher) noteOutcome(j *job, at AgentID, hasFailed bool) {
	d.kindOutcomes[j.Kind.Name] = d.kindOutcomes[j.Kind.Name].WithRun(string(at), hasFailed)
}
