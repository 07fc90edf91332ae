// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"testing"
	"time"
)

// suspend simulates a suspension of the VM: neither the agent nor the worker runs, and the worker's clock stops.
func (s *selectiveWorker) suspend(length time.Duration) {
	s.now = s.now.Add(length)
	s.worker.origin = s.worker.origin.Add(length)
	for _, r := range s.worker.runs {
		r.ends = r.ends.Add(length)
		if !r.stopsAt.IsZero() {
			r.stopsAt = r.stopsAt.Add(length)
		}
	}
}

// TestNoRunIsReportedAsLostThatGoesOnAfterAShortSuspension covers a VM that is suspended for less than maxTickGap while the lease is held
// back for a stop that is not accepted.
//
// The failure: the lease is not extended after the suspension, but its expiry is not postponed either, so the run of another entry is
// reported as lost, and run elsewhere, while it goes on.
func TestNoRunIsReportedAsLostThatGoesOnAfterAShortSuspension(t *testing.T) {
	t.Parallel()
	for _, length := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, maxTickGap - 2*tickInterval} {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			s := newSelectiveWorker(t, 1)
			s.openSessions()
			s.handle(SessionClosed{Session: lostEntry})
			s.pass(50 * time.Millisecond)
			begin := s.now
			s.suspend(length)
			for s.now.Sub(begin) < observed && s.runs("b") {
				s.pass(latency)
				if s.updates["b"].Outcome == OutcomeLost && s.runs("b") {
					at := s.now
					for s.runs("b") {
						s.pass(latency)
					}
					t.Fatalf("the run of b is reported as lost %s after its lease was held back, and goes on for %s", at.Sub(begin), s.now.Sub(at))
				}
			}
		})
	}
}

// TestARunEndsInTimeAfterAShortSuspension covers a VM that is suspended for less than maxClockAge just before the session of a run ends,
// so that the last lease is computed from a reading from before the suspension.
func TestARunEndsInTimeAfterAShortSuspension(t *testing.T) {
	t.Parallel()
	for _, length := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 280 * time.Millisecond} {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			s := newSelectiveWorker(t, 1)
			s.openSessions()
			s.silent[lostEntry] = true
			begin := s.now
			validUntil := s.runner.sessions[lostEntry].validUntil
			s.pass(validUntil.Sub(s.now) - length - latency)
			s.suspend(length)
			for s.now.Sub(begin) < observed && s.runs("a") {
				s.pass(latency)
			}
			if took := s.now.Sub(begin); took > endAfterLoss {
				t.Errorf("the run ended after %s, want at most %s", took, endAfterLoss)
			}
		})
	}
}
