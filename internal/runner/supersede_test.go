// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"testing"
	"time"

	"sailhead/internal/worker"
)

func TestEverySupersededStartGetsAnOutcome(t *testing.T) {
	r, now := newRunnerWithKnownRuns()
	outcomes := make(map[SessionID]bool)
	apply := func(event Event) {
		for _, effect := range r.Handle(now, event) {
			if update, ok := effect.(SendUpdate); ok && update.Update.Outcome.IsEnd() {
				outcomes[update.Session] = true
			}
		}
	}
	for session := SessionID(1); session <= 3; session++ {
		apply(SessionOpened{Session: session, Entry: string(rune('a' + session))})
		apply(StartRequested{Session: session, Number: 1, Task: Task{Name: "t", Run: 1, Needs: worker.Resources{CPU: 1000}}})
	}
	now = now.Add(time.Millisecond)
	apply(RenewAnswered{Incarnation: worker.Incarnation{ID: "w"}, Sent: now, Result: worker.Listing{
		Reply: worker.Reply{Clock: time.Hour + time.Millisecond, Received: now},
		Ended: []worker.End{{Number: 1, Name: "t", Run: 1, Ending: worker.EndingStopped}},
	}})
	for session := SessionID(1); session <= 2; session++ {
		if !outcomes[session] {
			t.Errorf("the start of session %d was superseded but has no outcome", session)
		}
	}
}

func TestASupersedingStartCanBeStopped(t *testing.T) {
	r, now := newRunnerWithKnownRuns()
	for session := SessionID(1); session <= 2; session++ {
		r.Handle(now, SessionOpened{Session: session, Entry: string(rune('a' + session))})
		r.Handle(now, StartRequested{Session: session, Number: 1, Task: Task{Name: "t", Run: 1, Needs: worker.Resources{CPU: 1000}}})
	}
	var outcome Outcome
	for _, effect := range r.Handle(now, StopRequested{Session: 2, Name: "t"}) {
		if update, ok := effect.(SendUpdate); ok && update.Session == 2 {
			outcome = update.Update.Outcome
		}
	}
	if outcome != OutcomeNotStarted {
		t.Errorf("outcome of a stopped start that waited for an earlier run is %s, want %s", outcome, OutcomeNotStarted)
	}
}

// newRunnerWithKnownRuns returns a runner whose worker has listed that it has no runs, and the time after that listing.
func newRunnerWithKnownRuns() (*Runner, time.Time) {
	now := time.Unix(1_000_000, 0)
	r := New(DefaultLimits(time.Second, 50*time.Millisecond), 7)
	r.Handle(now, HeartbeatReceived{Record: worker.Record{ID: "w", Service: "svc", Capacity: worker.Resources{CPU: 4000}, Sequence: 1, Clock: time.Hour}})
	now = now.Add(r.stopBound() + time.Millisecond)
	r.Handle(now, RenewAnswered{Incarnation: worker.Incarnation{ID: "w"}, Sent: now, Result: worker.Listing{Reply: worker.Reply{Clock: time.Hour, Received: now}}})
	return r, now
}
