// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"

	"sailhead/internal/timing"
)

// TestARunOfAHandedOverJobEndsInTimeAtEachPhaseOfThePings covers a job that was handed over, whose caller leaves while nothing reaches the other
// entry, and whose worker accepts no stop, at many phases of the pings between the two entries.
//
// The failure: the other entry notices timing.SessionCloseTimeout and a ping interval of 200 ms late, and the run ends with its lease 567 ms later:
// after timing.CallerRetryDelay.
func TestARunOfAHandedOverJobEndsInTimeAtEachPhaseOfThePings(t *testing.T) {
	t.Parallel()
	failures, latest := 0, time.Duration(0)
	const seeds = 1000
	for seed := uint64(632000); seed < 632000+seeds; seed++ {
		r := newHandedOverJob(t, seed)
		acceptNoStop(r)
		left := r.cluster.now
		r.cluster.peerPath(r.front, r.entry).silence(time.Minute)
		r.callerLeaves()
		for len(r.cluster.runsOf(longTask)) > 0 && r.cluster.now.Sub(left) < timing.CallerRetryDelay {
			r.cluster.run(time.Millisecond)
		}
		latest = max(latest, r.cluster.now.Sub(left))
		r.cluster.run(200 * time.Millisecond)
		if len(r.cluster.overlaps) > 0 {
			failures++
			if failures == 1 {
				t.Errorf("seed %d", seed)
				r.cluster.checkNoOverlap(t)
			}
		}
	}
	t.Logf("the latest end: %s", latest)
	if failures > 0 {
		t.Errorf("%d of %d plays fail", failures, seeds)
	}
}
