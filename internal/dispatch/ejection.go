// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"sailhead/internal/ejection"
	"sailhead/internal/runner"
)

// This file decides how jobs use an ejected worker. Its agent ejects it and offers probes (runner/ejection.go); probe.go selects
// the tasks that use them.
//
// Inputs: which workers of a service are ejected, among those that would otherwise get tasks.
//
// Rule: an ejected worker gets no tasks and no reservations, and its resources do not count as free. If more than
// maxEjectedShare of the workers of a service are ejected, they get tasks that have another attempt left, but only after all
// other workers (plan.go), and their agents are told to ignore the ejection. If all are ejected, they get the other tasks too.
//
// Reason: a worker whose tasks fail is free again at once, so it attracts waiting tasks as soon as the others are full, and jobs
// use up their attempts there. But so many workers rarely become unhealthy independently of each other: the common cause may
// be a kind that fails everywhere or a rack that is far from its data, and a wrong decision must not take all workers of a site
// out of service. If all are ejected, a task without another attempt has no other worker to wait for.

// maxEjectedShare is the share of the workers of a service above which ejections are ignored. With more unhealthy workers, and
// all workers busy, a third of the jobs would be refused for lack of their resources. If half of the runs on them fail, they
// still serve most of the tasks that have another attempt; if all fail, they cost other tasks little.
const maxEjectedShare = 0.3

// hasSpareAttempt reports whether the next run of a task may fail without ending the job.
func (j *job) hasSpareAttempt(t *task) bool { return t.failures+1 < j.Kind.MaxAttempts() }

// mayRunDespiteEjection reports whether the first run of a task of an arriving job may start on the ejected worker without a probe.
func (a *agent) mayRunDespiteEjection(j *job) bool {
	return a.ignoresEjection && (a.isWholeServiceEjected || j.Kind.MaxAttempts() > 1)
}

// countWithSpareAttempt returns the number of tasks before the first one whose next failed run ends the job. That one does not run on an
// ejected worker.
func (j *job) countWithSpareAttempt(tasks []*task) int {
	for i, t := range tasks {
		if !j.hasSpareAttempt(t) {
			return i
		}
	}
	return len(tasks)
}

// ejectionChanged handles the ejection of an agent's worker, and its return to service.
func (d *Dispatcher) ejectionChanged(a *agent) {
	d.agentsChanged()
	if a.load.IsEjected {
		d.cancelReservationsAt(a.id)
	}
	d.emit(DecisionMade{Decision: DecisionEjected{IsEjected: a.load.IsEjected}, Agent: a.id})
}

// ejections counts the workers of a service that get tasks or would get them if they were not ejected, and the ejected ones among
// them.
type ejections struct{ all, ejected int }

// with returns the counts including the worker of another agent.
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

// exceedLimit reports whether the share of ejected workers is so large that ejections are ignored.
func (e ejections) exceedLimit() bool {
	return float64(e.ejected) > maxEjectedShare*float64(e.all)
}

// areAllEjected reports whether all workers are ejected.
func (e ejections) areAllEjected() bool { return e.ejected == e.all }

// updateEjections recomputes at which agents the ejection is ignored.
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
		a.ignoresEjection = a.load.IsEjected && !d.limits.NoEjection && count.exceedLimit()
		a.isWholeServiceEjected = a.ignoresEjection && count.areAllEjected()
	}
}

// EjectedAgents returns the number of agents in session whose workers are ejected.
func (d *Dispatcher) EjectedAgents() int { return d.ejectedAgents }

// kindFailureRate returns the failure rate, 0 to 1, of the runs of the job's kind at agents other than the given one.
func (d *Dispatcher) kindFailureRate(j *job, at AgentID) float64 {
	if d.limits.NoEjection {
		return 0
	}
	isEjected := func(id AgentID) bool {
		a, ok := d.agents[id]
		return ok && a.load.IsEjected
	}
	return d.kindOutcomes[j.Kind.Name].FailureRate(string(at), func(id string) bool { return isEjected(AgentID(id)) })
}

// recordOutcome records whether a run of a kind failed at an agent, by the criteria that agents use: it failed, took far longer than
// expected, or was stopped there without a request from this entry.
func (d *Dispatcher) recordOutcome(now time.Time, j *job, t *task, outcome runner.Outcome) {
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
		d.recordKindOutcome(j, t.agent, hasFailed)
	}
}

// wasOverdue reports whether a run that has ended now took far longer than expected.
func (d *Dispatcher) wasOverdue(now time.Time, j *job, t *task) bool {
	a, ok := d.agents[t.agent]
	if !ok {
		return false
	}
	usual := a.usualTime(j.expectedAt(t.step, a))
	return ejection.IsOverdue(ejection.Progress{Elapsed: now.Sub(t.placedAt)}, usual, false)
}

// recordKindOutcome records whether a run of a kind failed at an agent.
func (d *Dispatcher) recordKindOutcome(j *job, at AgentID, hasFailed bool) {
	d.kindOutcomes[j.Kind.Name] = d.kindOutcomes[j.Kind.Name].WithRun(string(at), hasFailed)
}
