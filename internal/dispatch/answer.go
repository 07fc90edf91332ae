// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"slices"
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
	d.emit(j.decisionMade(now, DecisionCallerLeft{}))
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
	d.emit(j.decisionMade(now, DecisionAnswered{Answer: answer, Late: j.lateAnswer(now, answer)}))
	d.drop(now, j)
}

// slowestTasks is how many tasks a late answer names. Not measured; three fit one log line.
const slowestTasks = 3

// lateAnswer returns the tasks that ended last if the job missed its objective, and nil if it did not or did not run.
func (j *job) lateAnswer(now time.Time, answer Answer) *LateAnswer {
	if _, isNotRun := answer.(NotRun); isNotRun || now.Sub(j.arrived) <= j.objective {
		return nil
	}
	tasks := slices.Clone(j.tasks)
	slices.SortStableFunc(tasks, func(a, b *task) int { return b.endedBy(now).Compare(a.endedBy(now)) })
	late := &LateAnswer{Objective: j.objective}
	for _, t := range tasks[:min(len(tasks), slowestTasks)] {
		late.Slowest = append(late.Slowest, j.progressOf(t))
	}
	return late
}

// progressOf returns the state of a task of the job.
func (j *job) progressOf(t *task) TaskProgress {
	if t.run == 0 {
		return TaskProgress{Task: t.name}
	}
	p := TaskProgress{
		Task: t.name, Run: t.run, Agent: t.agent, Placed: t.placed.Sub(j.arrived),
		Failures: t.failures, Moves: t.moves,
	}
	if t.state == taskDone {
		p.IsDone = true
		p.Done = t.ended.Sub(j.arrived)
	}
	return p
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
