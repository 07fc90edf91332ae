// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"

	"sailhead/internal/dispatch"
)

// TestCallersThatReturnAreServed plays the pattern of a burst of half as much again as all workers do, for three seconds, whose
// refused callers return when they are told to, at any entry. They should be served then, with few further refusals, and in about
// the order in which they came first.
//
// Grounds for its figures: callers are told whole seconds, and wait for fifteen. After the burst half of the workers are free.
// Told a random time between one and two seconds instead, many return while the burst lasts: they are refused 1.4 times each, and
// 0.957 of those who come after the burst are served on time, in place of 1.02 times and all.
func TestCallersThatReturnAreServed(t *testing.T) {
	t.Parallel()
	const maxRetryTime = 15 * time.Second
	s := newSite(1, 12, 48, 48)
	burst := &traffic{site: s, load: 1.5}
	abandoned, refusals := 0, 0
	returning := make(map[time.Time]bool)
	burst.refused = func(k kind, first time.Time, answer dispatch.NotRun) {
		refusals++
		returning[first] = true
		wait := answer.RetryAfter.Round(0)
		if rest := wait % time.Second; rest > 0 {
			wait += time.Second - rest
		}
		if s.now.Add(wait).Sub(first) > maxRetryTime {
			abandoned++
			return
		}
		s.after(wait, func() { burst.submit(s.entries[s.random.IntN(len(s.entries))], k, first) })
	}
	burst.start(3 * time.Second)
	s.run(3 * time.Second)
	after := &traffic{site: s, load: 0.5}
	after.start(10 * time.Second)
	s.run(20 * time.Second)

	callers := len(returning)
	t.Logf("%d callers, %d of them refused %d times, %d gave up; after the burst %d of %d on time", burst.submitted, callers, refusals, abandoned, after.onTime, after.submitted)
	if callers == 0 {
		t.Fatal("nobody was refused")
	}
	if abandoned > callers/50 {
		t.Errorf("%d of %d refused callers gave up", abandoned, callers)
	}
	if mean := float64(refusals) / float64(callers); mean > 1.3 {
		t.Errorf("refused callers were refused %.2f times on average", mean)
	}
	if share := float64(after.onTime) / float64(after.submitted); share < 0.97 {
		t.Errorf("%.3f of the callers after the burst were served on time", share)
	}
}
