// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// retryAfter spreads a pause, so that the return is no burst.
func (d *Dispatcher) retryAfter(pause time.Duration) time.Duration {
	return pause + time.Duration(d.random.Int64N(int64(pause)+1))
}

func (d *Dispatcher) callerLeft(now time.Time, e CallerLeft) {
	j, ok := d.jobs[e.Job]
	if !ok {
		return
	}
	j.waiters = slices.DeleteFunc(j.waiters, func(w Waiter) bool { return w == e.Waiter })
	if len(j.waiters) > 0 {
		return
	}
	d.logDecision(now, j, DecisionCallerLeft, "")
	d.drop(now, j)
}

func (d *Dispatcher) cancel(now time.Time, e CancelRequested) {
	j, ok := d.jobs[e.Job]
	isOwn := ok && !j.isDurable
	if isOwn {
		d.finish(now, j, Interrupted{Reason: "the job was cancelled"})
	}
	d.emit(CancelReply{Waiter: e.Waiter, Known: isOwn})
}

// drop forgets a job and stops its tasks.
func (d *Dispatcher) drop(now time.Time, j *job) {
	delete(d.jobs, j.ID)
	d.dequeue(j)
	for _, t := range j.tasks {
		switch {
		case t.state == taskSent:
			d.endingRuns[t.name] = endingRun{agent: t.agent}
			d.emit(StopTask{Agent: t.agent, Name: t.name})
		case t.state == taskPending && now.Before(t.notBefore):
			d.endingRuns[t.name] = endingRun{agent: t.agent, endedBy: t.notBefore}
		}
	}
}

// finish answers a job at once and stops what it still runs.
func (d *Dispatcher) finish(now time.Time, j *job, answer Answer) {
	d.emit(Reply{Waiters: j.waiters, Answer: answer})
	d.emit(DecisionMade{
		Decision: DecisionAnswered, Job: j.ID, Kind: j.Kind.Name, Age: now.Sub(j.arrived), Outcome: outcomeOf(answer),
		Detail: describe(answer) + j.describeSlowest(now, answer),
	})
	d.drop(now, j)
}

// slowestTasks is how many tasks a note of an answer names.
const slowestTasks = 3

// describeSlowest names the tasks that a job waited for to the end, with their runs, if the job was not done within
// its objective. Times count from the job's arrival.
func (j *job) describeSlowest(now time.Time, answer Answer) string {
	if _, isRefusal := answer.(NotRun); isRefusal || now.Sub(j.arrived) <= j.objective {
		return ""
	}
	tasks := slices.Clone(j.tasks)
	slices.SortStableFunc(tasks, func(a, b *task) int { return b.endedBy(now).Compare(a.endedBy(now)) })
	var described strings.Builder
	fmt.Fprintf(&described, " (objective=%s waited for", j.objective.Round(time.Millisecond))
	for _, t := range tasks[:min(len(tasks), slowestTasks)] {
		fmt.Fprintf(&described, " [%s]", j.describeTask(t))
	}
	return described.String() + ")"
}

// describeTask tells where a task stands and where its latest run was.
func (j *job) describeTask(t *task) string {
	if t.run == 0 {
		return fmt.Sprintf("%s not placed", t.name)
	}
	text := fmt.Sprintf("%s run=%d at %s placed=%s", t.name, t.run, t.agent, t.placed.Sub(j.arrived).Round(time.Millisecond))
	if t.state == taskDone {
		return text + fmt.Sprintf(" done=%s", t.ended.Sub(j.arrived).Round(time.Millisecond))
	}
	return text + fmt.Sprintf(" failures=%d moved=%d", t.failures, t.moves)
}

// endedBy is when the task was done, or now if it is not.
func (t *task) endedBy(now time.Time) time.Time {
	if t.state == taskDone {
		return t.ended
	}
	return now
}

// abandon answers a job that will not be done.
func (d *Dispatcher) abandon(now time.Time, j *job, reason string) {
	if j.mayHaveBegun() {
		d.finish(now, j, Interrupted{Reason: reason})
		return
	}
	d.finish(now, j, NotRun{Reason: reason, RetryAfter: d.retryAfter(time.Second)})
}

// expire refuses what waits too long and gives up what is worth nothing any more.
func (d *Dispatcher) expire(now time.Time) {
	for _, j := range slices.Clone(d.waiting) {
		if !j.isDurable && !j.mayHaveBegun() && now.After(j.refuseAt()) {
			d.abandon(now, j, "no worker has room in time: "+d.describeRoom(j))
		}
	}
	for _, j := range d.jobsInOrder() {
		switch {
		case j.isDurable:
		case now.After(j.expiresAt()):
			d.abandon(now, j, "the job's time is over")
		case !d.shutdownAt.IsZero() && now.After(d.shutdownAt):
			d.abandon(now, j, "the entry stops")
		}
	}
}

func (d *Dispatcher) logDecision(now time.Time, j *job, decision Decision, detail string) {
	d.emit(DecisionMade{Decision: decision, Job: j.ID, Kind: j.Kind.Name, Age: now.Sub(j.arrived), Detail: detail})
}

func (d *Dispatcher) logEnd(now time.Time, j *job, t *task, e RunUpdated) {
	d.emit(DecisionMade{
		Decision: DecisionEnded, Job: j.ID, Task: t.name, Run: e.Update.Run, Agent: e.Agent, Kind: j.Kind.Name,
		Age: now.Sub(j.arrived), Detail: e.Update.Outcome.String() + " " + e.Update.Reason,
	})
}

// describeRoom tells what a refusal rests on.
func (d *Dispatcher) describeRoom(j *job) string {
	var accepting, free int
	for _, a := range d.agents {
		if a.accepts(j.Kind.Service) {
			accepting++
			free += max(a.free().CPU, 0)
		}
	}
	return fmt.Sprintf("tasks=%d needs_cpu=%d agents=%d accepting=%d free_cpu=%d waiting=%d overdue=%t patience=%s",
		len(j.tasks), j.Steps[0].Needs.CPU, len(d.agents), accepting, free, len(d.waiting), j.lateRetry, j.RemainingTime)
}

// outcomeOf returns the word for an answer.
func outcomeOf(answer Answer) Outcome {
	switch answer.(type) {
	case Completed:
		return OutcomeCompleted
	case Failed:
		return OutcomeFailed
	case NotRun:
		return OutcomeNotRun
	case Interrupted:
		return OutcomeInterrupted
	default:
		return outcomeUnknown
	}
}

// describe returns an answer as it is logged.
func describe(answer Answer) string {
	switch a := answer.(type) {
	case NotRun:
		return string(outcomeOf(answer)) + ": " + a.Reason
	case Interrupted:
		return string(outcomeOf(answer)) + ": " + a.Reason
	default:
		return string(outcomeOf(answer))
	}
}
