// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"sailhead/internal/durable"
	"sailhead/internal/timing"
)

// cutSeed is the seed of the jobs and the processes beside cuts.
var cutSeed = flag.Uint64("cuts.seed", 1, "seed of the tests of cuts")

const (
	// longestCut is the length of a cut. Source: for_s of node_cut, 12.0 at most.
	longestCut = 12 * time.Second
	// cutAt is when the disruption begins, and afterCut how long the cluster goes on after the longest one.
	cutAt    = 3 * time.Second
	afterCut = 20 * time.Second
)

// cutOrder is an order of events in which an entry does not hear of the ends of runs.
type cutOrder struct {
	name    string
	disrupt func(*cluster)
}

// cutOrders are the orders of events after which an owner may not take silence for the loss of a run.
var cutOrders = []cutOrder{
	{"no disruption", func(*cluster) {}},
	{"an entry is cut off", func(c *cluster) { c.cutEntry(c.entries[0], longestCut) }},
	{"three agents are cut off", func(c *cluster) {
		for _, a := range c.agents[:3] {
			c.cutAgent(a, longestCut)
		}
	}},
	{"an entry is cut off twice", func(c *cluster) {
		c.cutEntry(c.entries[0], longestCut)
		c.after(longestCut+time.Second, func() { c.cutEntry(c.entries[0], longestCut) })
	}},
	{"agents return later than the entry", func(c *cluster) {
		c.cutEntry(c.entries[0], longestCut)
		for _, a := range c.agents[:6] {
			c.after(longestCut/2, func() { c.cutAgent(a, longestCut) })
		}
	}},
	{"an entry is cut off while another one is killed", func(c *cluster) {
		c.cutEntry(c.entries[0], longestCut)
		c.after(time.Second, func() { c.entries[1].restart(time.Second) })
	}},
	{"an entry is killed while three agents are cut off", func(c *cluster) {
		c.entries[0].restart(time.Second)
		for _, a := range c.agents[:3] {
			c.cutAgent(a, longestCut)
		}
	}},
	{"an entry is killed and the new owners are cut off", func(c *cluster) {
		c.entries[0].restart(time.Minute)
		for _, e := range c.entries[1:] {
			c.after(timing.ClaimLease, func() { c.cutEntry(e, longestCut) })
		}
	}},
	{"agents restart while an entry is cut off", func(c *cluster) {
		c.cutEntry(c.entries[0], longestCut)
		for _, a := range c.agents {
			c.after(time.Second, func() { a.restart(100 * time.Millisecond) })
		}
	}},
	{"agents restart while they are cut off for longer than two cuts", func(c *cluster) {
		for _, a := range c.agents[:3] {
			c.cutAgent(a, 2*longestCut)
			c.after(500*time.Millisecond, func() { a.restart(100 * time.Millisecond) })
		}
	}},
	{"agents restart in a cut, and all entries are then down for longer than a cut", func(c *cluster) {
		for _, e := range c.entries {
			c.cutEntry(e, 700*time.Millisecond)
			c.after(700*time.Millisecond, func() { e.restart(longestCut + 2*time.Second) })
		}
		for _, a := range c.agents {
			c.after(500*time.Millisecond, func() { a.restart(100 * time.Millisecond) })
		}
	}},
	{"agents and workers restart between two cuts in which their entry does not reach the store", func(c *cluster) {
		const firstCut, reconnected = 2600 * time.Millisecond, 1300 * time.Millisecond
		c.cutEntry(c.entries[0], firstCut)
		c.after(timing.EndStoreDelay, func() { c.store.silence(c.entries[0].name, timing.ClaimLease-1500*time.Millisecond) })
		c.after(firstCut+reconnected, func() { c.cutEntry(c.entries[0], longestCut) })
		for _, a := range c.agents {
			c.after(firstCut-100*time.Millisecond, func() {
				a.worker.crash(50 * time.Millisecond)
				a.restart(50 * time.Millisecond)
			})
		}
	}},
	{"workers restart while an entry is cut off", func(c *cluster) {
		c.cutEntry(c.entries[0], longestCut)
		for _, a := range c.agents {
			c.after(time.Second, func() { a.worker.crash(time.Second) })
		}
	}},
	{"the store is silent for all in the cut of an entry", func(c *cluster) {
		c.cutEntry(c.entries[0], longestCut)
		c.after(timing.DurableRerunDelay-timing.ClaimLease+time.Second, func() { c.silenceStore(timing.ClaimLease - time.Second) })
	}},
}

// silenceStore cuts all processes off from the store for a time.
func (c *cluster) silenceStore(span time.Duration) {
	for _, e := range c.entries {
		c.store.silence(e.name, span)
	}
	for _, a := range c.agents {
		c.store.silence(string(a.id), span)
	}
}

// submitRegularly submits durable jobs of eight tasks until a time, at 0.5 of the workers' capacity.
func (c *cluster) submitRegularly(until time.Duration) []*durableJob {
	const interval, tasks = 100 * time.Millisecond, 8
	var jobs []*durableJob
	for at := time.Duration(0); at < until; at += interval {
		j := &durableJob{id: fmt.Sprintf("%016x", len(jobs)+1)}
		jobs = append(jobs, j)
		runTime := 200*time.Millisecond + time.Duration(c.random.Int64N(int64(200*time.Millisecond)))
		c.after(at, func() {
			j.submitted = c.now
			c.hand(j, clusterJob(j.id, tasks, runTime))
		})
	}
	return jobs
}

// playCut plays an order of events beside durable jobs on three entries and eleven agents.
func playCut(order cutOrder) (*cluster, []*durableJob) {
	c := newCluster(*cutSeed, 3, 11, withDurableJobs)
	jobs := c.submitRegularly(cutAt + longestCut + 4*time.Second)
	c.run(cutAt)
	order.disrupt(c)
	c.run(2*longestCut + afterCut)
	return c, jobs
}

// checkCompleted checks that the callers of all jobs have learned that they are completed.
func checkCompleted(t *testing.T, jobs []*durableJob) {
	t.Helper()
	for _, j := range jobs {
		if j.finished.IsZero() || j.state != durable.StateCompleted {
			t.Errorf("job %s, submitted at %s, has state %d at the end", j.id, j.submitted.Sub(origin), j.state)
		}
	}
}

// TestADoneDurableTaskDoesNotBeginAgain plays cuts that are longer than the time after which an owner reruns a task.
//
// The failure: an owner that hears nothing of a run starts its task again, although the run was done and its agent reports that later.
func TestADoneDurableTaskDoesNotBeginAgain(t *testing.T) {
	for _, order := range cutOrders {
		t.Run(order.name, func(t *testing.T) {
			t.Parallel()
			c, jobs := playCut(order)
			if twice := c.doneTwice(false); len(twice) > 0 {
				t.Errorf("%d runs began after their task was done, the first: %s", len(twice), twice[0])
			}
			c.checkNoOverlap(t)
			logFinished(t, jobs)
			checkCompleted(t, jobs)
		})
	}
}

// isolationOrders are the orders of events in which an agent can tell nobody of an end for longer than owners wait. No owner can tell them from
// the loss of the agent.
var isolationOrders = []cutOrder{
	{"agents are down", func(c *cluster) {
		for _, a := range c.agents[:3] {
			a.restart(longestCut)
		}
	}},
	{"agents are frozen", func(c *cluster) {
		for _, a := range c.agents[:3] {
			a.freeze(longestCut)
		}
	}},
	{"agents do not reach their workers", func(c *cluster) {
		loseAll := &linkRule{decide: func(callKind) callFate { return callFate{isRequestLost: true} }}
		c.breakLinks(c.agents[:3], loseAll, longestCut)
	}},
	{"agents do not hear their workers", func(c *cluster) {
		loseAnswers := &linkRule{decide: func(callKind) callFate { return callFate{isAnswerLost: true} }}
		c.breakLinks(c.agents[:3], loseAnswers, longestCut)
	}},
	{"agents reach neither an entry nor the store", func(c *cluster) {
		for _, a := range c.agents[:3] {
			c.cutAgent(a, longestCut)
			c.store.silence(string(a.id), longestCut)
		}
	}},
	{"an entry is cut off and agents do not reach the store", func(c *cluster) {
		c.cutEntry(c.entries[0], longestCut)
		for _, a := range c.agents {
			c.store.silence(string(a.id), longestCut)
		}
	}},
}

// breakLinks makes the links of agents to their workers follow a rule for a time.
func (c *cluster) breakLinks(agents []*clusterAgent, rule *linkRule, span time.Duration) {
	for _, a := range agents {
		a.rules = append(a.rules, rule)
		c.after(span, func() { a.rules = nil })
	}
}

// TestAnEndThatNobodyCouldBeToldOfDoesNotCount plays what separates an agent from its worker, or from the entries and the store. A task may run
// twice for its caller then, but the first end must not count: the worker's lease has to lapse before the end is taken note of.
//
// The failure: an agent that could tell nobody of an end for longer than owners wait still keeps its worker's lease, and acknowledges the end
// after an owner has started the task again.
func TestAnEndThatNobodyCouldBeToldOfDoesNotCount(t *testing.T) {
	for _, order := range isolationOrders {
		t.Run(order.name, func(t *testing.T) {
			t.Parallel()
			c, jobs := playCut(order)
			t.Logf("%d runs began after their task was done", len(c.doneTwice(false)))
			if twice := c.doneTwice(true); len(twice) > 0 {
				t.Errorf("%d runs began after their task was done and the end counts, the first: %s", len(twice), twice[0])
			}
			c.checkNoOverlap(t)
			logFinished(t, jobs)
			checkCompleted(t, jobs)
		})
	}
}
