// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"sailhead/internal/timing"
)

// This file decides which jobs the entry hands over to another entry before any of their tasks has begun.
//
// Inputs: the reason for which the job would be refused locally, if any; the windows of congestion.go.
//
// Rule: a job of which a run from an earlier submission may not have ended yet stays here and waits for that run. A job that would be
// refused locally is handed over, and so is a share of all other jobs. The share rises with each window in which the entry is
// close to congestion and falls with each other window. A job received from another entry is not handed over again. A job that the
// other entry refuses is handed over to a further one, to maxHandOvers entries in all, as long as it would be refused here. If no
// entry takes it, it is accepted or refused here. The number of jobs handed over that no entry has taken yet is limited like the
// number of waiting tasks in congestion.go.
//
// Reason: the load balancer sends callers to the entries of their availability zone, regardless of the capacity of these entries.
// For a job that another entry runs, this one sends the payload once and receives an answer, instead of exchanging starts,
// reservations, offers and reports with each of the job's workers. A link that is too slow even for that delays everything, so the
// hand-overs in transit are limited as well.

const (
	// handOverThreshold is the time from a start to the load report that counts it above which the share rises, if even the shortest
	// such time in a window exceeds it. It is half of maxCountTime, so that the entry hands jobs over before it refuses any.
	handOverThreshold = maxCountTime / 2
	// shareRise and shareFall are the changes of the share per window. longShareFall replaces shareFall for a window of longWindow
	// or more: with little traffic, most of which is handed over, there are few windows.
	shareRise     = 0.1
	shareFall     = 0.02
	longShareFall = 0.25
	longWindow    = 500 * time.Millisecond
	// maxHandOverShare is the maximum share. Some jobs stay here, as their starts show whether the entry is still late.
	maxHandOverShare = 0.95
	// nearLimitShare is the share from which an entry counts as near its limit. A single window may be late by chance.
	nearLimitShare = 0.5
	// maxHandOvers is the maximum number of entries to which a job is handed over in succession: each costs the sender its payload
	// again.
	maxHandOvers = 2
)

// reasonShuttingDown is the reason for refusing a job during a shutdown: the job would not end in time, or another entry can run it.
const reasonShuttingDown = "the entry stops before the job would end"

// reasonNearLimit is the reason for refusing a job of another entry; see nearLimitShare.
const reasonNearLimit = "the entry is near its limit"

// reasonHandedOver is the reason for refusing a job that this entry has handed over and that comes back from another one.
const reasonHandedOver = "the job was handed over from here"

// reasonCongested is the reason for refusing a job that the entry can neither run in time nor hand over.
const reasonCongested = "the entry does not keep up"

// handOverShare is the share of the jobs, 0 to 1, that is handed over.
type handOverShare float64

// after returns the share after a window of the given length with the given shortest time from a start to its load report.
func (s handOverShare) after(shortest, lasted time.Duration) handOverShare {
	if shortest > handOverThreshold {
		return min(s+shareRise, maxHandOverShare)
	}
	fall := handOverShare(shareFall)
	if lasted >= longWindow {
		fall = longShareFall
	}
	return max(s-fall, 0)
}

// isNearLimit reports whether the entry hands over at least nearLimitShare of its jobs.
func (s handOverShare) isNearLimit() bool { return s >= nearLimitShare }

// HandOverResult is the result of a hand-over. It is one of the types below.
type HandOverResult interface{ isHandOverResult() }

// HandOverAnswered reports the answer of the other entry.
type HandOverAnswered struct{ Answer Answer }

// HandOverRefused reports that the other entry refused the job locally, so none of its tasks runs there.
type HandOverRefused struct{ Reason string }

// HandOverNotSent reports that the job could not be sent to any entry.
type HandOverNotSent struct{ Reason string }

// HandOverLost reports that the other entry may have run tasks of the job and will not answer.
type HandOverLost struct{ Reason string }

func (HandOverAnswered) isHandOverResult() {}
func (HandOverRefused) isHandOverResult()  {}
func (HandOverNotSent) isHandOverResult()  {}
func (HandOverLost) isHandOverResult()     {}

// ownRefusalReason returns why the entry refuses a job locally, or "" if it does not. Such a reason holds for this entry only: others
// may serve the job at once.
//
// Inputs: the number of jobs in progress, including durable ones and those handed over, and Limits.Jobs; the time of the shutdown,
// if any; the work of the job; whether the entry keeps up.
//
// Rule: a job is refused if Limits.Jobs are in progress, if the process ends before the job would, even without a wait, or if the entry is over
// its limit (congestion.go). A job of another entry is also refused while this entry hands over most of its own jobs, and during a
// shutdown.
//
// Reason: two entries near their limits should not take each other's jobs, but an entry with capacity should take jobs of one
// without. The job limit bounds memory and the duration of a placement. During a shutdown a job that is refused at once can be
// submitted to another entry, while an interrupted one may have run.
func (d *Dispatcher) ownRefusalReason(now time.Time, j *job) string {
	switch {
	case len(d.jobs)+len(d.handedOver) >= d.limits.Jobs:
		return "too many jobs are under way"
	case d.isShuttingDown() && (j.IsHandedOver || now.Add(j.longestWork).After(d.shutdownAt)):
		return reasonShuttingDown
	case d.congestion.isLimited() && !d.congestion.mayAccept(d.pendingTasks()):
		return reasonCongested
	case j.IsHandedOver && d.congestion.handOver.isNearLimit():
		return reasonNearLimit
	default:
		return ""
	}
}

// shouldHandOver reports whether a job is to be handed over. refusal is the reason for which it would be refused locally, or "".
func (d *Dispatcher) shouldHandOver(j *job, refusal string) bool {
	if !d.limits.HandOver || j.IsHandedOver || len(d.handedOver) >= d.limits.Jobs || slices.ContainsFunc(j.tasks, d.isEnding) {
		return false
	}
	return refusal != "" || d.random.Float64() < float64(d.congestion.handOver)
}

// mayHandOver reports whether the limit on hand-overs in transit permits another one.
func (d *Dispatcher) mayHandOver() bool {
	return !d.handOverCongestion.isLimited() || d.handOverCongestion.mayAccept(d.handOversInTransit())
}

// handOversInTransit returns the number of jobs that were handed over and that no entry has taken yet.
func (d *Dispatcher) handOversInTransit() int {
	count := 0
	for _, j := range d.handedOver {
		if !j.isHandOverAccepted {
			count++
		}
	}
	return count
}

// findHandedOver returns the job of a hand-over that has not ended. The number distinguishes the current hand-over of a job from
// earlier ones, whose reports are ignored.
func (d *Dispatcher) findHandedOver(id string, number uint64) (j *job, ok bool) {
	j, ok = d.handedOver[id]
	return j, ok && j.handOver == number
}

// handOverAccepted records that another entry has taken a job.
func (d *Dispatcher) handOverAccepted(now time.Time, e HandOverAccepted) {
	if j, ok := d.findHandedOver(e.Job, e.Number); ok && !j.isHandOverAccepted {
		j.isHandOverAccepted, j.acceptedBy = true, e.Entry
		d.handOverCongestion.startCounted(now, j.handedOverAt)
	}
}

// handOver starts the hand-over of a job to another entry.
func (d *Dispatcher) handOver(now time.Time, j *job) {
	d.lastHandOver++
	j.handOver, j.handedOverAt = d.lastHandOver, now
	j.handOvers++
	j.isHandOverAccepted, j.acceptedBy = false, ""
	d.handedOver[j.ID] = j
	d.emit(j.decisionMade(now, DecisionHandedOver{}))
	d.emit(HandOver{Job: j.Job, Number: j.handOver})
}

// handOverEnded applies the result of a hand-over. A job that no other entry has taken is accepted or refused here.
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
		d.reclaim(now, j, j.handOvers < maxHandOvers)
	case HandOverNotSent:
		d.reclaim(now, j, false)
	}
}

// reclaim accepts or refuses here a job that no other entry runs. If the job would be refused and mayHandOverAgain is set, it is
// handed over to a further entry instead.
func (d *Dispatcher) reclaim(now time.Time, j *job, mayHandOverAgain bool) {
	if reason := d.evacuatedReason(j); reason != "" {
		d.finish(now, j, d.evacuatedAnswer(j, reason))
		return
	}
	refusal := d.ownRefusalReason(now, j)
	if refusal != "" && mayHandOverAgain && d.shouldHandOver(j, refusal) && d.mayHandOver() {
		d.handOver(now, j)
		return
	}
	d.acceptLocally(now, j, refusal)
}

// replyHandedOver answers the waiters of a job that was handed over.
func (d *Dispatcher) replyHandedOver(now time.Time, j *job, answer Answer) {
	d.emit(Reply{Waiters: j.waiters, Answer: answer})
	d.emit(j.decisionMade(now, DecisionHandOverEnded{Answer: answer, Entry: j.acceptedBy}))
}

// returnForeignJobs ends the jobs of other entries of which no task can have begun, when the entry shuts down.
//
// Inputs: whether the entry is shutting down.
//
// Rule: each of them is refused locally.
//
// Reason: the entry that handed the job over still has time to run it or to answer that it has not run, while a job that is ended
// later may have run.
func (d *Dispatcher) returnForeignJobs(now time.Time) {
	for _, j := range d.jobsByArrival() {
		if j.IsHandedOver && !j.isDurable && !j.mayHaveStarted() {
			d.finish(now, j, NotRun{Reason: reasonShuttingDown, RetryAfter: d.jitteredRetryAfter(), IsLocal: true})
		}
	}
}

// withdrawHandOver ends the hand-over of a job whose callers have left or whose time has elapsed.
func (d *Dispatcher) withdrawHandOver(now time.Time, j *job) {
	delete(d.handedOver, j.ID)
	d.awaitRunsElsewhere(now, j)
	d.emit(WithdrawHandOver{Job: j.ID, Number: j.handOver})
}

// awaitRunsElsewhere makes a job that is submitted again wait for the runs that the other entry may have started.
//
// Inputs: whether the hand-over was withdrawn or lost, or the job failed or was interrupted there.
//
// Rule: none of its tasks is placed for timing.RerunDelay.
//
// Reason: the withdrawal may arrive late, and the runs of a lost entry end within the same time as those of an entry that has lost
// the sessions with its agents.
func (d *Dispatcher) awaitRunsElsewhere(now time.Time, j *job) {
	for _, t := range j.tasks {
		d.runsElsewhere.add(t.name, now.Add(timing.RerunDelay))
	}
}

// expireHandedOver ends the jobs that were handed over and not answered before their callers' time elapsed or the entry shut down.
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
		d.withdrawHandOver(now, j)
	}
}
