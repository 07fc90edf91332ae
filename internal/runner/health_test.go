// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"testing"
	"time"

	"sailhead/internal/worker"
)

// lookedAt is when the runs of the tests were listed.
var lookedAt = time.Unix(1000, 0)

func runningTask(name string, began time.Time, expected time.Duration, progress int) *task {
	return &task{Task: Task{Name: name, Expected: expected}, state: stateRunning, began: began, progress: progress, listedAt: lookedAt}
}

func TestAHangingWorkerIsSeenByItsRuns(t *testing.T) {
	now := time.Unix(1000, 0)
	began := now.Add(-100 * time.Millisecond)
	expected := 100 * time.Millisecond
	cases := []struct {
		name   string
		active []*task
		slow   bool
	}{
		{"runs as usual", []*task{runningTask("a.0.0.0", began, expected, 90), runningTask("b.0.0.0", began, expected, 95), runningTask("c.0.0.1", began, expected, 99)}, false},
		{"runs that stand still", []*task{runningTask("a.0.0.0", began, expected, 4), runningTask("b.0.0.0", began, expected, 0), runningTask("c.0.0.1", began, expected, 10)}, true},
		{"one job that took too little for its usual time", []*task{runningTask("a.0.0.0", began, expected, 9), runningTask("a.0.0.1", began, expected, 9), runningTask("a.0.0.2", began, expected, 9)}, false},
		{"too few jobs", []*task{runningTask("a.0.0.0", began, expected, 1), runningTask("b.0.0.0", began, expected, 1)}, false},
		{"runs that have just begun", []*task{runningTask("a.0.0.0", now, expected, 0), runningTask("b.0.0.0", now, expected, 0), runningTask("c.0.0.0", now, expected, 0)}, false},
	}
	for _, c := range cases {
		var h health
		h.update(now, c.active)
		if slow := h.slowness() > 2; slow != c.slow {
			t.Errorf("%s: slowness %.1f", c.name, h.slowness())
		}
	}
}

func TestAWorkerThatGetsNoTasksIsTakenForSoundAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	var h health
	for range 20 {
		h.recordEnd(runningTask("a.0.0.0", now.Add(-time.Second), 100*time.Millisecond, 0), worker.EndingDone, now)
		h.recordEnd(runningTask("a.0.0.0", now, 100*time.Millisecond, 0), worker.EndingFailed, now)
	}
	h.update(now, nil)
	if h.slowness() < 3 || h.failureRate() < 0.3 {
		t.Fatalf("slowness %.1f, failures %.2f", h.slowness(), h.failureRate())
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		h.update(now, nil)
	}
	if h.slowness() > 1.5 || h.failureRate() > 0.1 {
		t.Fatalf("after 10 s: slowness %.1f, failures %.2f", h.slowness(), h.failureRate())
	}
}
