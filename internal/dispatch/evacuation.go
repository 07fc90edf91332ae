// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"sailhead/internal/evacuation"
)

// This file decides how jobs are treated whose workers are in an evacuated availability zone.

// evacuationsChanged updates the set of evacuated zones.
//
// Inputs: the evacuated zones, the zones of the workers.
//
// Rule: the workers of an evacuated zone get no tasks and no reservations, existing reservations there are cancelled, and offers
// are not used. Runs already sent continue to their end. A job of which no task can have begun is refused if every worker of its
// service is in an evacuated zone (evacuatedReason).
//
// Reason: operators evacuate a zone before they work on it. Agents refuse starts as well (package runner), which covers those in
// transit.
func (d *Dispatcher) evacuationsChanged(now time.Time, state evacuation.State) {
	d.evacuations = d.evacuations.Merge(state)
	for _, a := range d.ordered {
		isEvacuated := d.evacuations.IsEvacuated(a.record.Zone)
		if isEvacuated == a.evacuated {
			continue
		}
		a.evacuated = isEvacuated
		d.agentsChanged()
		if isEvacuated {
			d.cancelReservationsAt(a.id)
		}
	}
	d.chooseContained(now, d.containment.contained())
	d.refuseEvacuated(now)
}

// refuseEvacuated ends the waiting jobs of which no task can have begun and whose workers are all in evacuated zones.
func (d *Dispatcher) refuseEvacuated(now time.Time) {
	for _, j := range slices.Clone(d.waiting) {
		if reason := d.evacuatedReason(j); reason != "" && !j.isDurable && !j.mayHaveStarted() {
			d.finish(now, j, d.evacuatedAnswer(j, reason))
		}
	}
}

// evacuatedReason returns why no worker may run the tasks of a job, or "" if one may.
//
// Inputs: the agents in session, the services and zones of their workers, the number of agents with which the entry keeps sessions.
//
// Rule: there is a worker of the service, all known ones are in evacuated zones, and at least half of the sessions are open.
//
// Reason: after a restart the first sessions may all be with agents of evacuated zones. In that case a job waits for the other
// sessions, for as long as it would wait for resources.
func (d *Dispatcher) evacuatedReason(j *job) string {
	evacuated := 0
	for _, a := range d.ordered {
		switch {
		case a.evacuated && a.record.Service == j.Kind.Service:
			evacuated++
		case a.record.Service == j.Kind.Service, a.record.ID == "":
			return ""
		}
	}
	if evacuated == 0 || 2*len(d.agents) < d.selectedAgents {
		return ""
	}
	return "all known workers of the service are in evacuated availability zones"
}

// evacuatedAnswer returns the answer to a job whose workers are all in evacuated zones.
//
// Rule: the caller may retry after RetryAfter. A job of another entry is returned to that entry.
//
// Reason: the end of an evacuation is not known in advance, so the time only sets the retry interval: workers of a zone that is
// back in service are in use within a second. The other entry may have sessions with workers of other zones.
func (d *Dispatcher) evacuatedAnswer(j *job, reason string) NotRun {
	return NotRun{Reason: reason, RetryAfter: RetryAfter, IsLocal: j.IsHandedOver}
}
