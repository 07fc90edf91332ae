// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"fmt"
	"testing"
	"time"

	"sailhead/internal/worker"
)

// newServingRunner returns a runner whose worker accepts tasks, with count entries of one session each.
func newServingRunner(now time.Time, count int) *Runner {
	r := New(DefaultLimits(time.Second, 50*time.Millisecond), 7)
	r.Handle(now, HeartbeatReceived{Record: worker.Record{ID: "w", Service: "svc", Capacity: worker.Resources{CPU: 16000}, Clock: time.Hour}})
	for i := range count {
		r.Handle(now, SessionOpened{Session: SessionID(i + 1), Entry: fmt.Sprintf("entry-%d", i)})
	}
	r.worker.knowsAllRuns = true
	return r
}

// TestLoadsDoNotGrowWithTheNumberOfEntries counts the loads sent in a second in which tasks of session 1 change the
// load every 2 ms. That session gets a load every 20 ms. All others together get at most 125 a second, or as many as
// there are pings if that is more.
func TestLoadsDoNotGrowWithTheNumberOfEntries(t *testing.T) {
	for _, test := range []struct{ entries, mostOfOthers int }{{3, 92}, {15, 125}, {100, 99 * 9}} {
		now := time.Unix(1_000_000, 0)
		r := newServingRunner(now, test.entries)
		loads := make(map[SessionID]int)
		for i := range 500 {
			now = now.Add(2 * time.Millisecond)
			event := ReservationRequested{Session: 1, Reservation: Reservation{Job: "job", Needs: worker.Resources{CPU: 99_000}, Count: i % 2}}
			for id := range r.sessions {
				r.handlePong(now, PongReceived{Session: id, Sent: now})
			}
			for _, effect := range r.Handle(now, event) {
				if e, ok := effect.(SendLoad); ok {
					loads[e.Session]++
				}
			}
		}
		others := 0
		for id, count := range loads {
			if id != 1 {
				others += count
			}
		}
		if loads[1] < 49 || loads[1] > 51 {
			t.Errorf("%d entries: %d loads to the one with reservations, want 50", test.entries, loads[1])
		}
		if others > test.mostOfOthers || others == 0 {
			t.Errorf("%d entries: %d loads to the others, want 1 to %d", test.entries, others, test.mostOfOthers)
		}
	}
}

// TestIdleWorkerReportsRecovery covers a worker that was slow and failed runs, and therefore gets no tasks.
// If a load is sent only when the slowness changes by much within one tick, the slow decay of the averages is never
// sent, and entries keep avoiding the worker after it has recovered. In a soak (seed 7006), two of four idle workers
// got no task for eight seconds while jobs were refused, because the entries still had a load with a slowness above
// 2.5.
func TestIdleWorkerReportsRecovery(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := newServingRunner(now, 1)
	r.health = health{stretch: 8, failures: 0.9, decayedAt: now}
	r.markLoadDue()
	var received Load
	for range 250 {
		now = now.Add(20 * time.Millisecond)
		effects := append(r.Handle(now, PongReceived{Session: 1, Sent: now}), r.Handle(now, Ticked{})...)
		for len(effects) > 0 {
			var next []Effect
			for _, effect := range effects {
				switch e := effect.(type) {
				case SendLoad:
					received = e.Load
				case CallRenew:
					listing := worker.Listing{Reply: worker.Reply{Clock: time.Hour, Received: now}}
					next = append(next, r.Handle(now, RenewAnswered{Incarnation: e.Incarnation, Sent: now, Fence: e.Renew.Fence, Result: listing})...)
				}
			}
			effects = next
		}
	}
	if received.Slowness > 1+2*minHealthChange || received.FailureRate > 0.25 {
		t.Errorf("after 5 s the entry last received a slowness of %.1f and a failure rate of %.2f; the averages are %.1f and %.2f", received.Slowness, received.FailureRate, r.health.slowness(), r.health.failureRate())
	}
}
