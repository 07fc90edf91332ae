// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package subset decides with which agents an entry keeps sessions. It does no I/O and holds no state.
//
// Each session costs its two ends pings, and the entry every load of the agent. With sessions between all entries and all
// agents, that cost grows with the product of their numbers: 55 entries and 240 agents sent 220,000 pings and echoes a
// second before the first job came. A subset bounds what an entry pays by Size, and what an agent pays by about
// Size x entries / agents sessions.
//
// The choice is a rendezvous hash: every entry ranks the agents by a hash of both names and takes the first ones. Entries
// need not agree on anything, availability zones are represented by their share of the agents, and a member that comes or
// goes changes one place of a subset.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinAgents is the least size of a subset, if there are as many agents. It buys room for jobs of many tasks: the share of the time in
	// which the subset is full while other agents have room falls with its size.
	MinAgents = 48
	// MinSessions is the least mean number of subsets that an agent is in. It keeps agents from being in none where there are few entries
	// for many agents: with a mean of 8, one agent in 3,000.
	MinSessions = 8
)

// Size returns the number of agents with which an entry keeps sessions.
//
// Inputs: the numbers of registered agents and of entries, this one included.
//
// Rule: MinAgents, or more if the agents would be in fewer than MinSessions subsets otherwise; all agents if there are not as
// many.
//
// Reason: an entry pays for its own traffic, which follows the number of entries, and not for the size of the site.
func Size(agents, entries int) int {
	share := (MinSessions*agents + entries - 1) / max(entries, 1)
	return min(agents, max(MinAgents, share))
}

// maxReplacedPart bounds how many lost agents are replaced, as a part of the size; see Choose: more than the loss of one of three
// availability zones.
const maxReplacedPart = 2

// Choose returns the names of the agents with which an entry keeps sessions.
//
// Inputs: the names of the entry and of all registered agents, the size of the subset, which agents are lost.
//
// Rule: the first agents of the entry's ranking, until size of them are not lost, but no more than half of size beyond it. The
// lost ones among them stay in the subset, as they may come back.
//
// Reason: an entry that has lost more than that is cut off itself, and would open sessions with all agents when the cut ends.
func Choose(entry string, agents []string, size int, isLost func(agent string) bool) []string {
	var chosen []string
	missing := size
	for _, agent := range rank(entry, agents) {
		if missing <= 0 || len(chosen) >= size+size/maxReplacedPart {
			break
		}
		chosen = append(chosen, agent)
		if !isLost(agent) {
			missing--
		}
	}
	return chosen
}

// rank returns the agents in the order in which an entry prefers them.
func rank(entry string, agents []string) []string {
	type weighted struct {
		name   string
		weight uint64
	}
	ranked := make([]weighted, 0, len(agents))
	for _, name := range agents {
		ranked = append(ranked, weighted{name: name, weight: xxhash.Sum64String(entry + "/" + name)})
	}
	slices.SortFunc(ranked, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.name, b.name))
	})
	names := make([]string, 0, len(ranked))
	for _, agent := range ranked {
		names = append(names, agent.name)
	}
	return names
}
