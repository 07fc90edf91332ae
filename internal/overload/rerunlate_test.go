// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"slices"
	"testing"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/timing"
)

// rerunMargin is how much later than timing.DurableRerunDelay a task may run again that was at an agent lost for good: the time until the entry
// notices the loss, one read of the stored ends that waits for the one before it, and a tick of the entry and of the agent.
const rerunMargin = timing.SessionCloseTimeout + 250*time.Millisecond + 50*time.Millisecond + entryTick + agentTick

// rerunsOf returns how long after the loss of an agent's VM the tasks ran again whose runs were in progress there.
func (c *cluster) rerunsOf(agent dispatch.AgentID, lost time.Time) []time.Duration {
	var waits []time.Duration
	for _, runs := range c.runs {
		for i, run := range runs[:len(runs)-1] {
			wasThere := run.agent == agent && !run.begun.After(lost) && run.ended.IsZero()
			if wasThere {
				waits = append(waits, runs[i+1].begun.Sub(lost))
			}
		}
	}
	slices.Sort(waits)
	return waits
}

// busiest returns the agent with the most runs.
func busiest(agents []*clusterAgent) *clusterAgent {
	return slices.MaxFunc(agents, func(a, b *clusterAgent) int { return len(a.worker.runs) - len(b.worker.runs) })
}

// TestTasksOfALostAgentRunAgainInTime loses an agent with its VM for good, alone and beside cuts of other machines.
//
// The failure: what is done against cuts makes the tasks of each lost agent wait longer than they did.
func TestTasksOfALostAgentRunAgainInTime(t *testing.T) {
	for _, order := range []cutOrder{
		{"no cut", func(*cluster) {}},
		{"three other agents are cut off", func(c *cluster) {
			for _, a := range c.agents[:3] {
				c.cutAgent(a, longestCut)
			}
		}},
		{"an entry is cut off from three other agents", func(c *cluster) {
			for _, a := range c.agents[:3] {
				c.path(c.entries[0], a).silence(longestCut)
			}
		}},
	} {
		t.Run(order.name, func(t *testing.T) {
			t.Parallel()
			var lost *clusterAgent
			var lostAt time.Time
			c, jobs := playCut(cutOrder{order.name, func(c *cluster) {
				order.disrupt(c)
				lost, lostAt = busiest(c.agents[3:]), c.now
				lost.worker.crash(time.Hour)
				lost.restart(time.Hour)
			}})
			waits := c.rerunsOf(lost.id, lostAt)
			if len(waits) == 0 {
				t.Fatal("no task was at the lost agent")
			}
			if last := waits[len(waits)-1]; last > timing.DurableRerunDelay+rerunMargin {
				t.Errorf("a task of the lost agent ran again after %s, want at most %s", last, timing.DurableRerunDelay+rerunMargin)
			}
			t.Logf("%d tasks of the lost agent ran again after %s to %s", len(waits), waits[0], waits[len(waits)-1])
			logFinished(t, jobs)
		})
	}
}

// logFinished logs how many of the jobs submitted beside the disruption were finished within a second, five seconds and fifteen seconds.
func logFinished(t *testing.T, jobs []*durableJob) {
	total := 0
	limits := []time.Duration{time.Second, 5 * time.Second, 15 * time.Second}
	finished := make([]int, len(limits))
	for _, j := range jobs {
		if j.submitted.Before(origin.Add(cutAt)) {
			continue
		}
		total++
		for i, limit := range limits {
			if !j.finished.IsZero() && j.finished.Sub(j.submitted) <= limit {
				finished[i]++
			}
		}
	}
	t.Logf("of %d jobs, %v were finished within %v", total, finished, limits)
}
