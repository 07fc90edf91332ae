// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// This file decides when a job that is not durable is refused or ended early. The following rules apply; each function states
// its inputs, its rule and the reason for it:
//
//	on arrival           evacuatedReason   NotRun (evacuation.go)
//	                     containedReason   NotRun (containment.go)
//	                     ownRefusalReason  handed over (handover.go) or NotRun
//	                     refuseByForecast  NotRun (forecast.go)
//	no task placed       latestStart       NotRun (callertime.go)
//	later                expiresAt         Interrupted, or NotRun if no task can have run (callertime.go)
//
// A NotRun answer includes the time after which the caller may retry (return.go). None of these rules applies to durable jobs:
// package durable admits them, and they have no time limit.

// submit admits or refuses a job. If the job is already in progress, the caller is added to its waiters. A job that was handed
// over and comes back from another entry is refused instead: each of the two would wait for the other.
func (d *Dispatcher) submit(now time.Time, e Submitted) {
	earlier, isKnown := d.jobs[e.Job.ID]
	handedOver, isHandedOver := d.handedOver[e.Job.ID]
	held := d.findHeld(e.Job.ID)
	switch {
	case held != nil:
		held.waiters = append(held.waiters, e.Waiter)
		d.emit(held.decisionMade(now, DecisionJoined{}))
	case isHandedOver && e.Job.IsHandedOver:
		answer := NotRun{Reason: reasonHandedOver, RetryAfter: d.jitteredRetryAfter(), IsLocal: true}
		d.emit(Reply{Waiters: []Waiter{e.Waiter}, Answer: answer})
	case isHandedOver:
		handedOver.waiters = append(handedOver.waiters, e.Waiter)
		d.emit(handedOver.decisionMade(now, DecisionJoined{}))
	case isKnown && earlier.isDurable:
		answer := NotRun{Reason: "the job is kept already", RetryAfter: d.jitteredRetryAfter()}
		d.emit(Reply{Waiters: []Waiter{e.Waiter}, Answer: answer})
	case isKnown:
		earlier.waiters = append(earlier.waiters, e.Waiter)
		d.emit(earlier.decisionMade(now, DecisionJoined{}))
	default:
		d.admit(now, e)
	}
}

// admit accepts a new job, hands it over or refuses it.
func (d *Dispatcher) admit(now time.Time, e Submitted) {
	j := d.newJob(now, e.Job)
	j.waiters = []Waiter{e.Waiter}
	d.containment.arrived(now, j)
	if reason := d.evacuatedReason(j); reason != "" {
		d.finish(now, j, d.evacuatedAnswer(j, reason))
		return
	}
	if reason := d.containedReason(j); reason != "" {
		d.finish(now, j, NotRun{Reason: reason, RetryAfter: d.jitteredRetryAfter()})
		return
	}
	reason := d.ownRefusalReason(now, j)
	switch {
	case !d.shouldHandOver(j, reason):
		d.acceptLocally(now, j, reason)
	case d.mayHandOver():
		d.handOver(now, j)
	default:
		d.acceptLocally(now, j, reasonCongested)
	}
}

// acceptLocally accepts a job at this entry. If refusal is not empty, the job is refused with that reason instead.
func (d *Dispatcher) acceptLocally(now time.Time, j *job, refusal string) {
	if refusal != "" {
		d.finish(now, j, NotRun{Reason: refusal, RetryAfter: d.jitteredRetryAfter(), IsLocal: true})
		return
	}
	if d.refuseByForecast(now, j) {
		return
	}
	j.acceptedAt = now
	d.add(j)
	d.emit(j.decisionMade(now, DecisionAccepted{Tasks: len(j.tasks), Objective: j.objective}))
	d.giveUpIfDue(now, j)
}

// expire applies latestStart and expiresAt, and ends all non-durable jobs when the process shuts down.
func (d *Dispatcher) expire(now time.Time) {
	d.expireHandedOver(now)
	for _, j := range slices.Clone(d.waiting) {
		if !j.isDurable && !j.mayHaveStarted() && now.After(d.latestStart(j)) {
			d.abandon(now, j, "no worker has room in time: "+d.describeCapacity(j))
		}
	}
	isStopped := d.isShuttingDown() && now.After(d.shutdownAt)
	var ended []*job
	for _, j := range d.jobs {
		if !j.isDurable && (isStopped || now.After(j.expiresAt())) {
			ended = append(ended, j)
		}
	}
	sortByArrival(ended)
	for _, j := range ended {
		if now.After(j.expiresAt()) {
			d.abandon(now, j, "the job's time is over")
		} else {
			d.abandon(now, j, "the entry stops")
		}
	}
}

// abandon ends a job without completing it: as Interrupted if it may have begun, as NotRun otherwise.
func (d *Dispatcher) abandon(now time.Time, j *job, reason string) {
	if j.mayHaveStarted() {
		d.finish(now, j, Interrupted{Reason: reason})
		return
	}
	d.endWait(now, j)
	d.finish(now, j, NotRun{Reason: reason, RetryAfter: d.retryAfter(now, j)})
}

// describeCapacity formats the figures behind a refusal for lack of capacity: CPU in thousandths of a core, the numbers of
// agents and jobs, and the caller's remaining time. accepting and free_cpu cover only the agents that may run the job.
func (d *Dispatcher) describeCapacity(j *job) string {
	var accepting, evacuated, free int
	for _, a := range d.agents {
		if a.evacuated {
			evacuated++
		}
		if d.canPlace(j, a) {
			accepting++
			free += max(a.free().CPU, 0)
		}
	}
	text := fmt.Sprintf("tasks=%d needs_cpu=%d agents=%d accepting=%d free_cpu=%d waiting=%d patience=%s",
		len(j.tasks), j.Steps[0].Needs.CPU, len(d.agents), accepting, free, len(d.waiting), j.RemainingTime)
	if evacuated > 0 {
		text += fmt.Sprintf(" evacuated=%d", evacuated)
	}
	if d.isContained(j) {
		text += " contained=true"
	}
	return text
}
