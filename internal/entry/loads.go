// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"slices"

	"sailhead/internal/dispatch"
)

// loadFilter drops outdated loads. Most events that an entry receives are loads, and each supersedes the previous one of
// its agent, so an entry that has fallen behind catches up by handling only the latest load of each agent.
type loadFilter struct {
	// latest holds the latest load of each agent in the current batch.
	latest map[dispatch.AgentID]dispatch.LoadReceived
}

func newLoadFilter() loadFilter {
	return loadFilter{latest: make(map[dispatch.AgentID]dispatch.LoadReceived)}
}

// dropSuperseded removes, in place, loads that are followed by one of the same agent, except where the agent's state
// differs between the two.
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

// hasSameState reports whether two loads agree in everything that decides which tasks an agent may get.
func hasSameState(a, b dispatch.LoadReceived) bool {
	return a.Load.Accepts == b.Load.Accepts && a.Load.KnowsAllEnds == b.Load.KnowsAllEnds && a.Load.ShuttingDown == b.Load.ShuttingDown
}
