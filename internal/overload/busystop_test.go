// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"testing"
	"time"
)

// TestStartsOfOthersDoNotKeepAStoppedRunAlive covers the first faults of TestARunEndsInTimeAfterTwoFaults if the worker accepts no stop, while
// another entry goes on starting short tasks on it.
//
// The failure: the starts carry a lease, which applies to all runs on the worker.
func TestStartsOfOthersDoNotKeepAStoppedRunAlive(t *testing.T) {
	t.Parallel()
	for first, inject := range firstFaults {
		t.Run(first, func(t *testing.T) {
			r := newRunningJobBesideOthers(t)
			acceptNoStop(r)
			r.cluster.record("the first fault")
			begun := r.cluster.begun
			inject(r)
			r.cluster.run(3 * time.Second)
			r.cluster.checkNoOverlap(t)
			if r.cluster.begun == begun {
				t.Error("no other task was started")
			}
		})
	}
}

// newRunningJobBesideOthers submits a job to the first of three entries. The second one can reach only the agent that runs its task, and starts
// short tasks there.
func newRunningJobBesideOthers(t *testing.T) *runningJob {
	t.Helper()
	c := newCluster(620000, 3, 3)
	r := &runningJob{cluster: c, job: clusterJob(longJobID, 1, longJobTime), entry: c.entries[0], front: c.entries[0]}
	r.request, r.agent = startLongJob(t, c)
	for _, a := range c.agents {
		if a != r.agent {
			c.path(c.entries[1], a).silence(time.Minute)
		}
	}
	for i := range 60 {
		job := clusterJob(fmt.Sprintf("%016x", i+1), 1, 50*time.Millisecond)
		c.after(time.Duration(i)*80*time.Millisecond, func() { c.entries[1].submit(job, ignoreAnswer) })
	}
	c.run(time.Second)
	return r
}
