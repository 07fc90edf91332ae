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
	// knownAgents is how many agents there are, also those without a session.
	knownAgents int
	// candidates is used by each plan anew.
	candidates []candidate
	// endingRuns are the tasks of jobs that were dropped, until their runs have surely ended: the same job may come
	// again before that.
	endingRuns map[string]endingRun
	// callerTimes tells the callers that have come back.
	callerTimes callerTimes
	// shutdownAt is when the process ends; nothing if it does not.
	shutdownAt time.Time
	effects    []Effect
}

// New returns a dispatcher without jobs and agents.
func New(limits Limits, random *rand.Rand) *Dispatcher {
	return &Dispatcher{
		limits: limits, random: random,
		jobs:   make(map[string]*job),
		agents: make(map[AgentID]*agent), callerTimes: make(callerTimes), endingRuns: make(map[string]endingRun),
	}
}

// Handle takes in events, places what waits, and returns the effects in order. Events that came together are best
// handled together: each placement looks at every worker.
func (d *Dispatcher) Handle(now time.Time, events ...Event) []Effect {
	d.effects = nil
	for _, event := range events {
		d.handleEvent(now, event)
	}
	d.place(now)
	return d.effects
}

// handleEvent takes in one event.
func (d *Dispatcher) handleEvent(now time.Time, event Event) {
	switch e := event.(type) {
	case Submitted:
		d.submit(now, e)
	case CallerLeft:
		d.callerLeft(now, e)
	case CancelRequested:
		d.cancel(now, e)
	case DurableAccepted:
		d.acceptDurable(now, e)
	case AgentsCounted:
		d.knownAgents = e.Agents
	case DurableDropped:
		d.dropDurable(now, e.Jobs)
	case DurableTaskEnded:
		d.endDurableTask(now, e)
	case StateRequested:
		d.emit(StateReply{Waiter: e.Waiter, State: d.stateOf(e.Job)})
	case AgentUp:
		d.addAgent(&agent{id: e.Agent})
		d.emit(DecisionMade{Decision: DecisionAgentUp, Agent: e.Agent})
	case AgentUnresponsive:
		if a, ok := d.agents[e.Agent]; ok && !a.unresponsive {
			a.unresponsive = true
			d.emit(DecisionMade{Decision: DecisionAgentUnresponsive, Agent: e.Agent})
		}
	case AgentResponsive:
		if a, ok := d.agents[e.Agent]; ok {
			a.unresponsive = false
		}
	case AgentDown:
		d.agentDown(now, e.Agent)
	case WorkerDescribed:
		if a, ok := d.agents[e.Agent]; ok {
			a.record = e.Record
			d.emit(DecisionMade{Decision: DecisionWorker, Agent: e.Agent, Detail: e.Record.ID})
		}
	case LoadReceived:
		d.handleLoad(now, e)
	case RunUpdated:
		d.updateRun(now, e)
	case ShutdownRequested:
		d.shutdownAt = e.Until
	case Ticked:
		d.expire(now)
		d.forgetEndedRuns(now)
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
	case !ok || j.isDurable:
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

func (d *Dispatcher) handleLoad(now time.Time, e LoadReceived) {
	a, ok := d.agents[e.Agent]
	if !ok {
		return
	}
	if a.load.Accepts != e.Load.Accepts {
		d.emit(DecisionMade{Decision: DecisionAccepts, Agent: e.Agent, Detail: fmt.Sprint(e.Load.Accepts)})
	}
	if e.Load.Accepts && !a.load.Accepts {
		d.agentRecovered(now, e.Agent)
	}
	a.applyLoad(e.Handled, e.Load)
}

func (d *Dispatcher) submit(now time.Time, e Submitted) {
	if j, ok := d.jobs[e.Job.ID]; ok && j.isDurable {
		d.emit(Reply{Waiters: []Waiter{e.Waiter}, Answer: NotRun{Reason: "the job is kept already", RetryAfter: d.retryAfter(time.Second)}})
		return
	} else if ok {
		j.waiters = append(j.waiters, e.Waiter)
		d.logDecision(now, j, DecisionJoined, "")
		return
	}
	j := newJob(now, e)
	if reason := d.refusalReason(now, j); reason != "" {
		d.finish(now, j, NotRun{Reason: reason, RetryAfter: d.retryAfter(time.Second)})
		return
	}
	j.lateRetry = d.callerTimes.isLateRetry(j)
	d.jobs[j.ID] = j
	d.enqueue(j)
	d.logDecision(now, j, DecisionAccepted, fmt.Sprintf("tasks=%d objective=%s", len(j.tasks), j.objective.Round(time.Millisecond)))
}

// refusalReason says why a new job is not taken; nothing means that it is.
func (d *Dispatcher) refusalReason(now time.Time, j *job) string {
	switch {
	case len(d.jobs) >= d.limits.Jobs:
		return "too many jobs are under way"
	case !d.shutdownAt.IsZero() && now.Add(j.objective).After(d.shutdownAt):
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
	case a.everSent != b.everSent && a.everSent:
		return -1
	case a.everSent != b.everSent:
		return 1
	case a.lateRetry != b.lateRetry && b.lateRetry:
		return -1
	case a.lateRetry != b.lateRetry:
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
