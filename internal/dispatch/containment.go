// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sailhead/internal/runner"
)

// This file decides what becomes of a kind of job of which several jobs have crashed workers. What is known of the kinds is in
// kinds.go.
//
// Inputs: the jobs that were given up because workers crashed under them (crash.go), by kind; the registered agents.
//
// Rule: a kind with at most maxKindShare of the work is contained once as many of its jobs were given up within evidenceTime as
// there are agents, divided by agentsPerEvidence, two at least. Its jobs run on some agents only, and no other jobs run there: as
// many as its share of the work that callers submit, the first ones of a ranking by kind and agent. On a worker nothing is started
// beside a contained job for some time (runner/containment.go). A crash in that time speaks against the job: unless it is
// durable, its caller is told at once that it was interrupted, and no second worker is tried. If none of its agents accepts
// tasks, its jobs are refused at once. The kind is let out after a trial: trialJobs of its jobs done without another crash for
// evidenceTime, or trialTime without one.
//
// Reason: each job that crashes its workers takes two of them away for seconds. If they come faster than workers come back,
// nobody is served, of any kind. Contained, they take the kind's share of the workers only. Every entry hears of every crash with
// the kinds of the runs, so all decide the same and choose nearly the same agents without asking each other: the smaller choice
// is part of the larger. An entry that has just started hears from the agents of crashes under contained jobs, which tell that
// others contain the kind. That a rack loses power is no evidence: it makes suspects, and a job is only given up with a second
// crash in which it was the latest start. Nor is one job that many callers wait for: jobs count, not requests.
//
// Cost if the kind is innocent: the kind has no more than its share of the workers for a trial, and others no more than theirs.
// A worker that crashes by chance within suspectTime after a contained job was started interrupts that job.

const (
	// minEvidence is how many jobs of a kind must have been given up at least. One may be a job by itself.
	minEvidence = 2
	// agentsPerEvidence is how many agents there are for each job that must have been given up: with two crashes for each of these, two
	// fifths of the workers are away.
	agentsPerEvidence = 5
	// evidenceTime is how long a job that was given up counts for that: about as long as a worker is away after a crash.
	evidenceTime = 3 * time.Second
	// trialJobs is how many jobs of a contained kind must have been done here without another crash, for evidenceTime at least, before it
	// is let out: if one in ten crashes workers, a third of such trials pass by chance, and then it takes as much evidence as before to
	// contain it again.
	trialJobs = 10
	// trialTime is after which time without a crash it is let out in any case: three times as long as a worker is away, as nothing is tried
	// while all workers of the kind are.
	trialTime = 10 * time.Second
	// minContainedShare and maxContainedShare bound the part, 0 to 1, of the agents to which a contained kind is confined, and the
	// latter that of all contained kinds together: further ones share the agents of the one before.
	minContainedShare = 0.125
	maxContainedShare = 0.5
	// maxKindShare is the share of the work, 0 to 1, above which a kind is not contained: there is too little else to protect.
	maxKindShare = 0.75
	// arrivalWindow is the time over which the work of each kind is averaged that callers submit.
	arrivalWindow = 10 * time.Second
	// minContainedAgents is the smallest number of registered agents with which kinds are contained.
	minContainedAgents = 4
)

// mayRun reports whether tasks of a job may be placed at an agent.
func (d *Dispatcher) mayRun(j *job, a *agent) bool {
	return a.accepts(j.Kind.Service) && d.containment.permits(j, a.id)
}

// isContained reports whether the kind of a job is contained.
func (d *Dispatcher) isContained(j *job) bool {
	return d.containment.isContained(j.Kind.Name)
}

// agentsRegistered applies which agents are registered.
func (d *Dispatcher) agentsRegistered(now time.Time, e AgentsRegistered) {
	d.knownAgents, d.chosenAgents = len(e.Agents), e.Chosen
	d.containment.registered = e.Agents
	d.chooseContained(now, d.containment.contained())
}

// chooseContained chooses the agents of the contained kinds anew.
func (d *Dispatcher) chooseContained(now time.Time, kinds []string) {
	if len(kinds) == 0 && !d.containment.isActive {
		return
	}
	d.containment.choose(now, kinds, d.mayRunKind)
	d.cancelForbidden()
	d.agentsChanged()
}

// mayRunKind reports whether an agent may run a kind, as far as is known here: without a session that is not known.
func (d *Dispatcher) mayRunKind(kind string, id AgentID) bool {
	a, ok := d.agents[id]
	if !ok || a.record.ID == "" {
		return true
	}
	service := d.containment.kind(kind).service
	return !a.evacuated && (service == "" || a.record.Service == service)
}

// countForKind records what the crash of a worker under a run says of its kind. A crash may be reported again on a new session, some
// time after it.
func (d *Dispatcher) countForKind(crashedAt time.Time, run runner.CrashedRun) {
	if d.limits.NoContainment {
		return
	}
	if isEvidence(run) || d.suspects.mustGiveUp(run.Task) {
		d.containment.add(crashedAt, run.Kind, runner.JobOf(run.Task), isEvidence(run))
	}
}

// isEvidence reports whether a single crash speaks against the job of a run: it was contained, and was started last.
func isEvidence(run runner.CrashedRun) bool {
	return run.WasRunning && run.IsIsolated
}

// interruptIfContained ends a job that is not durable if a single crash speaks against it: it would take a second worker away to
// be sure. It has not failed, and may be submitted again.
func (d *Dispatcher) interruptIfContained(now time.Time, j *job, run runner.CrashedRun) {
	if _, isOpen := d.jobs[j.ID]; isOpen && !j.isDurable && isEvidence(run) {
		d.finish(now, j, Interrupted{Reason: fmt.Sprintf("a worker crashed under task %s, and jobs of its kind crash workers", run.Task)})
	}
}

// updateContainment contains the kinds that are due and lets the others out.
func (d *Dispatcher) updateContainment(now time.Time) {
	d.containment.forgetBefore(now.Add(-trialTime))
	due := d.containment.due(now)
	before := d.containment.contained()
	if slices.Equal(due, before) {
		return
	}
	d.chooseContained(now, due)
	for _, kind := range due {
		if !slices.Contains(before, kind) {
			d.emit(DecisionMade{Decision: d.describeContained(kind), Kind: kind})
		}
	}
	for _, kind := range before {
		if !slices.Contains(due, kind) {
			d.containment.kinds[kind].isTold = false
			d.emit(DecisionMade{Decision: DecisionContainmentEnded{}, Kind: kind})
		}
	}
}

func (d *Dispatcher) describeContained(kind string) DecisionContained {
	return DecisionContained{
		Jobs:   slices.Sorted(maps.Keys(d.containment.kinds[kind].evidence)),
		Agents: slices.Sorted(maps.Keys(d.containment.kinds[kind].agents)),
	}
}

// cancelForbidden cancels the reservations of jobs at agents that may not run them any more, and all of contained jobs.
func (d *Dispatcher) cancelForbidden() {
	for _, j := range d.waiting {
		if d.isContained(j) {
			d.cancelReservations(j)
			continue
		}
		for _, a := range d.ordered {
			if j.reservation.agents[a.id] && !d.containment.permits(j, a.id) {
				delete(j.reservation.agents, a.id)
				d.emit(Reserve{Agent: a.id, Reservation: runner.Reservation{Job: j.ID}})
			}
		}
	}
}

// containedReason returns why a contained job is refused on arrival, or "" if an agent of its kind accepts tasks.
func (d *Dispatcher) containedReason(j *job) string {
	if !d.isContained(j) || slices.ContainsFunc(d.ordered, func(a *agent) bool { return d.mayRun(j, a) }) {
		return ""
	}
	return "jobs of the kind crash workers, and those that it is confined to are away"
}
