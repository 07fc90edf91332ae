// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"

	"sailhead/internal/timing"
)

// TestARunOfALateRequestEndsBeforeItsCallerComesAgain covers a request that reaches the entry late. Its caller waits for the time of its Deadline
// header from the sending, then leaves and submits the job again at another entry. The departure does not reach the first entry, or is as late as
// the request. Nothing else is late.
//
// The failure: the entry counts the caller's time from the arrival of the request, so the run goes on for as long as the request was under way.
func TestARunOfALateRequestEndsBeforeItsCallerComesAgain(t *testing.T) {
	t.Parallel()
	for name, rule := range unacceptedStopRules {
		for departure, isNoticed := range map[string]bool{"departure unnoticed": false, "departure as late": true} {
			t.Run(name+"/"+departure, func(t *testing.T) {
				for late := time.Duration(0); late < 2*timing.CallerRetryDelay; late += lateHandOverStep {
					playLateRequest(t, late, isNoticed, rule)
				}
			})
		}
	}
}

// playLateRequest plays one such order.
func playLateRequest(t *testing.T, late time.Duration, isNoticed bool, rule fateRule) {
	t.Helper()
	c := newCluster(793003, 2, 3)
	job := clusterJob(longJobID, 1, longJobTime)
	job.RemainingTime = 3 * time.Second
	// The caller sends the request now.
	var request clusterRequest
	c.after(late, func() { request = c.entries[0].submit(job, ignoreAnswer) })
	c.run(job.RemainingTime - 10*time.Millisecond)
	running := c.runsOf(longTask)
	if len(running) != 1 {
		t.Fatalf("%d runs of the task, want 1", len(running))
	}
	running[0].rules = []*linkRule{{decide: rule}}
	c.path(c.entries[1], running[0]).silence(time.Minute)
	c.run(10 * time.Millisecond)
	if isNoticed {
		c.after(late, func() { request.leave(true) })
	}
	c.after(timing.CallerRetryDelay, func() { c.entries[1].submit(job, ignoreAnswer) })
	c.run(late + 2*timing.CallerRetryDelay)
	if c.checkNoOverlap(t); t.Failed() {
		t.Fatalf("the request arrives %s after it was sent", late)
	}
}
