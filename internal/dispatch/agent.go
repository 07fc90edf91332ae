// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"strings"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// agent is an agent with an open session, and its worker.
type agent struct {
	id           AgentID
	record       worker.Record
	load         runner.Load
	unresponsive bool
	// timeFactor is the run time of tasks on the worker relative to the mean of all workers; see speed.go.
	timeFactor float64
	// deselected is set while the entry no longer needs the session; see agentDeselected.
	deselected bool
	// evacuated is set while the worker's availability zone is evacuated; see evacuation.go.
	evacuated bool
	// ignoresEjection is set while tasks are started on the worker although it is ejected; see ejection.go.
	ignoresEjection bool
	// isWholeServiceEjected is set while all workers of the service are ejected, so that even a task that must not fail again
	// has to run on an ejected one.
	isWholeServiceEjected bool
	// lastStart is the number of the last start sent in this session.
	lastStart uint64
	// uncounted holds the starts that the load does not include yet.
	uncounted []sentStart
	// uncountedResources is the sum of their needs.
	uncountedResources worker.Resources
	// counted is the number of the last start that the load includes, rejected that of the last start that was rejected.
	counted  uint64
	rejected uint64
}

// sentStart is a start that was sent to an agent.
type sentStart struct {
	number uint64
	needs  worker.Resources
	at     time.Time
}

// free returns the free resources of the worker: its capacity minus the latest load and the starts sent since. A
// resource is negative if other entries have overcommitted it.
func (a *agent) free() worker.Resources {
	return a.record.Capacity.Minus(a.load.Used).Minus(a.uncountedResources)
}

// unreserved returns the free resources that may be used without an offer. There are none while reservations wait at
// the agent, nor between a rejected start and the next load, as the free resources are unknown then.
func (a *agent) unreserved() worker.Resources {
	if a.load.HasReservations || a.rejected > a.counted {
		return worker.Resources{}
	}
	return a.free()
}

// applyLoad replaces the load and removes the starts that it includes from uncounted.
func (a *agent) applyLoad(handled uint64, load runner.Load) {
	a.load = load
	a.counted = handled
	uncounted := a.uncounted[:0]
	for _, start := range a.uncounted {
		if start.number > handled {
			uncounted = append(uncounted, start)
		} else {
			a.uncountedResources = a.uncountedResources.Minus(start.needs)
		}
	}
	a.uncounted = uncounted
}

// recordCountTimes records how long the starts that a new load includes have taken to be included, which shows
// congestion; see congestion.go.
func (d *Dispatcher) recordCountTimes(now time.Time, a *agent, handled uint64) {
	wasLimited := d.congestion.isLimited()
	for _, start := range a.uncounted {
		if start.number <= handled {
			d.congestion.startCounted(now, start.at)
		}
	}
	switch isLimited := d.congestion.isLimited(); {
	case isLimited && !wasLimited:
		d.emit(DecisionMade{Decision: DecisionLimited{CountTime: d.congestion.shortest}})
	case wasLimited && !isLimited:
		d.emit(DecisionMade{Decision: DecisionUnlimited{}})
	}
}

// countStart adds a start to the uncounted ones and returns its number.
func (a *agent) countStart(now time.Time, needs worker.Resources) uint64 {
	a.lastStart++
	a.uncounted = append(a.uncounted, sentStart{number: a.lastStart, needs: needs, at: now})
	a.uncountedResources = a.uncountedResources.Plus(needs)
	return a.lastStart
}

// accepts reports whether tasks of a service may be placed on the worker.
func (a *agent) accepts(service string) bool {
	return !a.unresponsive && a.mayGetTasks() && (a.load.Accepts || a.ignoresEjection) && !a.load.ShuttingDown && a.record.Service == service
}

// mayGetTasks reports whether the entry itself permits starts at the agent, regardless of the agent's load.
func (a *agent) mayGetTasks() bool {
	return !a.deselected && !a.evacuated
}

// knowsAllEnds reports whether the agent knew all ends of runs on its worker when it sent the latest load. An agent that
// accepts tasks does.
func (a *agent) knowsAllEnds() bool {
	return a.load.KnowsAllEnds || a.load.Accepts
}

// agentUp adds an agent whose worker and load are not known yet. It replaces an agent with the same ID.
func (d *Dispatcher) agentUp(id AgentID) {
	d.removeAgent(id)
	d.discardReservationsAt(id)
	a := &agent{id: id, timeFactor: 1}
	d.agents[id] = a
	at, _ := d.searchAgent(id)
	d.ordered = slices.Insert(d.ordered, at, a)
	d.emit(DecisionMade{Decision: DecisionAgentUp{}, Agent: id})
}

func (d *Dispatcher) removeAgent(id AgentID) {
	d.dropProbes(id)
	delete(d.agents, id)
	if at, ok := d.searchAgent(id); ok {
		d.ordered = slices.Delete(d.ordered, at, at+1)
	}
}

// searchAgent returns the index of an agent in d.ordered, or where to insert it if ok is false.
func (d *Dispatcher) searchAgent(id AgentID) (at int, ok bool) {
	return slices.BinarySearchFunc(d.ordered, id, func(a *agent, id AgentID) int {
		return strings.Compare(string(a.id), string(id))
	})
}

func (d *Dispatcher) agentUnresponsive(id AgentID) {
	a, ok := d.agents[id]
	if !ok || a.unresponsive {
		return
	}
	a.unresponsive = true
	d.agentsChanged()
	d.emit(DecisionMade{Decision: DecisionAgentUnresponsive{}, Agent: id})
}

func (d *Dispatcher) agentResponsive(id AgentID) {
	if a, ok := d.agents[id]; ok {
		a.unresponsive = false
		d.agentsChanged()
	}
}

// agentsChanged makes reservations and placements be computed again after a change of the agents.
func (d *Dispatcher) agentsChanged() {
	d.agentsVersion++
	d.isPlaceDue = true
	d.updateEjections()
}

func (d *Dispatcher) workerDescribed(now time.Time, e WorkerDescribed) {
	a, ok := d.agents[e.Agent]
	if !ok {
		return
	}
	a.record = e.Record
	a.evacuated = d.evacuations.IsEvacuated(a.record.Zone)
	d.discardReservationsAt(e.Agent)
	d.emit(DecisionMade{Decision: DecisionWorkerDescribed{Incarnation: e.Record.Incarnation()}, Agent: e.Agent})
	d.inferCrash(now, a)
}

func (d *Dispatcher) loadReceived(now time.Time, e LoadReceived) {
	a, ok := d.agents[e.Agent]
	if !ok {
		return
	}
	hasNewAccepts, hasNewEjection := a.load.Accepts != e.Load.Accepts, a.load.IsEjected != e.Load.IsEjected
	if hasNewAccepts {
		d.emit(DecisionMade{Decision: DecisionAcceptsChanged{Accepts: e.Load.Accepts}, Agent: e.Agent})
	}
	knewAllEnds, wasHealthy, before, beforeLongest := a.knowsAllEnds(), a.isHealthy(), a.unreserved(), a.freeForLongest()
	hasNewFactor := a.load.TimeFactor != e.Load.TimeFactor
	d.recordCountTimes(now, a, e.Handled)
	a.applyLoad(e.Handled, e.Load)
	if hasNewFactor {
		d.updateTimeFactors()
	}
	if a.knowsAllEnds() && !knewAllEnds {
		d.isPlaceDue = true
		d.agentRecovered(now, e.Agent)
		d.discardLostSession(a)
	}
	if hasMore := !a.unreserved().Fits(before) || !a.freeForLongest().Fits(beforeLongest); hasMore {
		d.isPlaceDue = true
	}
	if hasNewAccepts || a.isHealthy() != wasHealthy {
		d.agentsChanged()
	}
	if hasNewEjection {
		d.ejectionChanged(a)
	}
}
