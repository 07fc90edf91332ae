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

// Limits holds the limits and options of a dispatcher.
type Limits struct {
	// Jobs is the largest number of jobs in progress. Durable jobs count, but are never refused here.
	Jobs int
	// NoContainment disables the containment of kinds whose jobs crash workers; see containment.go.
	NoContainment bool
	// CrossRackFactor is the ratio of a task's run time in another rack to that in the rack of its data; 1 or less if
	// the rack makes no difference.
	CrossRackFactor float64
	// HandOver enables hand-overs of jobs to other entries; see handover.go.
	HandOver bool
	// NoEjection excludes the entry from the ejection of workers; see ejection.go.
	NoEjection bool
	// NoForecast disables refusals because of the forecast wait; see forecast.go.
	NoForecast bool
	// NoShares disables shares: offers are used by urgency alone, and no resources are kept free for shorter tasks; see
	// reserve.go and plan.go.
	NoShares bool
	// Weights holds the weights of kinds in the shares of workers, by the kind's name. A kind that is missing has weight 1.
	Weights map[string]float64
}

// Dispatcher runs the jobs of one entry. It is not safe for concurrent use.
type Dispatcher struct {
	limits Limits
	random *rand.Rand
	jobs   map[string]*job
	// lastNumber is the number of the latest job to arrive.
	lastNumber uint64
	// waiting holds the jobs that may have tasks to place. It is in the order of compareJobs if isWaitingSorted is set; see sortWaiting.
	waiting         []*job
	isWaitingSorted bool
	// agents holds the agents with an open session.
	agents map[AgentID]*agent
	// ordered holds the same agents, sorted by ID.
	ordered []*agent
	// isPlaceDue is set when place may be able to place a task: a job joined or left the waiting ones, more resources
	// are free, agents have changed, or time has passed (Ticked).
	isPlaceDue bool
	// isExpireDue is set when time has passed (Ticked). Jobs are refused after tasks were placed, so that none is refused while a worker has
	// resources for it.
	isExpireDue bool
	// agentsVersion is incremented when the set of agents that accept tasks changes. Each job then updates its reservations.
	agentsVersion uint64
	// evacuations holds the evacuated availability zones, where no task is started.
	evacuations evacuation.State
	// knownAgents is the number of registered agents, with or without a session.
	knownAgents int
	// selectedAgents is the number of registered agents that the entry has selected for sessions, open or not.
	selectedAgents int
	// candidates is a buffer that collectCandidates reuses.
	candidates []candidate
	// endingRuns holds, by the task's name, the runs of dropped jobs that may not have ended. A job submitted again
	// under the same ID waits for them.
	endingRuns map[string]endingRun
	// runsElsewhere holds the tasks of which other entries may have runs.
	runsElsewhere runsElsewhere
	// heldAnswers holds the answers to dropped jobs that are not sent yet; see heldanswer.go.
	heldAnswers []heldAnswer
	// suspects holds the tasks under which workers have crashed.
	suspects suspects
	// recordShare is the progress of telling other entries of crashes and of runs that may not have ended.
	recordShare recordShare
	// crashHistory is used to detect that workers currently crash for other causes than tasks.
	crashHistory crashHistory
	// containment holds the kinds whose jobs have crashed workers.
	containment containment
	// lostSessions holds, by agent, the runs that were at its worker when its session ended, until the agent describes its
	// worker again.
	lostSessions map[AgentID]lostSession
	// ejectedAgents is the number of agents in session whose workers are ejected.
	ejectedAgents int
	// probes holds the probes that agents offered and no task has used.
	probes []heldProbe
	// kindOutcomes is used to distinguish kinds that fail on all workers from failing workers, by the kind's name.
	kindOutcomes map[string]ejection.Outcomes
	// runTimes is used to estimate how long tasks run.
	runTimes runTimes
	// lastStepTimes holds, by the kind's name, when the latest step that runTimes is based on was observed, at this entry or
	// another one.
	lastStepTimes map[string]time.Time
	// congestion limits the accepted jobs while the entry's VM is overloaded.
	congestion congestion
	// handedOver holds the jobs that were handed over to other entries, by their IDs.
	handedOver map[string]*job
	// lastHandOver is the number of the latest hand-over.
	lastHandOver uint64
	// handOverCongestion limits the hand-overs that no entry has accepted yet.
	handOverCongestion congestion
	// returns is used to spread the retries of refused callers over time.
	returns retrySchedule
	// forecasts is used to refuse jobs that would wait too long.
	forecasts forecasts
	// shutdownAt is when the process ends, zero while it is not shutting down.
	shutdownAt time.Time
	// effects collects the effects of the current call of Handle.
	effects []Effect
}

// New returns a dispatcher with no jobs and no agents.
func New(limits Limits, random *rand.Rand) *Dispatcher {
	return &Dispatcher{
		limits: limits, random: random,
		jobs:          make(map[string]*job),
		agents:        make(map[AgentID]*agent),
		endingRuns:    make(map[string]endingRun),
		runsElsewhere: make(runsElsewhere),
		suspects:      make(suspects),
		containment:   newContainment(),
		lostSessions:  make(map[AgentID]lostSession),
		kindOutcomes:  make(map[string]ejection.Outcomes),
		runTimes:      make(runTimes),
		lastStepTimes: make(map[string]time.Time),
		handedOver:    make(map[string]*job),
		forecasts:     newForecasts(),
	}
}

// Handle applies events, places waiting tasks, and returns the effects in order. Callers should pass all available
// events in one call, because each placement visits every waiting job and every worker.
func (d *Dispatcher) Handle(now time.Time, events ...Event) []Effect {
	d.effects = nil
	for _, event := range events {
		d.handleEvent(now, event)
	}
	d.handleHeldAnswers(now)
	if d.isPlaceDue {
		d.place(now)
		d.isPlaceDue = false
		d.updateWaitingKinds(now)
		d.reportAvoidableRefusals(now)
	}
	if d.isExpireDue {
		d.isExpireDue = false
		d.expire(now)
	}
	return d.effects
}

// handleEvent applies one event without placing tasks.
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
	case StoredEndsRead:
		d.storedEndsRead(e)
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
		d.agentDeselected(e.Agent)
	case AgentSelected:
		d.agentSelected(e.Agent)
	case AgentPinged:
		d.emit(EchoPing(e))
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
	case RecordsShared:
		d.recordsShared(e)
	case UnendedRunReceived:
		d.runsElsewhere.add(e.Task, e.EndedBy)
	case HandOverAccepted:
		d.handOverAccepted(now, e)
	case HandOverEnded:
		d.handOverEnded(now, e)
	case HandOverPinged:
		d.emit(EchoHandOverPing(e))
	case LearnedReceived:
		d.mergeLearned(now, e.Kinds)
	case EvacuationsChanged:
		d.evacuationsChanged(now, e.State)
	case ShutdownRequested:
		d.shutdownAt = e.Until
		d.returnForeignJobs(now)
	case Ticked:
		d.tick(now)
	}
}

// tick applies the rules that depend on time alone.
func (d *Dispatcher) tick(now time.Time) {
	d.isPlaceDue, d.isExpireDue = true, true
	d.removeEndedRuns(now)
	d.runsElsewhere.removeBefore(now)
	d.expireCrashes(now)
	d.updateContainment(now)
	d.moveStuckRuns(now)
	d.requestStoredEnds(now)
}

func (d *Dispatcher) emit(effect Effect) {
	d.effects = append(d.effects, effect)
}

// Counts returns the number of jobs in progress, including those handed over, of jobs that may have tasks to place, and
// of agents with an open session.
func (d *Dispatcher) Counts() (jobs, waiting, agents int) {
	return len(d.jobs) + len(d.handedOver), len(d.waiting), len(d.agents)
}

// isShuttingDown reports whether a shutdown of the process was requested.
func (d *Dispatcher) isShuttingDown() bool {
	return !d.shutdownAt.IsZero()
}

// add adds a new job to the jobs in progress and to the waiting ones.
func (d *Dispatcher) add(j *job) {
	d.lastNumber++
	j.number = d.lastNumber
	j.Kind.Weight = d.limits.Weights[j.Kind.Name]
	d.jobs[j.ID] = j
	d.enqueue(j)
}

// jobsByArrival returns the jobs in progress at this entry in the order of their arrival.
func (d *Dispatcher) jobsByArrival() []*job { return jobsByArrival(d.jobs) }

// jobsByArrival returns jobs in the order of their arrival. Jobs that were handed over have no number and are ordered by
// their arrival times and IDs.
func jobsByArrival(all map[string]*job) []*job {
	jobs := make([]*job, 0, len(all))
	for _, j := range all {
		jobs = append(jobs, j)
	}
	sortByArrival(jobs)
	return jobs
}

// sortByArrival sorts jobs in the order of jobsByArrival.
func sortByArrival(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.number, b.number), a.arrived.Compare(b.arrived), cmp.Compare(a.ID, b.ID))
	})
}
