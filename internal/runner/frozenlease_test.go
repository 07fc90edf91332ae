// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"testing"
	"time"
)

// freeze simulates a frozen agent: the worker goes on, and calls and events are handled late. It returns early if the run of a ends.
func (s *selectiveWorker) freeze(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end) && s.runs("a"); s.now = s.now.Add(latency) {
		s.worker.advance(s.now)
	}
}

// TestARunWhoseStopIsNotAcceptedEndsInTimeBesideAFreeze covers an agent that is frozen at each time around the loss of a session.
func TestARunWhoseStopIsNotAcceptedEndsInTimeBesideAFreeze(t *testing.T) {
	t.Parallel()
	const step = 20 * time.Millisecond
	for name, act := range map[string]func(s *selectiveWorker){
		"closed": func(s *selectiveWorker) { s.after(0, func() { s.handle(SessionClosed{Session: lostEntry}) }) },
		"silent": func(s *selectiveWorker) { s.silent[lostEntry] = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			worst := time.Duration(0)
			for _, length := range []time.Duration{60 * time.Millisecond, 120 * time.Millisecond, 250 * time.Millisecond, 290 * time.Millisecond, 490 * time.Millisecond, 700 * time.Millisecond} {
				for at := time.Duration(0); at < 1200*time.Millisecond; at += step {
					for _, phase := range []time.Duration{0, 7 * time.Millisecond, 13 * time.Millisecond} {
						s := newSelectiveWorker(t, slowClock)
						s.openSessions()
						s.pass(phase)
						act(s)
						begin := s.now
						for s.now.Sub(begin) < at && s.runs("a") {
							s.pass(latency)
						}
						s.freeze(length)
						for s.now.Sub(begin) < observed && s.runs("a") {
							s.pass(latency)
						}
						worst = max(worst, s.now.Sub(begin))
						if took := s.now.Sub(begin); took > endAfterLoss {
							t.Errorf("frozen for %s after %s (phase %s): the run ended after %s, want at most %s", length, at, phase, took, endAfterLoss)
						}
					}
				}
			}
			t.Logf("the latest end: %s", worst)
		})
	}
}
