// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// slowFactor and fastFactor are the run time factors of a third of the workers and of the others.
const slowFactor, fastFactor = 1.7, 0.7

// TestLongJobsRunOnFastWorkers covers workers that differ in speed: on every third one tasks take 1.7 times the usual
// time, on the others 0.7. Jobs whose tasks take 0.9 s are late on a slow worker, those of 60 and 200 ms are not, so
// all jobs can be on time as long as there is free capacity.
func TestLongJobsRunOnFastWorkers(t *testing.T) {
	for _, test := range []struct{ load, least float64 }{{0.3, 0.98}, {0.6, 0.95}} {
		t.Run(fmt.Sprintf("load %.1f", test.load), func(t *testing.T) {
			t.Parallel()
			for name, counts := range simulateSpeeds(test.load) {
				t.Logf("%s: %d jobs, %d on time, %d late, %d not run", name, counts.submitted, counts.onTime, counts.late, counts.notRun)
				if share := counts.onTimeShare(); share < test.least {
					t.Errorf("%s: %.3f on time, want at least %.2f", name, share, test.least)
				}
			}
		})
	}
}

// simulateSpeeds returns the results by kind of the jobs that arrive once the entries have learned the speeds.
func simulateSpeeds(load float64) map[string]*counts {
	const learning, length = 6 * time.Second, 10 * time.Second
	s := newSite(1, 8, 48, 48)
	for i, a := range s.agentsInOrder() {
		a.worker.timeFactor = fastFactor
		if i%3 == 2 {
			a.worker.timeFactor = slowFactor
		}
	}
	before := &traffic{site: s, load: load}
	before.start(learning)
	s.run(learning)
	after := &traffic{site: s, load: load}
	after.start(length)
	s.run(length + 3*time.Second)
	return after.kinds
}

// agentsInOrder returns the agents ordered by name.
func (s *site) agentsInOrder() []*agent {
	var agents []*agent
	for _, a := range s.agents {
		agents = append(agents, a)
	}
	slices.SortFunc(agents, func(a, b *agent) int { return cmp.Compare(a.id, b.id) })
	return agents
}
