// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"
)

// TestARunOfAHandedOverJobEndsInTimeIfTheSilenceIsNoticedLate covers a job that was handed over, whose caller leaves right after a ping reached
// the other entry, while nothing reaches that entry any more. The agent is killed, or its worker accepts no stop, at any time around the one
// at which that entry notices the silence.
//
// The failure: the silence was noticed after up to 760 ms, with the next ping, and the agent renewed the worker's lease just before it was
// killed, 740 ms or more after the caller had left. The run outlived timing.CallerRetryDelay, and the third entry started the task on
// another worker.
func TestARunOfAHandedOverJobEndsInTimeIfTheSilenceIsNoticedLate(t *testing.T) {
	t.Parallel()
	second := secondFaults["the agent is killed"]
	for _, first := range lateSilences {
		t.Run(first+"/the agent is killed", func(t *testing.T) { sweepUntilNoticed(t, first, second) })
		t.Run(first+"/the worker accepts no stop", func(t *testing.T) { sweepUntilNoticed(t, first, acceptNoStop) })
	}
}

// lateSilences are the first faults that the other entry notices by silence.
var lateSilences = []string{
	"the caller leaves while nothing reaches the other entry", "the caller leaves an entry that stays frozen", "the entry is cut off and killed",
}

// sweepUntilNoticed injects a second fault at all times around the one at which the other entry notices the silence.
func sweepUntilNoticed(t *testing.T, first string, second func(*runningJob)) {
	t.Helper()
	for _, seed := range []uint64{620088, 620212, 620300} {
		for after := 500 * time.Millisecond; after < 800*time.Millisecond; after += 5 * time.Millisecond {
			r := newHandedOverJobAfterPing(t, seed)
			firstFaultsOfHandOvers[first](r)
			r.cluster.after(after, func() { second(r) })
			r.cluster.run(3 * time.Second)
			r.cluster.checkNoOverlap(t)
			if t.Failed() {
				t.Fatalf("seed %d, the second fault follows after %s", seed, after)
			}
		}
	}
}

// newHandedOverJobAfterPing is newHandedOverJob at the time when the second entry has just received a ping.
func newHandedOverJobAfterPing(t *testing.T, seed uint64) *runningJob {
	t.Helper()
	r := newHandedOverJob(t, seed)
	h := r.entry.handOvers[0]
	for last := h.lastAtReceiver; h.lastAtReceiver.Equal(last); {
		r.cluster.run(100 * time.Microsecond)
	}
	return r
}
