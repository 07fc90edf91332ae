// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sailhead/internal/runner"
)

// Limits bound what a dispatcher holds.
type Limits struct {
	// Jobs is the largest number of jobs under way.
	Jobs int
}

// Dispatcher owns the jobs of one entry. It is not safe for concurrent use.
type Dispatcher struct {
	limits Limits
	random *rand.Rand
	jobs   map[string]*job
	// waiting are the jobs with tasks to place, in the order of their placement.
	waiting []*job
	agents  map[AgentID]*agent
	// ending are the tasks of jobs that were dropped, until their runs have surely ended: the same job may come
	// again before that.
	ending map[string]ending
	// patience tells the callers that have come back.
	patience patience
	// leaving is when the process ends; nothing if it does not.
	leaving time.Time
	effects []Effect
}

// New returns a dispatcher without jobs and agents.
func New(limits Limits, random *rand.Rand) *Dispatcher {
	return &Dispatcher{
		limits: limits, random: random,
		jobs:   make(map[string]*job),
		agents: make(map[AgentID]*agent), patience: make(patience), ending: make(map[string]ending),
	}
}

// Handle takes in an event and returns its effects in order.
func (d *Dispatcher) Handle(now time.Time, event Event) []Effect {
	d.effects = nil
	switch e := event.(type) {
	case Submitted:
		d.submit(now, e)
	case CallerLeft:
		d.callerLeft(now, e)
	case Cancelled:
		d.cancel(now, e)
	case StateAsked:
		e.Done(d.stateOf(e.Job))
	case AgentUp:
		d.agents[e.Agent] = &agent{id: e.Agent}
		d.emit(Note{Decision: DecisionAgentUp, Agent: e.Agent})
	case AgentSilent:
		if a, ok := d.agents[e.Agent]; ok && !a.silent {
			a.silent = true
			d.emit(Note{Decision: DecisionSilent, Agent: e.Agent})
		}
	case AgentHeard:
		if a, ok := d.agents[e.Agent]; ok {
			a.silent = false
		}
	case AgentDown:
		d.agentDown(now, e.Agent)
	case WorkerSeen:
		if a, ok := d.agents[e.Agent]; ok {
			a.record = e.Record
			d.emit(Note{Decision: DecisionWorker, Agent: e.Agent, Detail: e.Record.ID})
		}
	case LoadSeen:
		d.seeLoad(e)
	case RunUpdated:
		d.updateRun(now, e)
	case LeaveAsked:
		d.leaving = e.Until
	case Ticked:
		d.expire(now)
		d.forgetEnded(now)
		d.moveStuck(now)
	}
	d.place(now)
	return d.effects
}

// Counts returns the numbers of jobs under way, of those that wait for placement, and of agents in session.
func (d *Dispatcher) Counts() (jobs, waiting, agents int) {
	return len(d.jobs), len(d.waiting), len(d.agents)
}

// stateOf returns how far a job is.
func (d *Dispatcher) stateOf(id string) JobState {
	j, ok := d.jobs[id]
	switch {
	case !ok:
		return JobUnknown
	case j.begun:
		return JobBegun
	default:
		return JobWaiting
	}
}

func (d *Dispatcher) emit(effect Effect) {
	d.effects = append(d.effects, effect)
}

func (d *Dispatcher) seeLoad(e LoadSeen) {
	a, ok := d.agents[e.Agent]
	if !ok {
		return
	}
	if a.load.Accepts != e.Load.Accepts {
		d.emit(Note{Decision: DecisionAccepts, Agent: e.Agent, Detail: fmt.Sprint(e.Load.Accepts)})
	}
	a.seeLoad(e.Handled, e.Load)
}

func (d *Dispatcher) submit(now time.Time, e Submitted) {
	if j, ok := d.jobs[e.Job.ID]; ok {
		j.waiters = append(j.waiters, e.Waiter)
		d.note(now, j, DecisionJoined, "")
		return
	}
	j := newJob(now, e)
	if reason := d.refusal(now, j); reason != "" {
		d.finish(now, j, NotRun{Reason: reason, RetryAfter: d.comeBack(time.Second)})
		return
	}
	j.overdue = d.patience.isOverdue(j)
	d.jobs[j.ID] = j
	d.enqueue(j)
	d.note(now, j, DecisionTaken, fmt.Sprintf("tasks=%d objective=%s", len(j.tasks), j.objective.Round(time.Millisecond)))
}

// refusal says why a new job is not taken; nothing means that it is.
func (d *Dispatcher) refusal(now time.Time, j *job) string {
	switch {
	case len(d.jobs) >= d.limits.Jobs:
		return "too many jobs are under way"
	case !d.leaving.IsZero() && now.Add(j.objective).After(d.leaving):
		return "the entry stops before the job would end"
	default:
		return ""
	}
}

// comeBack spreads a pause, so that the return is no burst.
func (d *Dispatcher) comeBack(pause time.Duration) time.Duration {
	return pause + time.Duration(d.random.Int64N(int64(pause)+1))
}

// enqueue puts a job among those with tasks to place: begun ones first, then by priority and arrival.
func (d *Dispatcher) enqueue(j *job) {
	if slices.Contains(d.waiting, j) {
		return
	}
	at, _ := slices.BinarySearchFunc(d.waiting, j, compareJobs)
	d.waiting = slices.Insert(d.waiting, at, j)
}

func compareJobs(a, b *job) int {
	switch {
	case a.offered != b.offered && a.offered:
		return -1
	case a.offered != b.offered:
		return 1
	case a.overdue != b.overdue && b.overdue:
		return -1
	case a.overdue != b.overdue:
		return 1
	case a.Kind.Priority != b.Kind.Priority:
		return a.Kind.Priority - b.Kind.Priority
	default:
		return a.arrived.Compare(b.arrived)
	}
}

func (d *Dispatcher) dequeue(j *job) {
	if at := slices.Index(d.waiting, j); at >= 0 {
		d.waiting = slices.Delete(d.waiting, at, at+1)
	}
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

func (d *Dispatcher) agentDown(now time.Time, id AgentID) {
	if _, ok := d.agents[id]; !ok {
		return
	}
	delete(d.agents, id)
	d.emit(Note{Decision: DecisionAgentDown, Agent: id})
	for name, last := range d.ending {
		if last.agent == id && last.settled.IsZero() {
			d.ending[name] = ending{agent: id, settled: now.Add(settleTime)}
		}
	}
	for _, j := range d.jobsInOrder() {
		for _, t := range j.tasks {
			if t.state == taskSent && t.agent == id {
				j.begun = true
				d.lose(now, j, t, settleTime)
			}
		}
	}
}

// ending is a run of a dropped job that may go on.
type ending struct {
	agent AgentID
	// settled is when the run has surely ended; nothing while its agent is to tell.
	settled time.Time
}

// forgetEnded forgets the runs of dropped jobs that have surely ended.
func (d *Dispatcher) forgetEnded(now time.Time) {
	for name, last := range d.ending {
		if !last.settled.IsZero() && !now.Before(last.settled) {
			delete(d.ending, name)
		}
	}
}

// jobsInOrder returns the jobs in a fixed order.
func (d *Dispatcher) jobsInOrder() []*job {
	jobs := make([]*job, 0, len(d.jobs))
	for _, j := range d.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return a.arrived.Compare(b.arrived) })
	return jobs
}

// lose makes a task pending again after a pause.
func (d *Dispatcher) lose(now time.Time, j *job, t *task, pause time.Duration) {
	t.state = taskPending
	t.settled = now.Add(pause)
	d.enqueue(j)
}

func (d *Dispatcher) updateRun(now time.Time, e RunUpdated) {
	if last, ok := d.ending[e.Update.Name]; ok && last.agent == e.Agent {
		if e.Update.Outcome.IsEnd() {
			delete(d.ending, e.Update.Name)
		}
		return
	}
	j, t := d.find(e.Update.Name)
	if t == nil || t.state != taskSent || t.agent != e.Agent {
		return
	}
	t.run = max(t.run, e.Update.Run)
	if e.Update.Outcome != runner.OutcomeNotStarted {
		j.begun = true
	}
	if e.Update.Outcome.IsEnd() {
		d.noteEnd(now, j, t, e)
	}
	switch e.Update.Outcome {
	case runner.OutcomeDone:
		t.state = taskDone
		j.open[t.step]--
		if j.isDone() {
			d.finish(now, j, Completed{})
			return
		}
		d.enqueue(j)
	case runner.OutcomeFailed:
		d.fail(now, j, t, e.Agent)
	case runner.OutcomeNotStarted:
		d.lose(now, j, t, 0)
	case runner.OutcomeStopped, runner.OutcomeLost:
		t.checkpoint = e.Update.Checkpoint
		d.lose(now, j, t, 0)
	}
}

// extraAttempts is how many runs may fail beyond the limit on workers whose runs fail anyway.
const extraAttempts = 3

// fail counts a failed run and lets the task run again elsewhere, or ends the job.
func (d *Dispatcher) fail(now time.Time, j *job, t *task, id AgentID) {
	t.failures++
	t.avoid = append(t.avoid, id)
	allowed := max(j.Kind.Attempts, 1)
	if a, ok := d.agents[id]; ok && !a.isSound() {
		allowed += extraAttempts
	}
	if t.failures >= allowed {
		d.finish(now, j, Failed{})
		return
	}
	d.lose(now, j, t, 0)
}

// find returns the job and the task of a task's name.
func (d *Dispatcher) find(name string) (*job, *task) {
	for i := range name {
		if name[i] == '.' {
			if j, ok := d.jobs[name[:i]]; ok {
				return j, j.task(name)
			}
			break
		}
	}
	return nil, nil
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
	return fmt.Sprintf("tasks=%d needs_cpu=%d agents=%d accepting=%d free_cpu=%d waiting=%d",
		len(j.tasks), j.Steps[0].Needs.CPU, len(d.agents), accepting, free, len(d.waiting))
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
