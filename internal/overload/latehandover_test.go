// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/timing"
)

// lateHandOverStep is the step of the times by which a message is late in these tests.
const lateHandOverStep = 50 * time.Millisecond

// newFullEntry returns a cluster whose first entry has as many jobs as it may have, so that it hands over further ones.
func newFullEntry(seed uint64) *cluster {
	c := newCluster(seed, 3, 3, func(c *cluster) { c.limits = dispatch.Limits{Jobs: 1, HandOver: true} })
	c.entries[0].submit(clusterJob("00000000000000ee", 1, longJobTime), ignoreAnswer)
	c.run(100 * time.Millisecond)
	return c
}

// submitAgainElsewhere submits the long job at the last entry timing.CallerRetryDelay after its caller has left the first one.
func submitAgainElsewhere(c *cluster) {
	c.after(timing.CallerRetryDelay, func() { c.entries[2].submit(clusterJob(longJobID, 1, longJobTime), ignoreAnswer) })
}

// TestAnEntryThatWakesHandsOverNoJobWhoseCallerHasLeft covers an entry that is frozen when a request arrives. The caller leaves, and submits the
// job again at another entry. When the first entry wakes, it reads the request before it sees that the caller has left.
//
// The failure: it handed the job over to a third entry, which had not noticed the freeze as the connection was idle, and which started the task
// beside its run.
func TestAnEntryThatWakesHandsOverNoJobWhoseCallerHasLeft(t *testing.T) {
	t.Parallel()
	for frozen := timing.CallerRetryDelay; frozen < 2*timing.CallerRetryDelay; frozen += lateHandOverStep {
		c := newFullEntry(720000)
		c.entries[0].freeze(frozen)
		c.run(10 * time.Millisecond)
		request := c.entries[0].submit(clusterJob(longJobID, 1, longJobTime), ignoreAnswer)
		c.run(50 * time.Millisecond)
		request.leave(true)
		submitAgainElsewhere(c)
		c.run(2 * frozen)
		if c.checkNoOverlap(t); t.Failed() {
			t.Fatalf("the entry was frozen for %s", frozen)
		}
	}
}

// TestAHandOverThatArrivesLateStartsNothing covers a job that reaches the other entry late. Its caller leaves, and submits it again at a third
// entry. The withdrawal is as late as the job.
//
// The failure: the other entry submitted the job, whatever its age, and started the task beside the run of the third entry until it read the
// withdrawal.
func TestAHandOverThatArrivesLateStartsNothing(t *testing.T) {
	t.Parallel()
	for delay := timing.CallerRetryDelay - 200*time.Millisecond; delay < 2*timing.CallerRetryDelay; delay += lateHandOverStep {
		c := newFullEntry(720001)
		c.peerPath(c.entries[0], c.entries[1]).forthDelay = delay
		request := c.entries[0].submit(clusterJob(longJobID, 1, longJobTime), ignoreAnswer)
		c.run(50 * time.Millisecond)
		request.leave(true)
		submitAgainElsewhere(c)
		c.run(2 * delay)
		if c.checkNoOverlap(t); t.Failed() {
			t.Fatalf("the messages of the first entry are %s late", delay)
		}
	}
}

// TestARunOfAHandedOverJobEndsInTimeIfItsSenderIsHeardLate covers a job that runs at the other entry when all messages to that entry become
// late, without a pause between them. Its caller leaves, and submits it again at a third entry.
//
// The failure: the other entry counted silence from the arrival of the messages, and so extended the run until the late withdrawal arrived.
func TestARunOfAHandedOverJobEndsInTimeIfItsSenderIsHeardLate(t *testing.T) {
	t.Parallel()
	for name, rule := range unacceptedStopRules {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for delay := timing.SessionCloseTimeout; delay < 2*timing.CallerRetryDelay; delay += lateHandOverStep {
				r := newHandedOverJob(t, 720002)
				r.agent.rules = []*linkRule{{decide: rule}}
				path := r.cluster.peerPath(r.front, r.entry)
				for late := time.Duration(0); late < delay; late += lateHandOverStep {
					path.forthDelay = late
					r.cluster.run(2 * lateHandOverStep)
				}
				r.callerLeaves()
				r.cluster.run(2*delay + timing.CallerRetryDelay)
				if r.cluster.checkNoOverlap(t); t.Failed() {
					t.Fatalf("the messages are %s late", delay)
				}
			}
		})
	}
}
