// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"
)

// callerLeft removes a waiter from its job, and drops the job if no other waiter is left.
func (d *Dispatcher) callerLeft(now time.Time, e CallerLeft) {
	j, isHandedOver := d.handedOver[e.Job]
	if !isHandedOver {
		j = d.jobs[e.Job]
	}
	if j == nil {
		d.heldCallerLeft(e)
		return
	}
	j.waiters = slices.DeleteFunc(j.waiters, func(w Waiter) bool { return w == e.Waiter })
	if len(j.waiters) > 0 {
		return
	}
	d.emit(j.decisionMade(now, DecisionCallerLeft{}))
	if isHandedOver {
		d.withdrawHandOver(now, j)
		return
	}
	d.drop(now, j)
}

// cancel ends a job on request. Package durable cancels durable jobs.
func (d *Dispatcher) cancel(now time.Time, e CancelRequested) {
	answer := Interrupted{Reason: "the job was cancelled"}
	if j, ok := d.handedOver[e.Job]; ok {
		d.replyHandedOver(now, j, answer)
		d.withdrawHandOver(now, j)
		d.emit(CancelReply{Waiter: e.Waiter, Known: true})
		return
	}
	j, ok := d.jobs[e.Job]
	isKnown := ok && !j.isDurable
	if isKnown {
		d.finish(now, j, answer)
	}
	d.emit(CancelReply{Waiter: e.Waiter, Known: isKnown})
}

// stateOf returns the state of a job. Durable jobs are unknown here, as package durable tracks their state. A job that
// was handed over counts as started, because the other entry may have started it, and so does one whose answer is held.
func (d *Dispatcher) stateOf(id string) JobState {
	if _, ok := d.handedOver[id]; ok {
		return JobStarted
	}
	if d.findHeld(id) != nil {
		return JobStarted
	}
	j, ok := d.jobs[id]
	switch {
	case !ok || j.isDurable:
		return JobUnknown
	case j.started:
		return JobStarted
	default:
		return JobWaiting
	}
}

// finish drops a job and answers its waiters, at once unless the answer must be held.
func (d *Dispatcher) finish(now time.Time, j *job, answer Answer) {
	if d.mustHold(now, j, answer) {
		d.hold(now, j, answer)
		return
	}
	d.sendAnswer(now, j, answer)
	d.drop(now, j)
}

// sendAnswer answers the waiters of a job.
func (d *Dispatcher) sendAnswer(now time.Time, j *job, answer Answer) {
	d.emit(Reply{Waiters: j.waiters, Answer: answer})
	_, isNotRun := answer.(NotRun)
	answered := DecisionAnswered{Answer: answer, Late: j.lateAnswer(now, answer), IsRefusedAfterWait: isNotRun && d.jobs[j.ID] == j}
	d.emit(j.decisionMade(now, answered))
}

// drop removes a job and stops its runs. Runs that may not have ended stay in d.endingRuns.
func (d *Dispatcher) drop(now time.Time, j *job) {
	delete(d.jobs, j.ID)
	d.dequeue(j)
	d.cancelReservations(j)
	for _, t := range j.tasks {
		switch {
		case t.state == taskSent:
			d.endingRuns[t.name] = endingRun{agent: t.agent, run: t.run}
			d.emit(StopTask{Agent: t.agent, Name: t.name})
		case t.awaitsEnd(now):
			d.endingRuns[t.name] = endingRun{agent: t.agent, run: t.run, endedBy: t.notBefore}
		}
	}
}

// maxSlowestTasks bounds the tasks that a late answer names, so that the log line stays short.
const maxSlowestTasks = 3

// lateAnswer describes an answer that came after the job's objective, with the tasks that ended last. It returns nil if
// the job was answered within its objective or did not run.
func (j *job) lateAnswer(now time.Time, answer Answer) *LateAnswer {
	if _, isNotRun := answer.(NotRun); isNotRun || now.Sub(j.arrived) <= j.objective {
		return nil
	}
	tasks := slices.Clone(j.tasks)
	slices.SortStableFunc(tasks, func(a, b *task) int { return b.completedOr(now).Compare(a.completedOr(now)) })
	late := &LateAnswer{Objective: j.objective}
	for _, t := range tasks[:min(len(tasks), maxSlowestTasks)] {
		late.Slowest = append(late.Slowest, j.progressOf(t))
	}
	return late
}

// completedOr returns when the task was completed, or now if it was not.
func (t *task) completedOr(now time.Time) time.Time {
	if t.state == taskDone {
		return t.completedAt
	}
	return now
}

// progressOf returns the progress of a task of the job.
func (j *job) progressOf(t *task) TaskProgress {
	if t.run == 0 {
		return TaskProgress{Task: t.name}
	}
	p := TaskProgress{
		Task: t.name, Run: t.run, Agent: t.agent, Placed: t.placedAt.Sub(j.arrived),
		Failures: t.failures, Moves: t.moves,
	}
	if t.state == taskDone {
		p.IsDone = true
		p.Done = t.completedAt.Sub(j.arrived)
	}
	return p
}
