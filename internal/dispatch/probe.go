// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"sailhead/internal/ejection"
	"sailhead/internal/runner"
)

// This file selects the task that tests whether an ejected worker is healthy again.
//
// Inputs: the probes that agents offer, the waiting jobs, the attempts and durations of their tasks, the failure rate of their
// kinds elsewhere.
//
// Rule: a probe is held for runner.ProbeOfferTime, for a task that may fail: its job has another attempt, its caller is still answered
// if the run fails half-way or hangs and another one follows, and the task takes ejection.MaxProbeTime at most. If no such
// task arrives within half of runner.ProbeOfferTime, a task of any duration is accepted. Among several tasks the shortest is taken.
// Excluded are tasks under which a worker has crashed, tasks of contained
// kinds and of kinds that fail elsewhere, and tasks away from their data: their failure would say little about the worker.
//
// Reason: a probe is likely to fail, and its job must not be lost by that. Short tasks give the result soonest.

// heldProbe is a probe that has not been used yet.
type heldProbe struct {
	agent    AgentID
	offer    runner.Offer
	received time.Time
}

// isExpired reports whether the probe has been held for its maximum time and is returned unused.
func (p heldProbe) isExpired(now time.Time) bool { return now.Sub(p.received) >= runner.ProbeOfferTime }

// isUrgent reports whether to accept a task that is longer than ejection.MaxProbeTime.
func (p heldProbe) isUrgent(now time.Time) bool {
	return now.Sub(p.received) >= runner.ProbeOfferTime/2
}

// probeReceived holds a probe for a job, or returns it if ejection is disabled at this entry.
func (d *Dispatcher) probeReceived(now time.Time, a *agent, offer runner.Offer) {
	d.probes = append(d.probes, heldProbe{agent: a.id, offer: offer, received: now})
	if d.limits.NoEjection {
		d.returnProbe(d.probes[len(d.probes)-1])
		return
	}
	d.isPlaceDue = true
}

// returnProbe answers a probe. If a start uses the probe, it must have been sent before.
func (d *Dispatcher) returnProbe(p heldProbe) {
	d.emit(AnswerOffer{Agent: p.agent, Offer: p.offer.ID})
	d.probes = slices.DeleteFunc(d.probes, func(other heldProbe) bool { return other == p })
}

// dropProbes drops the probes of an agent whose session has ended.
func (d *Dispatcher) dropProbes(id AgentID) {
	d.probes = slices.DeleteFunc(d.probes, func(p heldProbe) bool { return p.agent == id })
}

// useProbes sends tasks of waiting jobs for the held probes, and returns those that have expired.
func (d *Dispatcher) useProbes(now time.Time) {
	for _, p := range slices.Clone(d.probes) {
		a, ok := d.agents[p.agent]
		if !ok || !a.mayGetTasks() || d.isShuttingDown() || p.isExpired(now) {
			d.returnProbe(p)
			continue
		}
		if j, t := d.probeTask(now, a, p); t != nil {
			d.send(now, placement{job: j, task: t, agent: a, offer: p.offer.ID})
			d.returnProbe(p)
		}
	}
}

// probeTask returns the task that uses a probe, or nil if none is suitable.
func (d *Dispatcher) probeTask(now time.Time, a *agent, p heldProbe) (*job, *task) {
	var bestJob *job
	var best *task
	for _, j := range d.waiting {
		if !d.jobSuitsProbe(now, j, a) {
			continue
		}
		for _, t := range d.placeable(now, j) {
			isShorter := best == nil || j.times[t.step].task < bestJob.times[best.step].task
			if isShorter && d.taskSuitsProbe(now, j, t, a, p) {
				bestJob, best = j, t
			}
		}
	}
	return bestJob, best
}

// jobSuitsProbe reports whether tasks of a job may be probes at an agent.
func (d *Dispatcher) jobSuitsProbe(now time.Time, j *job, a *agent) bool {
	return j.Kind.Service == a.record.Service && d.containment.allows(j, a.id) && !d.isContained(j) && d.mayPlace(now, j) &&
		d.kindFailureRate(j, a.id) < ejection.MaxProbeFailureRate
}

// taskSuitsProbe reports whether a task may be a probe at an agent.
func (d *Dispatcher) taskSuitsProbe(now time.Time, j *job, t *task, a *agent, p heldProbe) bool {
	step := j.Steps[t.step]
	isNear := step.Rack == "" || a.record.HasLabel(step.Rack)
	fits := step.canRunOn(a.record) && step.Needs.Fits(p.offer.Resources) && j.isBelowStepLimit(t, a)
	isShort := j.times[t.step].task <= ejection.MaxProbeTime || p.isUrgent(now)
	isInformative := isNear && isShort && !t.avoids(a.id) && !d.isSuspect(t)
	return fits && isInformative && j.hasSpareAttempt(t) && j.survivesFailure(now, t, a)
}

// isBelowStepLimit reports whether the limit on tasks of a step per worker permits a task to run there.
func (j *job) isBelowStepLimit(t *task, a *agent) bool {
	most := j.Steps[t.step].MaxPerWorker
	return most == 0 || j.countAt(a, t.step) < most
}

// stallTime is the time after its start at which a hanging probe is stopped because of its missing progress.
const stallTime = 100 * time.Millisecond

// survivesFailure reports whether a job ends before it expires, even if it takes unusually long, if a run of a task that begins now fails
// half-way, or hangs until it is stopped.
func (j *job) survivesFailure(now time.Time, t *task, a *agent) bool {
	if j.isDurable {
		return true
	}
	lost := max(a.usualTime(j.times[t.step].task)/2, stallTime)
	return now.Add(lost + j.longestWork).Before(j.expiresAt())
}
