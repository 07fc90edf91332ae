// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"sailhead/internal/timing"
)

// This file decides which jobs the entry hands over to another entry before anything of them has begun.
//
// Inputs: why the job would be refused for the entry's own sake, if it would; the windows of congestion.go.
//
// Rule: a job of which a run from an earlier submission may not have ended stays here, where it waits for that run. A job that would be refused
// for the entry's own sake is handed over, and so is a share of all others that rises with each window in which the entry is nearly late, and
// falls with each one in which it is not. A job that another entry hands over is not handed over again. One that is refused there is handed over to
// a further entry, up to maxHandOvers in all, while it would be refused here. If no entry takes it, it is treated as it would be without this file.
// Of the jobs that no other entry has taken yet no more may be on their way than congestion.go lets tasks wait.
//
// Reason: the balancer sends callers to the entries of their availability zone, whatever these can carry. A job that another entry runs costs
// this one its payload once and an answer, in place of starts, reservations, offers and reports from each of its workers. A link that is
// too small even for that makes everything late, so the jobs on their way are bounded as the tasks here are.

const (
	// nearlyLate is the shortest time from a start to the load that counts it from which jobs are handed over. It is half of maxCountTime, so
	// that the entry hands jobs over before it refuses any.
	nearlyLate = maxCountTime / 2
	// shareRise and shareFall are the changes of the share with each window, and longShareFall that with one of longWindow or more: at little
	// traffic, most of which is handed over, windows are few.
	shareRise     = 0.1
	shareFall     = 0.02
	longShareFall = 0.25
	longWindow    = 500 * time.Millisecond
	// maxHandOverShare leaves some jobs here, whose starts show whether the entry is still late.
	maxHandOverShare = 0.95
	// nearLimitShare is the share from which an entry is near its limit. A single window may be late by chance.
	nearLimitShare = 0.5
	// maxHandOvers is how many entries get a job in succession of which the earlier ones refuse it: each costs the sender its payload again.
	maxHandOvers = 2
)

// reasonStops is why a job is refused that would not end before the entry does, or that another entry can run in its place.
const reasonStops = "the entry stops before the job would end"

// reasonNearLimit is why a job of another entry is refused; see nearLimitShare.
const reasonNearLimit = "the entry is near its limit"

// reasonIsElsewhere is why a job comes back at once that this entry has handed over.
const reasonIsElsewhere = "the job was handed over from here"

// reasonNotKeepingUp is why a job is refused that the entry can neither run in time nor hand over.
const reasonNotKeepingUp = "the entry does not keep up"

// handOverShare is the part of the jobs, 0 to 1, that is handed over.
type handOverShare float64

// after returns the share after a window with a shortest time that lasted for some time.
func (s handOverShare) after(shortest, lasted time.Duration) handOverShare {
	if shortest > nearlyLate {
		return min(s+shareRise, maxHandOverShare)
	}
	fall := handOverShare(shareFall)
	if lasted >= longWindow {
		fall = longShareFall
	}
	return max(s-fall, 0)
}

// isNearLimit reports whether the entry hands over most of its jobs.
func (s handOverShare) isNearLimit() bool { return s >= nearLimitShare }

// HandOverResult is how a job ended that was handed over. It is one of the types below.
type HandOverResult interface{ isHandOverResult() }

// HandOverAnswered carries the answer of the other entry.
type HandOverAnswered struct{ Answer Answer }

// HandOverRefused reports that the other entry has refused the job for its own sake, so nothing of it runs elsewhere.
type HandOverRefused struct{ Reason string }

// HandOverNotSent reports that no entry could get the job.
type HandOverNotSent struct{ Reason string }

// HandOverLost reports that the other entry may have run tasks of the job and will not answer.
type HandOverLost struct{ Reason string }

func (HandOverAnswered) isHandOverResult() {}
func (HandOverRefused) isHandOverResult()  {}
func (HandOverNotSent) isHandOverResult()  {}
func (HandOverLost) isHandOverResult()     {}

// ownRefusalReason returns why the entry refuses a job for its own sake, so that another one may serve it at once, or "" if it does not.
//
// Inputs: the number of jobs under way, durable ones and those handed over included, and Limits.Jobs; the time of the shutdown, if any; the
// objective of the job; whether the entry keeps up.
//
// Rule: a job is refused if Limits.Jobs are under way, if the process ends before the job's objective, or if the entry is over its limit
// (congestion.go). One that another entry hands over is refused while this entry hands over most of its own jobs, and while it stops.
//
// Reason: two entries near their limits do not pay for the jobs of each other, while an entry that has room serves those of one that has none.
// The limit bounds memory and the time of a placement. During a shutdown a job that is refused at once can be submitted to another entry, while
// one that is interrupted may have run.
func (d *Dispatcher) ownRefusalReason(now time.Time, j *job) string {
	switch {
	case len(d.jobs)+len(d.handedOver) >= d.limits.Jobs:
		return "too many jobs are under way"
	case d.isShuttingDown() && (j.IsHandedOver || now.Add(j.objective).After(d.shutdownAt)):
		return reasonStops
	case d.congestion.isLimited() && !d.congestion.mayAccept(d.tasksUnderWay()):
		return reasonNotKeepingUp
	case j.IsHandedOver && d.congestion.handOver.isNearLimit():
		return reasonNearLimit
	default:
		return ""
	}
}

// handsOver reports whether a job is handed over. refusal is why it is refused otherwise, or "".
func (d *Dispatcher) handsOver(j *job, refusal string) bool {
	if !d.limits.HandOver || j.IsHandedOver || len(d.handedOver) >= d.limits.Jobs || slices.ContainsFunc(j.tasks, d.isEnding) {
		return false
	}
	return refusal != "" || d.random.Float64() < float64(d.congestion.handOver)
}

// mayHandOver reports whether one more job may be on its way to another entry.
func (d *Dispatcher) mayHandOver() bool {
	return !d.onTheWay.isLimited() || d.onTheWay.mayAccept(d.handOversOnTheWay())
}

// handOversOnTheWay returns the number of jobs that were handed over and that no entry has taken yet.
func (d *Dispatcher) handOversOnTheWay() int {
	count := 0
	for _, j := range d.handedOver {
		if !j.isTaken {
			count++
		}
	}
	return count
}

// findHandedOver returns the job of a hand-over that has not ended. What is reported of an earlier hand-over of the job must not be taken for
// the result of a later one.
func (d *Dispatcher) findHandedOver(id string, number uint64) (j *job, ok bool) {
	j, ok = d.handedOver[id]
	return j, ok && j.handOver == number
}

// handOverTaken records that another entry has taken a job.
func (d *Dispatcher) handOverTaken(now time.Time, e HandOverTaken) {
	if j, ok := d.findHandedOver(e.Job, e.Number); ok && !j.isTaken {
		j.isTaken, j.takenBy = true, e.Entry
		d.onTheWay.startCounted(now, j.handedOverAt)
	}
}

// handOver hands a job over.
func (d *Dispatcher) handOver(now time.Time, j *job) {
	d.lastHandOver++
	j.handOver, j.handedOverAt = d.lastHandOver, now
	j.handOvers++
	j.isTaken, j.takenBy = false, ""
	d.handedOver[j.ID] = j
	d.emit(j.decisionMade(now, DecisionHandedOver{}))
	d.emit(HandOver{Job: j.Job, Number: j.handOver})
}

// handOverEnded applies the result of a job that was handed over. One that no other entry has taken is accepted or refused here.
func (d *Dispatcher) handOverEnded(now time.Time, e HandOverEnded) {
	j, ok := d.findHandedOver(e.Job, e.Number)
	if !ok {
		return
	}
	delete(d.handedOver, e.Job)
	switch result := e.Result.(type) {
	case HandOverAnswered:
		switch result.Answer.(type) {
		case Interrupted, Failed:
			d.awaitRunsElsewhere(now, j)
		case Completed, NotRun:
		}
		d.replyHandedOver(now, j, result.Answer)
	case HandOverLost:
		d.awaitRunsElsewhere(now, j)
		d.replyHandedOver(now, j, Interrupted(result))
	case HandOverRefused:
		d.takeBack(now, j, j.handOvers < maxHandOvers)
	case HandOverNotSent:
		d.takeBack(now, j, false)
	}
}

// takeBack accepts or refuses a job here that no other entry runs. One that has no room here is handed over to a further entry if it may be.
func (d *Dispatcher) takeBack(now time.Time, j *job, mayHandOn bool) {
	if reason := d.evacuatedReason(j); reason != "" {
		d.finish(now, j, d.evacuatedAnswer(j, reason))
		return
	}
	refusal := d.ownRefusalReason(now, j)
	if refusal != "" && mayHandOn && d.handsOver(j, refusal) && d.mayHandOver() {
		d.handOver(now, j)
		return
	}
	d.acceptHere(now, j, refusal)
}

// replyHandedOver answers the waiters of a job that was handed over.
func (d *Dispatcher) replyHandedOver(now time.Time, j *job, answer Answer) {
	d.emit(Reply{Waiters: j.waiters, Answer: answer})
	d.emit(j.decisionMade(now, DecisionHandOverEnded{Answer: answer, Entry: j.takenBy}))
}

// handBack ends the jobs of other entries of which nothing can have begun.
//
// Inputs: whether the entry stops.
//
// Rule: each is refused for the entry's own sake.
//
// Reason: the entry that handed it over runs it, or says that it has not run, while there is time; one that is ended later may have run.
func (d *Dispatcher) handBack(now time.Time) {
	for _, j := range d.jobsByArrival() {
		if j.IsHandedOver && !j.isDurable && !j.mayHaveBegun() {
			d.finish(now, j, NotRun{Reason: reasonStops, RetryAfter: d.soon(), IsLocal: true})
		}
	}
}

// withdraw ends a job that was handed over, because its callers have left or its time is over.
func (d *Dispatcher) withdraw(now time.Time, j *job) {
	delete(d.handedOver, j.ID)
	d.awaitRunsElsewhere(now, j)
	d.emit(WithdrawHandOver{Job: j.ID, Number: j.handOver})
}

// awaitRunsElsewhere lets a job that comes again wait for the runs that the other entry may have started.
//
// Inputs: whether the hand-over was withdrawn or lost, or the job failed or was interrupted there.
//
// Rule: none of the tasks is placed for timing.RerunDelay.
//
// Reason: the withdrawal may be late, and an entry that is lost ends its runs as one does that has lost its sessions with their agents.
func (d *Dispatcher) awaitRunsElsewhere(now time.Time, j *job) {
	for _, t := range j.tasks {
		d.endingRuns[t.name] = endingRun{endedBy: now.Add(timing.RerunDelay)}
	}
}

// expireHandedOver ends the jobs that were handed over and are not answered before their callers' time is over or the entry stops.
func (d *Dispatcher) expireHandedOver(now time.Time) {
	for _, j := range jobsByArrival(d.handedOver) {
		switch {
		case now.After(j.expiresAt()):
			d.replyHandedOver(now, j, Interrupted{Reason: "the job's time is over"})
		case d.isShuttingDown() && now.After(d.shutdownAt):
			d.replyHandedOver(now, j, Interrupted{Reason: "the entry stops"})
		default:
			continue
		}
		d.withdraw(now, j)
	}
}
