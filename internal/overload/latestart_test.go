// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sailhead/internal/timing"
)

// lateStartStep is the step of the times by which a start is late.
const lateStartStep = 100 * time.Millisecond

// TestAStartCarriedOutLateBeginsNoSecondRun covers a start that the worker carries out seconds late, after the agent that sent it has been killed.
// Nobody sends its stop. The entry runs the task again elsewhere, and so does another one to which the caller turns. The next process of the
// agent may start before or after, and starts other tasks, so that the worker's lease is extended.
func TestAStartCarriedOutLateBeginsNoSecondRun(t *testing.T) {
	t.Parallel()
	for _, downtime := range []time.Duration{0, 150 * time.Millisecond, 700 * time.Millisecond, time.Minute} {
		for _, leaves := range []bool{false, true} {
			t.Run(fmt.Sprintf("downtime=%s/caller leaves=%t", downtime, leaves), func(t *testing.T) {
				begun := 0
				for delay := time.Duration(0); delay < longestRequestDelay && !t.Failed(); delay += lateStartStep {
					begun += playLateStart(t, delay, downtime, leaves)
				}
				if begun == 0 {
					t.Error("no late start began a run")
				}
			})
		}
	}
}

// playLateStart plays a start that is carried out late by a delay, and returns 1 if it began a run, else 0.
func playLateStart(t *testing.T, delay, downtime time.Duration, leaves bool) int {
	t.Helper()
	c := newCluster(620000, 2, 3)
	var late *clusterAgent
	for _, a := range c.agents {
		rule := &linkRule{}
		rule.decide = func(kind callKind) callFate {
			if kind != callStart || late != nil {
				return callFate{}
			}
			late = a
			c.after(time.Millisecond, func() { a.restart(downtime) })
			return callFate{requestDelay: delay + time.Microsecond}
		}
		a.rules = []*linkRule{rule}
	}
	request := c.entries[0].submit(clusterJob(longJobID, 1, longJobTime), ignoreAnswer)
	c.run(50 * time.Millisecond)
	for i := range 100 {
		job := clusterJob(fmt.Sprintf("%016x", i+1), 2, 30*time.Millisecond)
		c.after(time.Duration(i)*50*time.Millisecond, func() { c.entries[1].submit(job, ignoreAnswer) })
	}
	if leaves {
		request.leave(true)
		c.after(timing.CallerRetryDelay, func() { c.entries[1].submit(clusterJob(longJobID, 1, longJobTime), ignoreAnswer) })
	}
	c.run(longestRequestDelay + 2*time.Second)
	c.checkNoOverlap(t)
	return c.countBegins(late, longTask)
}

// countBegins returns 1 if a run of a task has begun on the worker of an agent, else 0.
func (c *cluster) countBegins(a *clusterAgent, task string) int {
	begin := fmt.Sprintf("%s begins %s run 1", a.worker.id, task)
	if slices.ContainsFunc(c.trace.lines, func(e tracedEvent) bool { return e.text == begin }) {
		return 1
	}
	return 0
}
