// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package subset

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestTransition(t *testing.T) {
	lost := func(names ...string) func(string) bool {
		return func(agent string) bool { return slices.Contains(names, agent) }
	}
	for name, test := range map[string]struct {
		current, chosen []string
		maxDropped      int
		isLost          func(string) bool
		want            []string
	}{
		"first choice":           {nil, []string{"a", "b", "c"}, 0, none, []string{"a", "b", "c"}},
		"no change":              {[]string{"a", "b", "c"}, []string{"a", "b", "c"}, 3, none, []string{"a", "b", "c"}},
		"new choice, no drops":   {[]string{"a", "b", "c"}, []string{"d", "e", "f"}, 0, none, []string{"a", "b", "c"}},
		"new choice, one drop":   {[]string{"a", "b", "c"}, []string{"d", "e", "f"}, 1, none, []string{"b", "c", "d"}},
		"above size":             {[]string{"a", "b", "c", "d", "e"}, []string{"a", "b", "c"}, 1, none, []string{"a", "b", "c", "e"}},
		"chosen agent is lost":   {[]string{"a", "b", "c"}, []string{"a", "b", "c", "d"}, 0, lost("b"), []string{"a", "b", "c", "d"}},
		"unchosen agent is lost": {[]string{"a", "b", "x"}, []string{"a", "b", "c"}, 0, lost("x"), []string{"a", "b", "c"}},
		"several added at once":  {[]string{"a"}, []string{"b", "c", "d"}, 0, none, []string{"a", "b", "c"}},
	} {
		if got := Transition(test.current, test.chosen, 3, test.maxDropped, test.isLost); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
}

// TestSessionsDuringColdStart simulates 20 of 400 entries during a cold start of the whole site, in which the entries and 1,600 agents
// register within three seconds in random order and each entry is updated five times a second. For its first three steps an entry knows no
// other entry. An entry that switched to the chosen agents at each update would first open sessions with all agents.
func TestSessionsDuringColdStart(t *testing.T) {
	const entryCount, simulated, agentCount, startSteps, stepsAlone, stepsAfter = 400, 20, 1600, 15, 3, 120
	random := rand.New(rand.NewPCG(1, 1))
	entries, all := names("entry", simulated), names("agent", agentCount)
	random.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	opened, kept, mostClosed := 0, 0, 0
	closed := make([]int, startSteps+stepsAfter)
	for i, entry := range entries {
		var current []string
		firstStep := random.IntN(startSteps / 2)
		for step := firstStep; step < startSteps+stepsAfter; step++ {
			known := all[:min(agentCount*(step+1)/startSteps, agentCount)]
			knownEntries := min(entryCount*(step+1)/startSteps, entryCount)
			if step < firstStep+stepsAlone {
				knownEntries = 1
			}
			size := min(Size(len(known), knownEntries), 2*MinAgents)
			maxDropped := 0
			if step%5 == 0 {
				maxDropped = len(current) / 8
			}
			next := Transition(current, Choose(entry, known, size, none), size, maxDropped, none)
			isCurrent := setOf(current)
			for _, agent := range next {
				if !isCurrent[agent] {
					opened++
				}
			}
			closed[step] += len(current) - (len(next) - countNew(next, isCurrent))
			current = next
			if i == 0 && step == startSteps+stepsAfter-1 && !slices.Equal(sorted(current), sorted(Choose(entry, all, MinAgents, none))) {
				t.Error("the sessions of an entry did not converge to the chosen subset")
			}
		}
		kept += len(current)
	}
	for _, count := range closed {
		mostClosed = max(mostClosed, count)
	}
	openedPerKept, mostClosedPerKept := float64(opened)/float64(kept), float64(mostClosed)/float64(kept)
	t.Logf("per session kept: %.2f opened, at most %.2f closed in one step", openedPerKept, mostClosedPerKept)
	if openedPerKept > 3 || mostClosedPerKept > 0.25 {
		t.Error("per session kept: want at most 3 opened, and 0.25 closed in one step")
	}
}

func countNew(agents []string, isCurrent map[string]bool) int {
	count := 0
	for _, agent := range agents {
		if !isCurrent[agent] {
			count++
		}
	}
	return count
}

func sorted(names []string) []string {
	return slices.Sorted(slices.Values(names))
}
