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

// agent is an agent in session, with its worker.
type agent struct {
	id           AgentID
	record       worker.Record
	load         runner.Load
	unresponsive bool
	// timeFactor is by how many times tasks take longer on the worker than on others; see speed.go.
	timeFactor float64
	// unwanted is set while the session is to be closed; see agentUnwanted.
	unwanted bool
	// evacuated is set while the worker's availability zone is evacuated; see evacuation.go.
	evacuated bool
	// ignoresEjection is set while tasks are started on the worker although it is ejected; see ejection.go.
	ignoresEjection bool
	// isWithoutOther is set while all workers of the service are ejected, so that there is none for a task that must not fail again.
	isWithoutOther bool
	// lastStart is the number of the last start sent in this session.
	lastStart uint64
	// uncounted holds the starts that the load does not count yet.
	uncounted []sentStart
	// uncountedResources is the sum of their needs.
	uncountedResources worker.Resources
	// counted is the number of the last start that the load counts, rejected that of the last start that was rejected.
	counted  uint64
	rejected uint64
}

// sentStart is a start that was sent to an agent.
type sentStart struct {
	number uint64
	needs  worker.Resources
	at     time.Time
}

// free returns the free resources of the worker: its capacity without the latest load and the starts sent after it. A
// resource is negative if other entries placed more than there was.
func (a *agent) free() worker.Resources {
	return a.record.Capacity.Minus(a.load.Used).Minus(a.uncountedResources)
}

// unreserved returns the free resources that may be used without an offer: none while reservations wait for them, or after a start was
// rejected until a later load tells what is free.
func (a *agent) unreserved() worker.Resources {
	if a.load.HasReservations || a.rejected > a.counted {
		return worker.Resources{}
	}
	return a.free()
}

// applyLoad replaces the load and forgets the starts that it counts.
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

// noteCounted notes how long ago the starts were sent that a load counts first.
func (d *Dispatcher) noteCounted(now time.Time, a *agent, handled uint64) {
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

// countStart subtracts the needs of a start from the free resources and returns the start's number.
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

// mayGetTasks reports whether the entry starts tasks at the agent at all, whatever the agent says.
func (a *agent) mayGetTasks() bool {
	return !a.unwanted && !a.evacuated
}

// hasHeard reports whether the agent knew of all runs that have ended on its worker when it sent the latest load. One that accepts tasks
// does.
func (a *agent) hasHeard() bool {
	return a.load.KnowsAllEnds || a.load.Accepts
}

// agentUp adds an agent without worker and load. It replaces an agent of the same id.
func (d *Dispatcher) agentUp(id AgentID) {
	d.removeAgent(id)
	d.forgetReservationsAt(id)
	a := &agent{id: id, timeFactor: 1}
	d.agents[id] = a
	at, _ := d.searchAgent(id)
	d.ordered = slices.Insert(d.ordered, at, a)
	d.emit(DecisionMade{Decision: DecisionAgentUp{}, Agent: id})
}

func (d *Dispatcher) removeAgent(id AgentID) {
	d.forgetProbesOf(id)
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

// agentsChanged records that agents have changed in a way that matters to reservations and placements.
func (d *Dispatcher) agentsChanged() {
	d.view++
	d.isPlaceDue = true
	d.updateEjections()
}

func (d *Dispatcher) workerDescribed(now time.Time, e WorkerDescribed) {
	a, ok := d.agents[e.Agent]
	if !ok {
		return
	}
	a.record = e.Record
	a.evacuated = d.evacuations.Has(a.record.Zone)
	d.forgetReservationsAt(e.Agent)
	d.emit(DecisionMade{Decision: DecisionWorker{Incarnation: e.Record.Incarnation()}, Agent: e.Agent})
	d.workerReplaced(now, a)
}

func (d *Dispatcher) loadReceived(now time.Time, e LoadReceived) {
	a, ok := d.agents[e.Agent]
	if !ok {
		return
	}
	hasNewAccepts, hasNewEjection := a.load.Accepts != e.Load.Accepts, a.load.IsEjected != e.Load.IsEjected
	if hasNewAccepts {
		d.emit(DecisionMade{Decision: DecisionAccepts{Accepts: e.Load.Accepts}, Agent: e.Agent})
	}
	hadHeard, wasHealthy, before, beforeLongest := a.hasHeard(), a.isHealthy(), a.unreserved(), a.freeForLongest()
	hasNewFactor := a.load.TimeFactor != e.Load.TimeFactor
	d.noteCounted(now, a, e.Handled)
	a.applyLoad(e.Handled, e.Load)
	if hasNewFactor {
		d.updateTimeFactors()
	}
	if a.hasHeard() && !hadHeard {
		d.isPlaceDue = true
		d.agentRecovered(now, e.Agent)
		d.workerHeard(a)
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
