// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"slices"
	"testing"
	"time"
)

// acceptedStart is a start request that a worker accepted.
type acceptedStart struct {
	at           time.Time
	worker, task string
}

// simulateCrashesAndKills runs jobs that crash workers among others, on a site whose workers are also killed and
// whose entries exchange crash records. It returns all starts in their order.
func simulateCrashesAndKills(seed uint64) []acceptedStart {
	var starts []acceptedStart
	s := newSite(seed, 12, 48, 32)
	s.onStart = func(w *fakeWorker, task string) {
		starts = append(starts, acceptedStart{at: s.now, worker: w.id, task: task})
	}
	for _, e := range s.entries {
		s.every(450*time.Millisecond, e.exchangeCrashes)
	}
	s.killWorkers(4 * time.Second)
	traffic := &traffic{site: s, load: 0.9, crashing: 0.1, crashingKind: "lookup"}
	traffic.start(5 * time.Second)
	s.run(6 * time.Second)
	return starts
}

// TestASeedRepeatsItself runs one seed twice and compares all starts, as a failure must be reproducible with its
// seed.
func TestASeedRepeatsItself(t *testing.T) {
	t.Parallel()
	first, again := simulateCrashesAndKills(1), simulateCrashesAndKills(1)
	if len(first) == 0 {
		t.Fatal("no task was started")
	}
	for i, start := range first[:min(len(first), len(again))] {
		if start != again[i] {
			t.Fatalf("start %d of %d differs between two runs of the same seed: %v, then %v", i, len(first), start, again[i])
		}
	}
	if !slices.Equal(first, again) {
		t.Fatalf("the same seed gave %d starts, then %d", len(first), len(again))
	}
}
