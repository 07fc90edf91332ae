// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package subset

// Transition returns with which agents an entry keeps sessions on its way from those that it has to those that Choose returned.
//
// Inputs: the names of the agents with which it keeps sessions, those chosen now, the size of the subset, how many agents may be given up,
// which agents are lost.
//
// Rule: what is kept and chosen stays. Of what is only kept, so many are given up as may be, and the lost ones. Then chosen agents are
// added until size of all are not lost.
//
// Reason: while members register, each of them changes the choice. Entries that followed it at once would open four sessions for each one
// that stays, and close the others within the same second at all agents. An agent that is not chosen any more serves as well as another.
func Transition(kept, chosen []string, size, giveUp int, isLost func(agent string) bool) []string {
	isKept, isChosen := setOf(kept), setOf(chosen)
	var result, missing []string
	for _, agent := range chosen {
		if isKept[agent] {
			result = append(result, agent)
		} else {
			missing = append(missing, agent)
		}
	}
	for _, agent := range kept {
		switch {
		case isChosen[agent], isLost(agent):
		case giveUp > 0:
			giveUp--
		default:
			result = append(result, agent)
		}
	}
	return fill(result, missing, size, isLost)
}

// fill adds agents in order until size of all are not lost.
func fill(agents, missing []string, size int, isLost func(agent string) bool) []string {
	serving := 0
	for _, agent := range agents {
		if !isLost(agent) {
			serving++
		}
	}
	for _, agent := range missing {
		if serving >= size {
			break
		}
		agents = append(agents, agent)
		if !isLost(agent) {
			serving++
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
