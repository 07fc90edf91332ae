// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"
)

// suspend suspends the VM of the agent: the agent and its worker stand still, and so does the worker's clock, while that of the agent goes on.
func (a *clusterAgent) suspend(span time.Duration) {
	a.cluster.record("the VM of %s is suspended for %s", a.id, span)
	a.freeze(span)
	w, id := a.worker, a.worker.id
	// The worker carries out nothing before the end, so that its clock is only seen after it.
	w.suspended += span
	w.cluster.after(span+time.Duration(float64(w.leaseUntil-w.clock()-time.Duration(w.rate*float64(span)))/w.rate)+time.Microsecond, func() { w.expireLease(id) })
}

// TestRunsOfOthersAreNotRunTwiceAfterAShortSuspension covers a worker with the tasks of two entries. One entry loses its session, its stop is
// not accepted, and the VM is suspended for less than half a second meanwhile.
//
// The failure: the agent reports the run of the other entry as lost while it goes on, and that entry starts the task on another worker.
func TestRunsOfOthersAreNotRunTwiceAfterAShortSuspension(t *testing.T) {
	t.Parallel()
	const otherJobID = "00000000000000ee"
	for _, span := range []time.Duration{200 * time.Millisecond, 450 * time.Millisecond} {
		t.Run(span.String(), func(t *testing.T) {
			t.Parallel()
			c := newCluster(630000, 2, 2)
			c.entries[0].submit(clusterJob(longJobID, 1, longJobTime), ignoreAnswer)
			c.run(200 * time.Millisecond)
			a := c.runsOf(longTask)[0]
			for _, other := range c.agents {
				if other != a {
					c.path(c.entries[1], other).silence(time.Second)
				}
			}
			c.run(700 * time.Millisecond)
			c.entries[1].submit(clusterJob(otherJobID, 1, longJobTime), ignoreAnswer)
			c.run(800 * time.Millisecond)
			if len(c.runsOf(longTask)) != 1 || len(c.runsOf(otherJobID+".0.0.0")) != 1 || c.runsOf(otherJobID + ".0.0.0")[0] != a {
				t.Fatalf("the two jobs do not run on one worker:\n%s", &c.trace)
			}
			a.rules = []*linkRule{{decide: loseStops}}
			c.entries[0].restart(time.Minute)
			c.run(50 * time.Millisecond)
			a.suspend(span)
			c.run(3 * time.Second)
			c.checkNoOverlap(t)
		})
	}
}
