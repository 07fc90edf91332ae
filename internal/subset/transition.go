// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package subset

// Transition returns the next set of agents with which an entry keeps sessions, one step from its current sessions towards the agents that
// Choose returned.
//
// Inputs: the names of the current agents and of the chosen ones, the size of the subset, how many current agents may be dropped in this
// step, and which agents are lost.
//
// Rule: current agents that are also chosen stay. Of the other current agents, the lost ones and up to maxDropped more are dropped. Then
// chosen agents are added until size agents in all are not lost.
//
// Reason: while members register, each registration changes the choice. Entries that followed it at once would open four sessions for each
// one that they keep, and close the rest at all agents within the same second. An agent that is no longer chosen serves as well as any
// other.
func Transition(current, chosen []string, size, maxDropped int, isLost func(agent string) bool) []string {
	isCurrent, isChosen := setOf(current), setOf(chosen)
	var result, missing []string
	for _, agent := range chosen {
		if isCurrent[agent] {
			result = append(result, agent)
		} else {
			missing = append(missing, agent)
		}
	}
	for _, agent := range current {
		switch {
		case isChosen[agent], isLost(agent):
		case maxDropped > 0:
			maxDropped--
		default:
			result = append(result, agent)
		}
	}
	return fill(result, missing, size, isLost)
}

// fill appends missing agents in order until size agents in all are not lost.
func fill(agents, missing []string, size int, isLost func(agent string) bool) []string {
	reachable := 0
	for _, agent := range agents {
		if !isLost(agent) {
			reachable++
		}
	}
	for _, agent := range missing {
		if reachable >= size {
			break
		}
		agents = append(agents, agent)
		if !isLost(agent) {
			reachable++
		}
	}
	return agents
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
