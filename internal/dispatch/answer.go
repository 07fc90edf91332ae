// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// comeBack spreads a pause, so that the return is no burst.
func (d *Dispatcher) comeBack(pause time.Duration) time.Duration {
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
	d.note(now, j, DecisionLeft, "")
	d.drop(now, j)
}

func (d *Dispatcher) cancel(now time.Time, e Cancelled) {
	j, ok := d.jobs[e.Job]
	if ok {
		d.finish(now, j, Interrupted{Reason: "the job was cancelled"})
	}
	e.Done(ok)
}

// drop forgets a job and stops its tasks.
func (d *Dispatcher) drop(now time.Time, j *job) {
	delete(d.jobs, j.ID)
	d.dequeue(j)
	for _, t := range j.tasks {
		switch {
		case t.state == taskSent:
			d.ending[t.name] = ending{agent: t.agent}
			d.emit(StopTask{Agent: t.agent, Name: t.name})
		case t.state == taskPending && now.Before(t.settled):
			d.ending[t.name] = ending{agent: t.agent, settled: t.settled}
		}
	}
}

// finish answers a job at once and stops what it still runs.
func (d *Dispatcher) finish(now time.Time, j *job, answer Answer) {
	d.emit(Reply{Waiters: j.waiters, Answer: answer})
	d.note(now, j, DecisionAnswered, describe(answer))
	d.drop(now, j)
}

// giveUp answers a job that will not be done.
func (d *Dispatcher) giveUp(now time.Time, j *job, reason string) {
	if j.mayHaveBegun() {
		d.finish(now, j, Interrupted{Reason: reason})
		return
	}
	d.finish(now, j, NotRun{Reason: reason, RetryAfter: d.comeBack(time.Second)})
}

// expire refuses what waits too long and gives up what is worth nothing any more.
func (d *Dispatcher) expire(now time.Time) {
	for _, j := range slices.Clone(d.waiting) {
		if !j.mayHaveBegun() && now.After(j.refuseAt()) {
			d.giveUp(now, j, "no worker has room in time: "+d.describeRoom(j))
		}
	}
	for _, j := range d.jobsInOrder() {
		switch {
		case now.After(j.finalAt()):
			d.giveUp(now, j, "the job's time is over")
		case !d.leaving.IsZero() && now.After(d.leaving):
			d.giveUp(now, j, "the entry stops")
		}
	}
}

func (d *Dispatcher) note(now time.Time, j *job, decision Decision, detail string) {
	d.emit(Note{Decision: decision, Job: j.ID, Kind: j.Kind.Name, Age: now.Sub(j.arrived), Detail: detail})
}

func (d *Dispatcher) noteEnd(now time.Time, j *job, t *task, e RunUpdated) {
	d.emit(Note{
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
			free += max(a.room().CPU, 0)
		}
	}
	return fmt.Sprintf("tasks=%d needs_cpu=%d agents=%d accepting=%d free_cpu=%d waiting=%d overdue=%t patience=%s",
		len(j.tasks), j.Steps[0].Needs.CPU, len(d.agents), accepting, free, len(d.waiting), j.overdue, j.Patience)
}

// describe returns an answer as it is logged.
func describe(answer Answer) string {
	switch a := answer.(type) {
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case NotRun:
		return "not_run: " + a.Reason
	case Interrupted:
		return "interrupted: " + a.Reason
	default:
		return "unknown"
	}
}
