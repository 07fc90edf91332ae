// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
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
	// ordered are the agents in the order of their names.
	ordered []*agent
	// known is how many agents there are, also those without a session.
	known int
	// candidates is used by each plan anew.
	candidates []candidate
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

// Handle takes in events, places what waits, and returns the effects in order. Events that came together are best
// handled together: each placement looks at every worker.
func (d *Dispatcher) Handle(now time.Time, events ...Event) []Effect {
	d.effects = nil
	for _, event := range events {
		d.take(now, event)
	}
	d.place(now)
	return d.effects
}

// take takes in one event.
func (d *Dispatcher) take(now time.Time, event Event) {
	switch e := event.(type) {
	case Submitted:
		d.submit(now, e)
	case CallerLeft:
		d.callerLeft(now, e)
	case Cancelled:
		d.cancel(now, e)
	case Kept:
		d.takeKept(now, e)
	case AgentsKnown:
		d.known = e.Agents
	case Dropped:
		d.dropKept(now, e.Jobs)
	case TaskEnded:
		d.endKept(now, e)
	case StateAsked:
		e.Done(d.stateOf(e.Job))
	case AgentUp:
		d.addAgent(&agent{id: e.Agent})
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
		d.seeLoad(now, e)
	case RunUpdated:
		d.updateRun(now, e)
	case LeaveAsked:
		d.leaving = e.Until
	case Ticked:
		d.expire(now)
		d.forgetEnded(now)
		d.moveStuck(now)
	}
}

// addAgent takes up an agent in place of an earlier one of the same name.
func (d *Dispatcher) addAgent(a *agent) {
	d.removeAgent(a.id)
	d.agents[a.id] = a
	at, _ := slices.BinarySearchFunc(d.ordered, a.id, compareAgent)
	d.ordered = slices.Insert(d.ordered, at, a)
}

func (d *Dispatcher) removeAgent(id AgentID) {
	delete(d.agents, id)
	if at, ok := slices.BinarySearchFunc(d.ordered, id, compareAgent); ok {
		d.ordered = slices.Delete(d.ordered, at, at+1)
	}
}

func compareAgent(a *agent, id AgentID) int {
	return strings.Compare(string(a.id), string(id))
}

// Counts returns the numbers of jobs under way, of those that wait for placement, and of agents in session.
func (d *Dispatcher) Counts() (jobs, waiting, agents int) {
	return len(d.jobs), len(d.waiting), len(d.agents)
}

// stateOf returns how far a job is. Of jobs that must be kept others tell.
func (d *Dispatcher) stateOf(id string) JobState {
	j, ok := d.jobs[id]
	switch {
	case !ok || j.isKept:
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

func (d *Dispatcher) seeLoad(now time.Time, e LoadSeen) {
	a, ok := d.agents[e.Agent]
	if !ok {
		return
	}
	if a.load.Accepts != e.Load.Accepts {
		d.emit(Note{Decision: DecisionAccepts, Agent: e.Agent, Detail: fmt.Sprint(e.Load.Accepts)})
	}
	if e.Load.Accepts && !a.load.Accepts {
		d.agentBack(now, e.Agent)
	}
	a.seeLoad(e.Handled, e.Load)
}

func (d *Dispatcher) submit(now time.Time, e Submitted) {
	if j, ok := d.jobs[e.Job.ID]; ok && j.isKept {
		d.emit(Reply{Waiters: []Waiter{e.Waiter}, Answer: NotRun{Reason: "the job is kept already", RetryAfter: d.comeBack(time.Second)}})
		return
	} else if ok {
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

// jobsInOrder returns the jobs in a fixed order.
func (d *Dispatcher) jobsInOrder() []*job {
	jobs := make([]*job, 0, len(d.jobs))
	for _, j := range d.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return a.arrived.Compare(b.arrived) })
	return jobs
}
