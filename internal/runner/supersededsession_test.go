// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"testing"
	"time"

	"sailhead/internal/worker"
)

// requestWaiting requests the start of a task that may wait in the queue.
func (s *selectiveWorker) requestWaiting(id SessionID, name string, wait time.Duration) {
	s.starts++
	s.handle(StartRequested{Session: id, Number: s.starts, Task: Task{Name: name, Run: 1, Needs: worker.Resources{CPU: taskCPU}, MaxWait: wait}})
}

// TestATaskOfAnEndedSessionThatWaitsCanBeSuperseded covers a task that waited for the end of an earlier run of itself, while its session
// ended, and that is requested by a third session while it is queued on a full worker.
//
// The failure: the agent looks up the lease of the ended session and panics.
func TestATaskOfAnEndedSessionThatWaitsCanBeSuperseded(t *testing.T) {
	t.Parallel()
	const second, third = SessionID(3), SessionID(4)
	s := newSelectiveWorker(t, 1)
	s.acceptsStops = true
	s.worker.capacity = worker.Resources{CPU: 2 * taskCPU}
	s.startProcess()
	s.openSessions()
	s.handle(SessionOpened{Session: second, Entry: "second"})
	s.handle(SessionOpened{Session: third, Entry: "third"})
	s.requestWaiting(otherEntry, "c", time.Second)
	s.requestWaiting(second, "a", 0)
	s.handle(SessionClosed{Session: second})
	s.pass(150 * time.Millisecond)
	if !s.runs("c") || s.runs("a") {
		t.Fatal("the waiting task has not got the resources of the stopped run")
	}
	defer func() {
		if cause := recover(); cause != nil {
			t.Fatalf("the agent panics: %v", cause)
		}
	}()
	s.requestWaiting(third, "a", 0)
	s.pass(latency)
}

// TestAQueuedTaskOfAnEndedSessionCanBeStopped covers the same task if the stop of its session is handled after the session's end.
func TestAQueuedTaskOfAnEndedSessionCanBeStopped(t *testing.T) {
	t.Parallel()
	const second = SessionID(3)
	s := newSelectiveWorker(t, 1)
	s.acceptsStops = true
	s.worker.capacity = worker.Resources{CPU: 2 * taskCPU}
	s.startProcess()
	s.openSessions()
	s.handle(SessionOpened{Session: second, Entry: "second"})
	s.requestWaiting(otherEntry, "c", time.Second)
	s.requestWaiting(second, "a", 0)
	s.runner.endSession(s.now, second, "ended by the agent, which has not read all messages of the session yet")
	s.pass(150 * time.Millisecond)
	if !s.runs("c") || s.runs("a") {
		t.Fatal("the waiting task has not got the resources of the stopped run")
	}
	defer func() {
		if cause := recover(); cause != nil {
			t.Fatalf("the agent panics: %v", cause)
		}
	}()
	s.handle(StopRequested{Session: second, Name: "a"})
}
