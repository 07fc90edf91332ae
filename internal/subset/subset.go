// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package subset selects the agents with which an entry keeps sessions (deterministic subsetting). It does no I/O and holds no state.
//
// Each session costs both ends pings, and the entry also receives every load report of the agent. With a full mesh of sessions the cost
// grows with the product of the numbers of entries and agents: 55 entries and 240 agents sent 220,000 pings and echoes a second before the
// first job arrived. Subsetting limits an entry to Size sessions, and an agent to about Size x entries / agents sessions.
//
// The selection uses rendezvous hashing: every entry ranks the agents by a hash of both names and takes the first ones. It needs no
// coordination between entries, each availability zone is represented in proportion to its agents, and an agent that joins or leaves
// changes only one member of a subset.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinAgents is the minimum size of a subset, if there are that many agents. It provides capacity for jobs of many tasks: the larger the
	// subset, the less often all of its agents are full while others have capacity.
	MinAgents = 48
	// MinSubsetsPerAgent is the minimum mean number of subsets per agent. It limits how many agents are in no subset at all where there are few
	// entries and many agents: with a mean of 8, it is one agent in 3,000.
	MinSubsetsPerAgent = 8
)

// Size returns the number of agents with which an entry keeps sessions.
//
// Inputs: the number of registered agents and the number of entries, including this one.
//
// Rule: MinAgents, or as many as are needed to reach MinSubsetsPerAgent; all agents if there are fewer.
//
// Reason: the cost for an entry then depends on its own traffic, which follows the number of entries, and not on the size of the site.
func Size(agents, entries int) int {
	share := (MinSubsetsPerAgent*agents + entries - 1) / max(entries, 1)
	return min(agents, max(MinAgents, share))
}

// maxReplacedDivisor limits the replacements of lost agents to size divided by this number (see Choose). This covers the loss of one of
// three availability zones.
const maxReplacedDivisor = 2

// Choose returns the names of the agents with which an entry keeps sessions.
//
// Inputs: the name of the entry, the names of all registered agents, the size of the subset, and which agents are lost.
//
// Rule: the first agents of the entry's ranking until size of them are not lost, but at most one and a half times size in all. Lost agents
// stay in the subset, as they may come back.
//
// Reason: an entry that has lost more agents is probably disconnected itself, and without the limit it would open sessions with all agents
// once the network recovers.
func Choose(entry string, agents []string, size int, isLost func(agent string) bool) []string {
	var chosen []string
	missing := size
	for _, agent := range rank(entry, agents) {
		if missing <= 0 || len(chosen) >= size+size/maxReplacedDivisor {
			break
		}
		chosen = append(chosen, agent)
		if !isLost(agent) {
			missing--
		}
	}
	return chosen
}

// rank returns the agents in the order of preference of the given entry.
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
