// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

var (
	randomCutSeeds = flag.Uint64("randomcuts.seeds", 6, "number of random orders of cuts")
	firstRandomCut = flag.Uint64("randomcuts.first", 1, "seed of the first random order of cuts")
)

// longestOutage is the longest time for which the store answers nobody beside cuts.
const longestOutage = 4 * time.Second

// randomCuts returns one to four disruptions that begin within a cut's length. The store may be silent for all, but for no machine alone.
func randomCuts(seed uint64) cutOrder {
	random := rand.New(rand.NewPCG(seed, 7))
	var names []string
	var steps []func(*cluster)
	for range 1 + random.IntN(4) {
		at, span := randomTime(random, 0, longestCut), randomTime(random, 100*time.Millisecond, longestCut)
		entry, first, agents := random.IntN(3), random.IntN(8), 1+random.IntN(3)
		name, disrupt := randomDisruption(random.IntN(7), entry, first, agents, span)
		names = append(names, fmt.Sprintf("after %s %s", at, name))
		steps = append(steps, func(c *cluster) { c.after(at, func() { disrupt(c) }) })
	}
	return cutOrder{name: strings.Join(names, ", "), disrupt: func(c *cluster) {
		for _, step := range steps {
			step(c)
		}
	}}
}

// randomDisruption returns a disruption of an entry, of some agents from first on, or of the store, for a time.
func randomDisruption(kind, entry, first, agents int, span time.Duration) (name string, disrupt func(*cluster)) {
	ofAgents := func(do func(*clusterAgent)) func(*cluster) {
		return func(c *cluster) {
			for _, a := range c.agents[first : first+agents] {
				do(a)
			}
		}
	}
	switch kind {
	case 0, 1:
		return fmt.Sprintf("entry-%d is cut off for %s", entry, span), func(c *cluster) { c.cutEntry(c.entries[entry], span) }
	case 2:
		return fmt.Sprintf("%d agents from %d on are cut off for %s", agents, first, span), ofAgents(func(a *clusterAgent) { a.cluster.cutAgent(a, span) })
	case 3:
		return fmt.Sprintf("entry-%d is killed for %s", entry, span), func(c *cluster) { c.entries[entry].restart(span) }
	case 4:
		return fmt.Sprintf("%d agents from %d on are killed for %s", agents, first, span), ofAgents(func(a *clusterAgent) { a.restart(span) })
	case 5:
		return fmt.Sprintf("entry-%d is frozen for %s", entry, span), func(c *cluster) { c.entries[entry].freeze(span) }
	default:
		outage := min(span, longestOutage)
		return fmt.Sprintf("the store is silent for %s", outage), func(c *cluster) { c.silenceStore(outage) }
	}
}

// TestRandomCutsRunNoDoneTaskAgain plays random cuts, kills, freezes and outages of the store, alone and together. No task may run again whose
// end counts, no two runs of a task may go on at a time, and every job must be completed.
//
// The failure: an order of events in which an owner takes silence for the loss of a run that was done, or waits for an end for good.
func TestRandomCutsRunNoDoneTaskAgain(t *testing.T) {
	for seed := *firstRandomCut; seed < *firstRandomCut+*randomCutSeeds; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			order := randomCuts(seed)
			c, jobs := playCut(order)
			if twice := c.doneTwice(true); len(twice) > 0 {
				t.Errorf("%s: %d runs began after their task was done and the end counts, the first: %s", order.name, len(twice), twice[0])
			}
			c.checkNoOverlap(t)
			checkCompleted(t, jobs)
			if t.Failed() {
				t.Log(order.name)
			}
		})
	}
}
