// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// This file decides when a job that is not durable is refused or ended early. These rules apply, each with its inputs and
// reason:
//
//	on arrival           evacuatedReason   NotRun (evacuation.go)
//	                     containedReason   NotRun (containment.go)
//	                     ownRefusalReason  handed over (handover.go) or NotRun
//	                     refuseByForecast  NotRun (forecast.go)
//	nothing was placed   isRefusalDue      NotRun (forecast.go)
//	later                expiresAt         Interrupted, or NotRun if nothing can have run
//
// A NotRun carries the time after which the caller may retry (return.go). None of the rules applies to durable jobs:
// package durable admits them, and they have no time limit.

// submit admits a job or refuses it. A job that is under way already gets another waiter; but one that was handed over does not wait for the
// entry from which it comes back, as each would wait for the other.
func (d *Dispatcher) submit(now time.Time, e Submitted) {
	earlier, isKnown := d.jobs[e.Job.ID]
	handedOver, isHandedOver := d.handedOver[e.Job.ID]
	switch {
	case isHandedOver && e.Job.IsHandedOver:
		answer := NotRun{Reason: reasonIsElsewhere, RetryAfter: d.soon(), IsLocal: true}
		d.emit(Reply{Waiters: []Waiter{e.Waiter}, Answer: answer})
	case isHandedOver:
		handedOver.waiters = append(handedOver.waiters, e.Waiter)
		d.emit(handedOver.decisionMade(now, DecisionJoined{}))
	case isKnown && earlier.isDurable:
		answer := NotRun{Reason: "the job is kept already", RetryAfter: d.soon()}
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
		d.finish(now, j, NotRun{Reason: reason, RetryAfter: d.soon()})
		return
	}
	reason := d.ownRefusalReason(now, j)
	switch {
	case !d.handsOver(j, reason):
		d.acceptHere(now, j, reason)
	case d.mayHandOver():
		d.handOver(now, j)
	default:
		d.acceptHere(now, j, reasonNotKeepingUp)
	}
}

// acceptHere accepts a job, or refuses it for the entry's own reason, if there is one.
func (d *Dispatcher) acceptHere(now time.Time, j *job, refusal string) {
	if refusal != "" {
		d.finish(now, j, NotRun{Reason: refusal, RetryAfter: d.soon(), IsLocal: true})
		return
	}
	j.lateRetry = d.callerTimes.observe(j)
	if d.refuseByForecast(now, j) {
		return
	}
	d.add(j)
	d.emit(j.decisionMade(now, DecisionAccepted{Tasks: len(j.tasks), Objective: j.objective}))
	d.giveUpIfDue(now, j)
}

// maxWaitShare is the part, 0 to 1, of a job's slack for which it may wait; see refuseAt. The slack is the time between the expected time
// of its longest chain of steps and its objective.
const maxWaitShare = 0.6

// refuseAt returns when a job is refused at the latest if none of its tasks was placed.
//
// Inputs: the job's arrival, its objective, and the expected time of its longest chain of steps.
//
// Rule: the job waits for maxWaitShare of its slack.
//
// Reason: a job that begins later can hardly be done within its objective, and makes those behind it late too. Its caller
// may retry after a refusal.
func (j *job) refuseAt() time.Time {
	return j.waitsUntil(maxWaitShare)
}

// waitsUntil returns when a job has waited for a part, 0 to 1, of its slack.
func (j *job) waitsUntil(share float64) time.Time {
	slack := j.objective - j.chain()
	return j.arrived.Add(time.Duration(share * float64(slack)))
}

// expiresAt returns when a job expires. A job that is not answered by then is ended.
//
// Inputs: the job's arrival, its caller's remaining time, its objective.
//
// Rule: a job expires when its caller's remaining time is over. If the caller did not say how long it waits, the job
// expires when an answer would be useless (uselessAfter).
//
// Reason: an answer that comes late still serves a caller that waits for it, while one that is interrupted may have run
// and has to be repeated.
func (j *job) expiresAt() time.Time {
	if j.RemainingTime > 0 {
		return j.arrived.Add(j.RemainingTime)
	}
	return j.arrived.Add(j.uselessAfter())
}

// uselessFactor is the age, in objectives, at which an answer is useless. Source: the users' rules, by which an answer
// after three objectives counts as none.
const uselessFactor = 3

// uselessAfter returns the age at which an answer to the job is taken for useless.
func (j *job) uselessAfter() time.Duration {
	return uselessFactor * j.objective
}

// expire applies isRefusalDue and expiresAt, and ends all jobs that are not durable when the process ends.
func (d *Dispatcher) expire(now time.Time) {
	d.expireHandedOver(now)
	for _, j := range slices.Clone(d.waiting) {
		if !j.isDurable && !j.mayHaveBegun() && d.isRefusalDue(now, j) {
			d.abandon(now, j, "no worker has room in time: "+d.describeCapacity(j))
		}
	}
	for _, j := range d.jobsByArrival() {
		switch {
		case j.isDurable:
			// Durable jobs have no time limit.
		case now.After(j.expiresAt()):
			d.abandon(now, j, "the job's time is over")
		case d.isShuttingDown() && now.After(d.shutdownAt):
			d.abandon(now, j, "the entry stops")
		}
	}
}

// abandon ends a job that will not be done.
func (d *Dispatcher) abandon(now time.Time, j *job, reason string) {
	if j.mayHaveBegun() {
		d.finish(now, j, Interrupted{Reason: reason})
		return
	}
	d.finish(now, j, NotRun{Reason: reason, RetryAfter: d.retryAfter(now, j)})
}

// describeCapacity returns the figures behind the refusal of a job that could not be placed: CPU in thousandths of a
// core, numbers of agents and jobs, and the caller's remaining time. Accepting and free count the agents that may run the job.
func (d *Dispatcher) describeCapacity(j *job) string {
	var accepting, evacuated, free int
	for _, a := range d.agents {
		if a.evacuated {
			evacuated++
		}
		if d.mayRun(j, a) {
			accepting++
			free += max(a.free().CPU, 0)
		}
	}
	text := fmt.Sprintf("tasks=%d needs_cpu=%d agents=%d accepting=%d free_cpu=%d waiting=%d overdue=%t patience=%s",
		len(j.tasks), j.Steps[0].Needs.CPU, len(d.agents), accepting, free, len(d.waiting), j.lateRetry, j.RemainingTime)
	if evacuated > 0 {
		text += fmt.Sprintf(" evacuated=%d", evacuated)
	}
	if d.isContained(j) {
		text += " contained=true"
	}
	return text
}
