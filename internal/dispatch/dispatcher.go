// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"sailhead/internal/ejection"
	"sailhead/internal/evacuation"
)

// Limits bounds what a dispatcher holds.
type Limits struct {
	// Jobs is the largest number of jobs under way. Durable jobs count, but are never refused here.
	Jobs int
	// NoContainment is set if kinds of which jobs crash workers are not contained; see containment.go.
	NoContainment bool
	// CrossRackFactor is by how many times a task takes longer on a worker of another rack than that of its data; 1 or less if that does not matter.
	CrossRackFactor float64
	// HandOver is set if jobs may be handed over to other entries; see handover.go.
	HandOver bool
	// NoEjection is set if the entry takes no part in the ejection of workers; see ejection.go.
	NoEjection bool
	// NoForecast is set if no job is refused by the wait that is expected of it; see forecast.go.
	NoForecast bool
	// NoShares is set if offers are used by urgency alone, and room for shorter tasks is not left free; see reserve.go and plan.go.
	NoShares bool
	// Weights are those of some kinds in the shares of workers.
	Weights map[string]float64
}

// Dispatcher runs the jobs of one entry. It is not safe for concurrent use.
type Dispatcher struct {
	limits Limits
	random *rand.Rand
	jobs   map[string]*job
	// lastNumber is the number of the job that arrived last.
	lastNumber uint64
	// waiting holds the jobs that may have tasks to place. It is in the order of compareJobs after sortWaiting.
	waiting []*job
	// agents holds the agents in session.
	agents map[AgentID]*agent
	// ordered holds the same agents sorted by id.
	ordered []*agent
	// isPlaceDue is set when place may have something to do: a task was added to the waiting ones or a job left them, more
	// resources are free, agents have changed, or time has passed (Ticked).
	isPlaceDue bool
	// view counts the changes of which agents accept tasks. Reservations are looked at again when it changes.
	view uint64
	// evacuations holds the availability zones in which nothing is started.
	evacuations evacuation.State
	// knownAgents is the number of registered agents, with or without a session.
	knownAgents int
	// chosenAgents is the number of those with which the entry keeps sessions, open ones or not.
	chosenAgents int
	// candidates is a buffer that plans reuse.
	candidates []candidate
	// endingRuns holds, by the task's name, the runs of dropped jobs that may not have ended. A job submitted again
	// under the same id waits for them.
	endingRuns map[string]endingRun
	// suspects holds the tasks under which workers have crashed.
	suspects suspects
	// crashHistory tells whether workers crash for other causes than tasks at present.
	crashHistory crashHistory
	// containment holds the kinds of which jobs have crashed workers.
	containment containment
	// lostSessions holds, by agent, what ran at its worker when its session ended, until it describes its worker again.
	lostSessions map[AgentID]lostSession
	// ejectedAgents is the number of agents in session whose workers are ejected.
	ejectedAgents int
	// probes are those that agents offered and no task has used.
	probes []heldProbe
	// kindOutcomes tells kinds that fail everywhere from workers that fail, by the kind's name.
	kindOutcomes map[string]ejection.Outcomes
	// runTimes is used to estimate how long tasks run.
	runTimes runTimes
	// lastSteps has when the last step of each kind was seen that runTimes rests on, by the kind's name.
	lastSteps map[string]time.Time
	// callerTimes is used to detect late retries.
	callerTimes callerTimes
	// congestion limits the accepted jobs while the entry's VM cannot keep up.
	congestion congestion
	// handedOver holds the jobs that other entries have, by their IDs.
	handedOver map[string]*job
	// lastHandOver is the number of the latest hand-over.
	lastHandOver uint64
	// onTheWay limits those that were handed over and not taken yet.
	onTheWay congestion
	// returns is used to spread the returns of refused callers.
	returns returnPlan
	// forecasts is used to refuse jobs that would wait for too long.
	forecasts forecasts
	// shutdownAt is when the process ends, zero while it is not shutting down.
	shutdownAt time.Time
	// effects collects the effects of the current call of Handle.
	effects []Effect
}

// New returns a dispatcher without jobs and agents.
func New(limits Limits, random *rand.Rand) *Dispatcher {
	return &Dispatcher{
		limits: limits, random: random,
		jobs:         make(map[string]*job),
		agents:       make(map[AgentID]*agent),
		endingRuns:   make(map[string]endingRun),
		suspects:     make(suspects),
		containment:  newContainment(),
		lostSessions: make(map[AgentID]lostSession),
		kindOutcomes: make(map[string]ejection.Outcomes),
		runTimes:     make(runTimes),
		lastSteps:    make(map[string]time.Time),
		callerTimes:  make(callerTimes),
		handedOver:   make(map[string]*job),
		forecasts:    newForecasts(),
	}
}

// Handle applies events, places waiting tasks, and returns the effects in order. Events that are available together
// should be passed together, because each placement visits every waiting job and every worker.
func (d *Dispatcher) Handle(now time.Time, events ...Event) []Effect {
	d.effects = nil
	for _, event := range events {
		d.handleEvent(now, event)
	}
	if d.isPlaceDue {
		d.place(now)
		d.isPlaceDue = false
		d.noteWaiting(now)
		d.checkRefused(now)
	}
	return d.effects
}

// handleEvent applies one event to the state.
func (d *Dispatcher) handleEvent(now time.Time, event Event) {
	switch e := event.(type) {
	case Submitted:
		d.submit(now, e)
	case CallerLeft:
		d.callerLeft(now, e)
	case CancelRequested:
		d.cancel(now, e)
	case StateRequested:
		d.emit(StateReply{Waiter: e.Waiter, State: d.stateOf(e.Job)})
	case DurableAccepted:
		d.acceptDurable(now, e)
	case DurableDropped:
		d.dropDurable(now, e.Jobs)
	case DurableTaskEnded:
		d.endDurableTask(now, e)
	case AgentsRegistered:
		d.agentsRegistered(now, e)
	case AgentUp:
		d.agentUp(e.Agent)
	case AgentUnresponsive:
		d.agentUnresponsive(e.Agent)
	case AgentResponsive:
		d.agentResponsive(e.Agent)
	case AgentDown:
		d.agentDown(now, e.Agent)
	case AgentDeselected:
		d.agentUnwanted(e.Agent)
	case AgentSelected:
		d.agentWanted(e.Agent)
	case WorkerDescribed:
		d.workerDescribed(now, e)
	case LoadReceived:
		d.loadReceived(now, e)
	case OfferReceived:
		d.offerReceived(now, e)
	case RunUpdated:
		d.updateRun(now, e)
	case WorkerCrashed:
		d.workerCrashed(now, e.Agent, e.Crash)
	case HandOverTaken:
		d.handOverTaken(now, e)
	case HandOverEnded:
		d.handOverEnded(now, e)
	case LearnedReceived:
		d.learn(now, e.Kinds)
	case EvacuationsChanged:
		d.evacuationsChanged(now, e.State)
	case ShutdownRequested:
		d.shutdownAt = e.Until
		d.handBack(now)
	case Ticked:
		d.tick(now)
	}
}

// tick applies the rules that depend on time alone.
func (d *Dispatcher) tick(now time.Time) {
	d.isPlaceDue = true
	d.expire(now)
	d.forgetEndedRuns(now)
	d.forgetCrashes(now)
	d.updateContainment(now)
	d.moveStuckRuns(now)
}

func (d *Dispatcher) emit(effect Effect) {
	d.effects = append(d.effects, effect)
}

// Counts returns the numbers of jobs under way, handed over ones included, of those that may have tasks to place, and of agents in session.
func (d *Dispatcher) Counts() (jobs, waiting, agents int) {
	return len(d.jobs) + len(d.handedOver), len(d.waiting), len(d.agents)
}

// isShuttingDown reports whether the process ends soon.
func (d *Dispatcher) isShuttingDown() bool {
	return !d.shutdownAt.IsZero()
}

// add adds a new job to those under way and to the waiting ones.
func (d *Dispatcher) add(j *job) {
	d.lastNumber++
	j.number = d.lastNumber
	j.Kind.Weight = d.limits.Weights[j.Kind.Name]
	d.jobs[j.ID] = j
	d.enqueue(j)
}

// jobsByArrival returns the jobs under way here in the order of their arrival.
func (d *Dispatcher) jobsByArrival() []*job { return jobsByArrival(d.jobs) }

// jobsByArrival returns jobs in the order of their arrival. Those that were handed over have no number: their times and IDs
// order them.
func jobsByArrival(all map[string]*job) []*job {
	jobs := make([]*job, 0, len(all))
	for _, j := range all {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.number, b.number), a.arrived.Compare(b.arrived), cmp.Compare(a.ID, b.ID))
	})
	return jobs
}
