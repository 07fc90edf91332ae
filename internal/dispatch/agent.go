// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// agent is what the dispatcher knows of an agent and its worker.
type agent struct {
	id           AgentID
	record       worker.Record
	load         runner.Load
	unresponsive bool
	// number is the number of the last start.
	number uint64
	// sent are the starts that the load does not count yet, and sentRoom is what they need in all.
	sent          []sentStart
	sentResources worker.Resources
}

// sentStart is a start on its way to an agent.
type sentStart struct {
	number uint64
	needs  worker.Resources
}

// free is what is free at the worker, as far as is known here.
func (a *agent) free() worker.Resources {
	return a.record.Capacity.Minus(a.load.Used).Minus(a.sentResources)
}

// applyLoad takes in a load and forgets the starts that it counts.
func (a *agent) applyLoad(handled uint64, load runner.Load) {
	a.load = load
	kept := a.sent[:0]
	for _, each := range a.sent {
		if each.number > handled {
			kept = append(kept, each)
		} else {
			a.sentResources = a.sentResources.Minus(each.needs)
		}
	}
	a.sent = kept
}

// countStart counts a start towards the worker's room and returns its number.
func (a *agent) countStart(needs worker.Resources) uint64 {
	a.number++
	a.sent = append(a.sent, sentStart{number: a.number, needs: needs})
	a.sentResources = a.sentResources.Plus(needs)
	return a.number
}

// accepts reports whether tasks of a service may be placed on the worker.
func (a *agent) accepts(service string) bool {
	return !a.unresponsive && a.load.Accepts && !a.load.ShuttingDown && a.record.Service == service
}

const (
	// slowLimit is the slowness from which a worker is used only if no other has room.
	slowLimit = 3.5
	// failureLimit is the failure rate from which it is.
	failureLimit = 0.25
)

// isHealthy reports whether the worker's latest runs went well.
func (a *agent) isHealthy() bool {
	return a.load.Slowness < slowLimit && a.load.FailureRate < failureLimit
}
