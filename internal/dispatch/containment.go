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

// This file limits a kind of jobs to a subset of the agents if several of its jobs have crashed workers. The state of each kind is
// in kinds.go.
//
// Inputs: the jobs that were given up because workers crashed under them (crash.go), by kind; the registered agents.
//
// Rule: a kind with at most maxKindShare of the work is contained once the number of its jobs that were given up within
// evidenceTime reaches the number of agents divided by agentsPerEvidence, and at least minEvidence. Its jobs then run on a subset
// of the agents, and no other jobs run there. The size of the subset corresponds to the kind's share of the submitted work; its
// members are the first ones of a ranking by kind and agent. For some time after the start of a contained job nothing else is
// started on its worker (runner/containment.go). A crash in that time is evidence against the job: unless the job is durable, its
// caller is told at once that it was interrupted, and it is not tried on a second worker. If none of the agents of the kind
// accepts tasks, its jobs are refused at once. Containment ends once trialJobs jobs of the kind have been done since its last crash
// and that crash is older than evidenceTime, or after trialTime without a crash.
//
// Reason: each job that crashes its workers makes two of them unavailable for seconds. If such jobs arrive faster than workers
// recover, no kind is served. Containment limits the damage to the kind's share of the workers. Every entry learns of every crash
// with the kinds of the runs, so all entries reach the same decision and choose nearly the same agents without coordination: the
// smaller one of two subsets is part of the larger one. An entry that has just started learns that other entries contain the kind from
// the crashes under contained jobs that its agents report. A rack that loses power is not evidence: it only makes its tasks suspects,
// and a job is given up only after a second crash in which it was the latest start. Many callers waiting for one job are not
// evidence either, as jobs are counted and not requests.
//
// Cost if the kind is innocent: until containment ends the kind is limited to its share of the workers, and the other kinds to
// theirs. A worker that crashes by chance within suspectTime after the start of a contained job interrupts that job.

const (
	// minEvidence is the minimum number of jobs of a kind that must have been given up. A single one may be an exception.
	minEvidence = 2
	// agentsPerEvidence is the number of agents for each job that must have been given up. With two crashes for each job, two fifths
	// of the workers are unavailable when the kind is contained.
	agentsPerEvidence = 5
	// evidenceTime is how long a job that was given up counts as recent: about as long as a worker is unavailable after a crash.
	evidenceTime = 3 * time.Second
	// trialJobs is the number of jobs of a contained kind that must be done at this entry without another crash, over at least
	// evidenceTime, before containment ends. If one job in ten crashes workers, a third of such trials succeed by chance, and
	// containing the kind again then takes as much evidence as before.
	trialJobs = 10
	// trialTime is the time without a crash after which containment ends in any case. It is three times as long as a worker is
	// unavailable after a crash, because no job of the kind runs while all of its workers are unavailable.
	trialTime = 10 * time.Second
	// minContainedShare and maxContainedShare bound the share of the agents to which a contained kind is confined.
	// maxContainedShare also bounds the total of all contained kinds: a kind that would exceed it shares the agents of the preceding
	// one.
	minContainedShare = 0.125
	maxContainedShare = 0.5
	// maxKindShare is the share of the work above which a kind is not contained: too little other work would be protected.
	maxKindShare = 0.75
	// arrivalWindow is the time constant for averaging the submitted work of each kind.
	arrivalWindow = 10 * time.Second
	// minContainedAgents is the minimum number of registered agents for containment.
	minContainedAgents = 4
)

// canPlace reports whether tasks of a job may be placed at an agent.
func (d *Dispatcher) canPlace(j *job, a *agent) bool {
	return a.accepts(j.Kind.Service) && d.containment.allows(j, a.id)
}

// isContained reports whether the kind of a job is contained.
func (d *Dispatcher) isContained(j *job) bool {
	return d.containment.isContained(j.Kind.Name)
}

// agentsRegistered updates the set of registered agents.
func (d *Dispatcher) agentsRegistered(now time.Time, e AgentsRegistered) {
	d.knownAgents, d.selectedAgents = len(e.Agents), e.Selected
	d.containment.registered = e.Agents
	d.chooseContained(now, d.containment.contained())
}

// chooseContained reassigns the agents of the contained kinds.
func (d *Dispatcher) chooseContained(now time.Time, kinds []string) {
	if len(kinds) == 0 && !d.containment.isActive {
		return
	}
	d.containment.assign(now, kinds, d.mayRunKind)
	d.cancelForbiddenReservations()
	d.agentsChanged()
}

// mayRunKind reports whether an agent may run a kind. An agent whose worker is not known yet, as it has no session, may.
func (d *Dispatcher) mayRunKind(kind string, id AgentID) bool {
	a, ok := d.agents[id]
	if !ok || a.record.ID == "" {
		return true
	}
	service := d.containment.kind(kind).service
	return !a.evacuated && (service == "" || a.record.Service == service)
}

// recordKindEvidence records the crash of a worker as evidence against the kind of a run that was on it, if the run's task must be
// given up or the crash alone is evidence (isEvidence). crashedAt is earlier than now if the crash is reported again on a new
// session.
func (d *Dispatcher) recordKindEvidence(crashedAt time.Time, run runner.CrashedRun) {
	if d.limits.NoContainment {
		return
	}
	if isEvidence(run) || d.suspects.mustGiveUp(run.Task) {
		d.containment.add(crashedAt, run.Kind, runner.JobOf(run.Task), isEvidence(run))
	}
}

// isEvidence reports whether a single crash is evidence against the job of a run: its kind was contained, nothing was started
// beside it, and the run was running for certain.
func isEvidence(run runner.CrashedRun) bool {
	return run.WasRunning && run.IsIsolated
}

// interruptIfContained ends a non-durable job as interrupted if a single crash is evidence against it, as confirming the evidence
// would crash a second worker. The job has not failed, and may be submitted again.
func (d *Dispatcher) interruptIfContained(now time.Time, j *job, run runner.CrashedRun) {
	if _, isOpen := d.jobs[j.ID]; isOpen && !j.isDurable && isEvidence(run) {
		d.finish(now, j, Interrupted{Reason: fmt.Sprintf("a worker crashed under task %s, and jobs of its kind crash workers", run.Task)})
	}
}

// updateContainment starts and ends the containment of kinds as due.
func (d *Dispatcher) updateContainment(now time.Time) {
	d.containment.removeBefore(now.Add(-trialTime))
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
			d.containment.kinds[kind].isContainedElsewhere = false
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

// cancelForbiddenReservations cancels the reservations of jobs at agents that may no longer run them, and all reservations of
// contained jobs.
func (d *Dispatcher) cancelForbiddenReservations() {
	for _, j := range d.waiting {
		if d.isContained(j) {
			d.cancelReservations(j)
			continue
		}
		for _, a := range d.ordered {
			if j.reservation.agents[a.id] && !d.containment.allows(j, a.id) {
				delete(j.reservation.agents, a.id)
				d.emit(Reserve{Agent: a.id, Reservation: runner.Reservation{Job: j.ID}})
			}
		}
	}
}

// containedReason returns why a contained job is refused on arrival, or "" if an agent assigned to its kind accepts tasks.
func (d *Dispatcher) containedReason(j *job) string {
	if !d.isContained(j) || slices.ContainsFunc(d.ordered, func(a *agent) bool { return d.canPlace(j, a) }) {
		return ""
	}
	return "jobs of the kind crash workers, and those that it is confined to are away"
}
