// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"

	"sailhead/internal/dispatch"
)

// TestCallersThatReturnAreServed covers a burst of 1.5 times the capacity of all workers for three seconds. Refused
// callers retry at a random entry after the time they were told (RetryAfter). Their retries should be served with few
// further refusals, and in about the order of the first attempts.
//
// The delay is told in whole seconds, rounded up, and callers give up after 15 s. After the burst half of the workers
// are free. If callers are told a random delay of one to two seconds instead, many retry during the burst: they are
// refused 1.4 times each in place of 1.02 times, and 0.957 of the jobs that arrive after the burst are served on time
// in place of all.
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
	t.Logf("%d callers, of which %d were refused %d times and %d gave up; after the burst %d of %d jobs on time", burst.submitted, callers, refusals, abandoned, after.onTime, after.submitted)
	if callers == 0 {
		t.Fatal("no caller was refused")
	}
	if abandoned > callers/50 {
		t.Errorf("%d of %d refused callers gave up, want at most one in 50", abandoned, callers)
	}
	if mean := float64(refusals) / float64(callers); mean > 1.3 {
		t.Errorf("refused callers were refused %.2f times on average, want at most 1.3", mean)
	}
	if share := float64(after.onTime) / float64(after.submitted); share < 0.97 {
		t.Errorf("%.3f of the jobs after the burst completed on time, want at least 0.97", share)
	}
}
