// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"

	"sailhead/internal/runner"
)

// This file decides when the session with an agent that the entry no longer needs is closed.

// agentDeselected handles an AgentDeselected event.
//
// Inputs: the agent, the tasks that are there, the runs of dropped jobs that have not ended there.
//
// Rule: the agent gets no new tasks and no reservations. If no run of this entry can be in progress there, a
// CloseSession is emitted; otherwise the event has to be repeated.
//
// Reason: the end of a session stops the runs that were started through it.
func (d *Dispatcher) agentDeselected(id AgentID) {
	a, ok := d.agents[id]
	if !ok {
		return
	}
	if !a.deselected {
		a.deselected = true
		d.cancelReservationsAt(id)
		d.agentsChanged()
	}
	if !d.hasRunsAt(id) {
		d.emit(CloseSession{Agent: id})
	}
}

// agentSelected lets a deselected agent get tasks again.
func (d *Dispatcher) agentSelected(id AgentID) {
	if a, ok := d.agents[id]; ok && a.deselected {
		a.deselected = false
		d.agentsChanged()
	}
}

// hasRunsAt reports whether a run that was sent to an agent may not have ended.
func (d *Dispatcher) hasRunsAt(id AgentID) bool {
	for _, run := range d.endingRuns {
		if run.agent == id {
			return true
		}
	}
	for _, j := range d.jobs {
		if slices.ContainsFunc(j.tasks, func(t *task) bool { return t.isAt(id) }) {
			return true
		}
	}
	return false
}

// cancelReservationsAt cancels the reservations of all jobs at one agent.
func (d *Dispatcher) cancelReservationsAt(id AgentID) {
	for _, j := range d.waiting {
		if j.reservation.agents[id] {
			delete(j.reservation.agents, id)
			d.emit(Reserve{Agent: id, Reservation: runner.Reservation{Job: j.ID}})
		}
	}
}
