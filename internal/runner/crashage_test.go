// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"testing"
	"time"

	"sailhead/internal/worker"
)

// TestTheAgeOfACrashedRunIsWithinItsError covers a run on a busy VM: its start call takes some time, and the agent notices the crash late.
//
// The failure: the error was the larger one of the two delays, although the reported age contains both. The runs of a task that crashed its
// workers 10 ms after each start seemed to have different ages.
func TestTheAgeOfACrashedRunIsWithinItsError(t *testing.T) {
	const (
		startTakes = 13 * time.Millisecond
		crashAfter = 10 * time.Millisecond
		agentDelay = 8 * time.Millisecond
	)
	incarnation := worker.Incarnation{ID: "w"}
	for _, test := range []struct {
		name string
		// confirm passes the confirmation of the start to the runner. It may add to the time that passes until then.
		confirm func(r *Runner, sent, now time.Time)
	}{
		{"accepted", func(r *Runner, sent, now time.Time) {
			reply := worker.Reply{Clock: time.Hour, Received: now}
			r.Handle(now, StartAnswered{Incarnation: incarnation, Name: "t", Run: 1, Sent: sent, Ended: now, Result: worker.Accepted{Reply: reply}})
		}},
		{"listed after a time-out", func(r *Runner, sent, now time.Time) {
			timedOut := sent.Add(startTakes / 2)
			r.Handle(timedOut, StartAnswered{Incarnation: incarnation, Name: "t", Run: 1, Sent: sent, Ended: timedOut, Result: worker.NoResponse{}})
			r.Handle(now, RenewAnswered{Incarnation: incarnation, Sent: timedOut, Ended: now, Fence: r.fence, Result: worker.Listing{
				Reply: worker.Reply{Clock: time.Hour, Received: now}, Running: []worker.Run{{Name: "t", Run: 1}},
			}})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, now := newRunnerWithKnownRuns()
			r.Handle(now, SessionOpened{Session: 1, Entry: "e"})
			r.Handle(now, Ticked{})
			now = now.Add(TickInterval + agentDelay)
			r.Handle(now, Ticked{})
			sent := now
			r.Handle(now, StartRequested{Session: 1, Number: 1, Task: Task{Name: "t", Run: 1, Needs: worker.Resources{CPU: 1000}, Expected: time.Second}})
			began := now.Add(startTakes)
			test.confirm(r, sent, began)
			noticed := began.Add(crashAfter + agentDelay)
			r.Handle(noticed, RenewAnswered{
				Incarnation: incarnation, Sent: sent, Took: noticed.Sub(sent), Ended: noticed, LongPoll: true, Result: worker.NoResponse{IsClosed: true},
			})
			run := crashedRunIn(t, r.Handle(noticed, RenewAnswered{Incarnation: incarnation, Sent: noticed, Ended: noticed, Result: worker.Unreachable{}}))
			if youngest := run.Age - run.AgeError; youngest > crashAfter || run.Age < crashAfter {
				t.Errorf("the run was %s old at the crash, but the report says %s to %s", crashAfter, youngest, run.Age)
			}
		})
	}
}

// crashedRunIn returns the only run in the crash report among effects.
func crashedRunIn(t *testing.T, effects []Effect) CrashedRun {
	t.Helper()
	for _, effect := range effects {
		if crash, ok := effect.(SendCrash); ok && len(crash.Crash.Runs) == 1 {
			return crash.Crash.Runs[0]
		}
	}
	t.Fatalf("no report of a crash with one run in %v", effects)
	return CrashedRun{}
}

// TestACrashOnABusyVMIsReportedAsSuch covers each delay by which an agent can tell that its VM is busy.
func TestACrashOnABusyVMIsReportedAsSuch(t *testing.T) {
	incarnation := worker.Incarnation{ID: "w"}
	const idle, busy = minBusyDelay / 10, minBusyDelay
	for _, test := range []struct {
		name                             string
		tickDelay, startTakes, callTakes time.Duration
		sinceClosed                      time.Duration
		wasBusy                          bool
	}{
		{"idle", idle, idle, idle, idle, false},
		{"late ticks", busy, idle, idle, idle, true},
		{"a slow start call", idle, busy, idle, idle, true},
		{"a slow call after the crash", idle, idle, busy, idle, true},
		{"a late detection", idle, idle, idle, busy, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, now := newRunnerWithKnownRuns()
			r.Handle(now, SessionOpened{Session: 1, Entry: "e"})
			r.Handle(now, Ticked{})
			now = now.Add(TickInterval + test.tickDelay)
			r.Handle(now, Ticked{})
			r.Handle(now, StartRequested{Session: 1, Number: 1, Task: Task{Name: "t", Run: 1, Needs: worker.Resources{CPU: 1000}, Expected: time.Second}})
			sent := now
			now = now.Add(test.startTakes)
			reply := worker.Reply{Clock: time.Hour, Received: now}
			r.Handle(now, StartAnswered{Incarnation: incarnation, Name: "t", Run: 1, Sent: sent, Ended: now, Result: worker.Accepted{Reply: reply}})
			now = now.Add(10 * time.Millisecond)
			r.Handle(now, RenewAnswered{
				Incarnation: incarnation, Sent: sent, Took: now.Sub(sent), Ended: now, LongPoll: true, Result: worker.NoResponse{IsClosed: true},
			})
			now = now.Add(test.sinceClosed)
			refused := RenewAnswered{Incarnation: incarnation, Sent: now, Took: test.callTakes, Ended: now, Result: worker.Unreachable{}}
			if run := crashedRunIn(t, r.Handle(now, refused)); run.WasBusy != test.wasBusy {
				t.Errorf("the VM was busy: %t, want %t", run.WasBusy, test.wasBusy)
			}
		})
	}
}
