// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"testing"
	"time"

	"sailhead/internal/worker"
)

// testListedAt is when the runs of the tests were listed.
var testListedAt = time.Unix(1000, 0)

func runningTask(name string, began time.Time, expected time.Duration, progress int) *task {
	return &task{Task: Task{Name: name, Expected: expected}, state: stateRunning, began: began, progress: progress, listedAt: testListedAt}
}

func TestSlownessFollowsProgressOfRunningTasks(t *testing.T) {
	now := time.Unix(1000, 0)
	began := now.Add(-100 * time.Millisecond)
	expected := 100 * time.Millisecond
	cases := []struct {
		name   string
		active []*task
		slow   bool
	}{
		{"expected progress", []*task{runningTask("a.0.0.0", began, expected, 90), runningTask("b.0.0.0", began, expected, 95), runningTask("c.0.0.1", began, expected, 99)}, false},
		{"hardly any progress", []*task{runningTask("a.0.0.0", began, expected, 4), runningTask("b.0.0.0", began, expected, 0), runningTask("c.0.0.1", began, expected, 10)}, true},
		{"one job whose expected time is too short", []*task{runningTask("a.0.0.0", began, expected, 9), runningTask("a.0.0.1", began, expected, 9), runningTask("a.0.0.2", began, expected, 9)}, false},
		{"too few jobs", []*task{runningTask("a.0.0.0", began, expected, 1), runningTask("b.0.0.0", began, expected, 1)}, false},
		{"runs shorter than minElapsed", []*task{runningTask("a.0.0.0", now, expected, 0), runningTask("b.0.0.0", now, expected, 0), runningTask("c.0.0.0", now, expected, 0)}, false},
	}
	for _, c := range cases {
		var h health
		h.update(now, c.active)
		if slow := h.slowness() > 2; slow != c.slow {
			t.Errorf("%s: slowness %.1f, want above 2: %t", c.name, h.slowness(), c.slow)
		}
	}
}

func TestAHangingWorkerIsTriedAgainAfterTwoSeconds(t *testing.T) {
	const unhealthy = 2.5 // maxSlowness of package dispatch
	now := testListedAt
	began := now.Add(-100 * time.Millisecond)
	var hanging []*task
	for _, name := range []string{"a.0.0.0", "b.0.0.0", "c.0.0.0"} {
		hanging = append(hanging, runningTask(name, began, 100*time.Millisecond, 1))
	}
	var h health
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		h.update(now, hanging)
	}
	if h.slowness() < unhealthy {
		t.Fatalf("slowness %.1f while all tasks stand still, want at least %.1f", h.slowness(), unhealthy)
	}
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		h.update(now, nil)
	}
	if h.slowness() >= unhealthy {
		t.Errorf("slowness %.1f two seconds after the tasks were moved, want below %.1f", h.slowness(), unhealthy)
	}
}

func TestHealthRecoversWithoutTasks(t *testing.T) {
	now := time.Unix(1000, 0)
	var h health
	for range 20 {
		h.recordEnd(runningTask("a.0.0.0", now.Add(-time.Second), 100*time.Millisecond, 0), worker.EndingDone, now)
		h.recordEnd(runningTask("a.0.0.0", now, 100*time.Millisecond, 0), worker.EndingFailed, now)
	}
	h.update(now, nil)
	if h.slowness() < 3 || h.failureRate() < 0.3 {
		t.Fatalf("slowness %.1f, want at least 3; failure rate %.2f, want at least 0.3", h.slowness(), h.failureRate())
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		h.update(now, nil)
	}
	if h.slowness() > 1.5 || h.failureRate() > 0.1 {
		t.Fatalf("after 10 s: slowness %.1f, want at most 1.5; failure rate %.2f, want at most 0.1", h.slowness(), h.failureRate())
	}
}
