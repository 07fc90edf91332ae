// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"

	"sailhead/internal/timing"
)

// chainStep is the step of the times of the second and the third fault.
const chainStep = 50 * time.Millisecond

// chainSeed is the seed of the plays.
const chainSeed = 794001

// TestARunOfAHandedOverJobEndsInTimeIfEachRightIsLostInTurn covers a job that was handed over, whose run rests on three rights in turn: that of
// the other entry to run the job (timing.SessionCloseTimeout after the last echo of the first entry), that of the session (timing.SessionLease
// after the last echo of the other entry) and the worker's lease. The caller leaves an entry that stays frozen. Then nothing reaches the agent
// any more, and then the agent is killed or its worker accepts no stop, each as late as possible.
//
// The failure: each right is counted from its own last extension, so their sum is longer than timing.CallerRetryDelay, and the third entry
// starts the task on another worker while the run goes on.
func TestARunOfAHandedOverJobEndsInTimeIfEachRightIsLostInTurn(t *testing.T) {
	t.Parallel()
	thirds := map[string]func(*runningJob){
		"there is no third fault": func(*runningJob) {}, "the agent is killed": secondFaults["the agent is killed"],
		"the worker accepts no stop": acceptNoStop,
	}
	for name, third := range thirds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plays, failures := 0, 0
			for cut := time.Duration(0); cut <= timing.SessionCloseTimeout; cut += chainStep {
				for after := cut; after <= cut+timing.SessionLease; after += chainStep {
					r := newHandedOverJob(t, chainSeed)
					firstFaultsOfHandOvers["the caller leaves an entry that stays frozen"](r)
					r.cluster.after(cut, func() {
						r.cluster.record("the second fault")
						r.cluster.path(r.entry, r.agent).silence(time.Minute)
					})
					r.cluster.after(after, func() {
						r.cluster.record("the third fault")
						third(r)
					})
					r.cluster.run(4 * time.Second)
					plays++
					if len(r.cluster.overlaps) > 0 {
						if failures++; failures == 1 {
							t.Logf("the second fault follows after %s, the third one after %s", cut, after)
							r.cluster.checkNoOverlap(t)
						}
					}
				}
			}
			if failures > 0 {
				t.Errorf("%d of %d plays fail", failures, plays)
			}
		})
	}
}
