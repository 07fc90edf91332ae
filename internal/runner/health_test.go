// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"fmt"
	"testing"
	"time"

	"sailhead/internal/worker"
)

// testListedAt is when the runs in the tests were listed, on the worker's clock.
const testListedAt = time.Hour

// runningTask returns a task whose run began the given time before it was listed.
func runningTask(name string, ago, expected time.Duration, progress int) *task {
	return &task{
		Task: Task{Name: name, Expected: expected}, state: stateRunning, acceptedAt: testListedAt - ago, progress: progress, listedAt: testListedAt,
	}
}

func TestSlownessFollowsProgressOfRunningTasks(t *testing.T) {
	now := time.Unix(1000, 0)
	began := 100 * time.Millisecond
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
		{"runs shorter than minElapsed", []*task{runningTask("a.0.0.0", 0, expected, 0), runningTask("b.0.0.0", 0, expected, 0), runningTask("c.0.0.0", 0, expected, 0)}, false},
	}
	for _, c := range cases {
		var h health
		h.update(now, c.active, 1)
		if slow := h.slowness() > 2; slow != c.slow {
			t.Errorf("%s: slowness %.1f, want above 2: %t", c.name, h.slowness(), c.slow)
		}
	}
}

func TestHungWorkerIsRetriedAfterTwoSeconds(t *testing.T) {
	const unhealthy = 2.5 // maxSlowness of package dispatch
	now := time.Unix(1000, 0)
	began := 100 * time.Millisecond
	var hanging []*task
	for _, name := range []string{"a.0.0.0", "b.0.0.0", "c.0.0.0"} {
		hanging = append(hanging, runningTask(name, began, 100*time.Millisecond, 1))
	}
	var h health
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		h.update(now, hanging, 1)
	}
	if h.slowness() < unhealthy {
		t.Fatalf("slowness %.1f while no task makes progress, want at least %.1f", h.slowness(), unhealthy)
	}
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		h.update(now, nil, 1)
	}
	if h.slowness() >= unhealthy {
		t.Errorf("slowness %.1f two seconds after the tasks were moved, want below %.1f", h.slowness(), unhealthy)
	}
}

func TestHealthRecoversWithoutTasks(t *testing.T) {
	now := time.Unix(1000, 0)
	var h health
	for range 20 {
		h.recordEnd(runningTask("a.0.0.0", time.Second, 100*time.Millisecond, 0), worker.EndingDone, testListedAt, 1)
		h.recordEnd(runningTask("a.0.0.0", 0, 100*time.Millisecond, 0), worker.EndingFailed, testListedAt, 1)
	}
	h.update(now, nil, 1)
	if h.slowness() < 3 || h.failureRate() < 0.3 {
		t.Fatalf("slowness %.1f, want at least 3; failure rate %.2f, want at least 0.3", h.slowness(), h.failureRate())
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		h.update(now, nil, 1)
	}
	if h.slowness() > 1.5 || h.failureRate() > 0.1 {
		t.Fatalf("after 10 s: slowness %.1f, want at most 1.5; failure rate %.2f, want at most 0.1", h.slowness(), h.failureRate())
	}
}

// TestLateReportOfAnEndDoesNotCountAsSlow covers an agent that is paused for a second, or has a slow link to its worker. If
// the run time were measured until the agent handles the answer, every run would look ten times slower than usual after
// a pause, and entries would avoid a healthy worker for one or two seconds.
func TestLateReportOfAnEndDoesNotCountAsSlow(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := newServingRunner(now, 1)
	const runTime = 100 * time.Millisecond
	for i := range 8 {
		start := StartRequested{Session: 1, Number: uint64(i + 1), Task: Task{Name: fmt.Sprintf("j%d.0.0.0", i), Run: 1, Expected: runTime}}
		r.Handle(now, start)
		r.Handle(now, StartAnswered{Incarnation: worker.Incarnation{ID: "w"}, Name: start.Task.Name, Run: 1, Result: worker.Accepted{
			Reply: worker.Reply{Clock: time.Hour, Received: now},
		}})
	}
	late := now.Add(time.Second)
	listing := worker.Listing{Reply: worker.Reply{Clock: time.Hour + runTime, Received: late}}
	for i := range 8 {
		listing.Ended = append(listing.Ended, worker.End{Number: uint64(i + 1), Name: fmt.Sprintf("j%d.0.0.0", i), Run: 1, Ending: worker.EndingDone})
	}
	r.Handle(late, RenewAnswered{Incarnation: worker.Incarnation{ID: "w"}, Sent: now, LongPoll: true, Result: listing})
	if slowness := r.health.slowness(); slowness > 1.1 {
		t.Errorf("slowness %.1f after runs that took their usual time, want 1", slowness)
	}
}

// TestRunsWithCheckpointsCountTowardsSlowness covers runs that take ten times their usual time and save a checkpoint. If the
// checkpoint of the end were stored before the run time is evaluated, each of them would count as resumed from a
// checkpoint and be ignored, and a worker that is slow only for such tasks would stay healthy.
func TestRunsWithCheckpointsCountTowardsSlowness(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := newServingRunner(now, 1)
	const usual = 100 * time.Millisecond
	for i := range 8 {
		name := fmt.Sprintf("j%d.0.0.0", i)
		r.Handle(now, StartRequested{Session: 1, Number: uint64(i + 1), Task: Task{Name: name, Run: 1, Expected: usual}})
		r.Handle(now, StartAnswered{Incarnation: worker.Incarnation{ID: "w"}, Name: name, Run: 1, Result: worker.Accepted{Reply: worker.Reply{Clock: time.Hour, Received: now}}})
		end := worker.End{Number: uint64(i + 1), Name: name, Run: 1, Ending: worker.EndingDone, Checkpoint: "c"}
		listing := worker.Listing{Reply: worker.Reply{Clock: time.Hour + 10*usual, Received: now.Add(10 * usual)}, Ended: []worker.End{end}}
		r.Handle(now.Add(10*usual), RenewAnswered{Incarnation: worker.Incarnation{ID: "w"}, Sent: now, LongPoll: true, Result: listing})
	}
	if slowness := r.health.slowness(); slowness < 4 {
		t.Errorf("slowness %.1f after runs that took ten times their usual time, want 4 at least", slowness)
	}
}
