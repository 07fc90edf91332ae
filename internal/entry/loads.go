// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"slices"

	"sailhead/internal/dispatch"
)

// loadFilter leaves out loads that are out of date. Loads are most of what an entry receives, and each replaces the one before: an entry
// that has fallen behind catches up by reading the latest of each agent only.
type loadFilter struct {
	// latest holds the latest load of each agent in the events at hand.
	latest map[dispatch.AgentID]dispatch.LoadReceived
}

func newLoadFilter() loadFilter {
	return loadFilter{latest: make(map[dispatch.AgentID]dispatch.LoadReceived)}
}

// dropSuperseded removes the loads from events, in place, that are followed by one of the same agent. One that tells another state of the agent
// than its successor stays.
func (f loadFilter) dropSuperseded(events []dispatch.Event) []dispatch.Event {
	clear(f.latest)
	for i := len(events) - 1; i >= 0; i-- {
		load, ok := events[i].(dispatch.LoadReceived)
		if !ok {
			continue
		}
		if later, isSuperseded := f.latest[load.Agent]; isSuperseded && hasSameState(load, later) {
			events[i] = nil
			continue
		}
		f.latest[load.Agent] = load
	}
	return slices.DeleteFunc(events, func(event dispatch.Event) bool { return event == nil })
}

// hasSameState reports whether two loads tell the same of everything that changes what an agent may get.
func hasSameState(a, b dispatch.LoadReceived) bool {
	return a.Load.Accepts == b.Load.Accepts && a.Load.KnowsAllEnds == b.Load.KnowsAllEnds && a.Load.ShuttingDown == b.Load.ShuttingDown
}
