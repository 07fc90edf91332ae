// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// killWorkers reports the crashes of a number of workers, each under a task of its own.
func killWorkers(d *Dispatcher, now time.Time, count int) {
	for i := range count {
		d.Handle(now, crashOf(AgentID(fmt.Sprintf("killed-%d", i)), "w1", fmt.Sprintf("other%d.0.0.0", i)))
	}
}

// crashesUntilGivenUp reports crashes under one task, at the same age of its runs, until its durable job is given up, and returns
// their number.
func crashesUntilGivenUp(t *testing.T, d *Dispatcher, now time.Time, job string) int {
	t.Helper()
	d.Handle(now, durableJob(job, 1))
	for crashes := 1; crashes <= maxCrashes; crashes++ {
		agent := AgentID(fmt.Sprintf("%s-%d", job, crashes))
		if len(givenUp(d.Handle(now, crashOf(agent, "w1", job+".0.0.0")))) > 0 {
			return crashes
		}
	}
	t.Fatalf("%s is not given up", job)
	return 0
}

// Two crashes under a task may be a coincidence while workers are killed, so its job must be given up only after a third one. Killed
// workers are recognised by crashes under tasks that crash no other worker.
func TestThirdCrashIsRequiredWhileWorkersAreKilled(t *testing.T) {
	for _, test := range []struct {
		name         string
		agents       int
		killed       int
		passed       time.Duration
		wantedGiveUp int
	}{
		{"none is killed", 20, 0, 0, 2},
		{"one is killed", 20, 1, 2 * time.Second, 3},
		{"one of many is killed", 2800, 1, 2 * time.Second, 3},
		{"many are killed", 20, 9, 2 * time.Second, 3},
		{"another crash may still follow", 20, 2, settleTime / 2, 2},
		{"the kills are older than the history", 20, 2, historyTime + time.Second, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, now := newDispatcherWithAgents("a")
			d.Handle(now, AgentsRegistered{Agents: make([]AgentID, test.agents)})
			killWorkers(d, now, test.killed)
			if crashes := crashesUntilGivenUp(t, d, now.Add(test.passed), "j1"); crashes != test.wantedGiveUp {
				t.Errorf("given up after %d crashes, want %d", crashes, test.wantedGiveUp)
			}
		})
	}
}

// Crashes of workers that tasks caused must not delay giving up another task that crashes its workers.
func TestCrashesCausedByTasksAreNotOtherCauses(t *testing.T) {
	d, now := newDispatcherWithAgents("a")
	for i := range 5 {
		crashesUntilGivenUp(t, d, now, fmt.Sprintf("j%d", i))
	}
	if crashes := crashesUntilGivenUp(t, d, now.Add(2*time.Second), "last"); crashes != 2 {
		t.Errorf("given up after %d crashes, want 2", crashes)
	}
}

// The crashes of two killed workers that happened to run the same task must not be marked as caused by the task: otherwise the job of
// the next such task would be given up after two coincident crashes.
func TestCoincidentCrashesAreNotMarkedAsCaused(t *testing.T) {
	d, now := newDispatcherWithAgents("a")
	killWorkers(d, now, 3)
	now = now.Add(2 * time.Second)
	d.Handle(now, crashOf("hit-1", "w1", "hit.0.0.0"), crashOf("hit-2", "w1", "hit.0.0.0"))
	if crashes := crashesUntilGivenUp(t, d, now, "j1"); crashes != 3 {
		t.Errorf("given up after %d crashes, want 3", crashes)
	}
}

// A job is given up after a third crash if its runs had similar ages, with an allowance for crashes noticed late, and at most one of
// the runs may have ended before its crash.
func TestThirdCrashAtASimilarAge(t *testing.T) {
	for _, test := range []struct {
		name    string
		killed  int
		ages    []time.Duration
		unsure  []int
		givenUp int
	}{
		{"late", 0, []time.Duration{12 * time.Millisecond, 36 * time.Millisecond, 55 * time.Millisecond}, nil, 3},
		{"noticed late, and one run may have ended", 0, []time.Duration{12 * time.Millisecond, 36 * time.Millisecond, 55 * time.Millisecond}, []int{1}, 3},
		{"two runs may have ended", 0, []time.Duration{12 * time.Millisecond, 36 * time.Millisecond, 55 * time.Millisecond, 20 * time.Millisecond}, []int{1, 2}, 4},
		{"at different ages", 0, []time.Duration{35 * time.Millisecond, 411 * time.Millisecond, 249 * time.Millisecond, 131 * time.Millisecond}, nil, 4},
		{"noticed late, while some workers are killed", 2, []time.Duration{12 * time.Millisecond, 36 * time.Millisecond, 55 * time.Millisecond}, nil, 3},
		{"noticed late, while many workers are killed", 9, []time.Duration{12 * time.Millisecond, 36 * time.Millisecond, 55 * time.Millisecond, 80 * time.Millisecond}, nil, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, now := newDispatcherWithAgents("a")
			killWorkers(d, now, test.killed)
			now = now.Add(2 * time.Second)
			d.Handle(now, durableJob("j1", 1))
			for i, age := range test.ages {
				crash := crashOf(AgentID(fmt.Sprintf("c-%d", i)), "w1", "j1.0.0.0")
				run := &crash.Crash.Runs[0]
				run.Age, run.IsLatest = age, false
				run.WasRunning = !slices.Contains(test.unsure, i)
				if len(givenUp(d.Handle(now, crash))) > 0 {
					if i+1 != test.givenUp {
						t.Errorf("given up after %d crashes, want %d", i+1, test.givenUp)
					}
					return
				}
			}
			t.Errorf("not given up after %d crashes, want %d", len(test.ages), test.givenUp)
		})
	}
}

// A busy agent overestimates the age of a run. Two crashes must count as similar if their ages differ by no more than that error.
func TestAgesAreComparedWithinTheirError(t *testing.T) {
	for ageError, want := range map[time.Duration]int{0: 0, 20 * time.Millisecond: 1} {
		d, now := newDispatcherWithAgents("a")
		d.Handle(now, durableJob("j1", 1))
		first, second := crashOf("a", "w1", "j1.0.0.0"), crashOf("b", "w1", "j1.0.0.0")
		first.Crash.Runs[0].Age = 11 * time.Millisecond
		second.Crash.Runs[0].Age, second.Crash.Runs[0].AgeError = 33*time.Millisecond, ageError
		if jobs := givenUp(d.Handle(now, first, second)); len(jobs) != want {
			t.Errorf("with an age error of %s %d jobs are given up, want %d", ageError, len(jobs), want)
		}
	}
}

// Once a task is known to crash workers while others are killed, the next such task must be given up as if none were killed.
func TestCausedCrashesOutweighKilledWorkers(t *testing.T) {
	d, now := newDispatcherWithAgents("a")
	killWorkers(d, now, unexplainedPerCaused-1)
	now = now.Add(2 * time.Second)
	for i, want := range []int{3, 2} {
		if crashes := crashesUntilGivenUp(t, d, now, fmt.Sprintf("j%d", i)); crashes != want {
			t.Errorf("job %d is given up after %d crashes, want %d", i, crashes, want)
		}
	}
}

// Crashes under isolated jobs of a contained kind are caused by these jobs and must not count as unexplained.
func TestCrashUnderAContainedJobIsExplained(t *testing.T) {
	d, now := newDispatcherWithAgents("a")
	for i := range 5 {
		d.Handle(now, WorkerCrashed{Agent: AgentID(fmt.Sprintf("a%d", i)), Crash: runner.Crash{
			Incarnation: worker.Incarnation{ID: "w1"},
			Runs: []runner.CrashedRun{
				{RunID: runner.RunID{Task: fmt.Sprintf("c%d.0.0.0", i), Run: 1}, WasRunning: true, IsLatest: true, IsIsolated: true},
			},
		}})
	}
	if crashes := crashesUntilGivenUp(t, d, now.Add(2*time.Second), "j1"); crashes != 2 {
		t.Errorf("given up after %d crashes, want 2", crashes)
	}
}

func TestCrashHistoryIsBounded(t *testing.T) {
	d, now := newDispatcherWithAgents("a")
	killWorkers(d, now, 2*maxHistory)
	killWorkers(d, now, 2*maxHistory)
	if count := len(d.crashHistory.crashes); count != maxHistory {
		t.Errorf("%d crashes are stored, want %d", count, maxHistory)
	}
}

// A later report of a crash may contain a run whose start was not answered before. The crash then shares its task with an earlier one.
func TestALaterReportOfACrashAddsItsTasks(t *testing.T) {
	var history crashHistory
	now := time.Unix(1000, 0)
	crashUnderTasks := func(incarnation string, tasks ...string) runner.Crash {
		crash := runner.Crash{Incarnation: worker.Incarnation{ID: incarnation}}
		for _, task := range tasks {
			crash.Runs = append(crash.Runs, runner.CrashedRun{RunID: runner.RunID{Task: task, Run: 1}})
		}
		return crash
	}
	history.add(now, "a", crashUnderTasks("w1", "j1.0.0.0"))
	history.add(now, "b", crashUnderTasks("w2", "j2.0.0.0"))
	history.add(now, "b", crashUnderTasks("w2", "j1.0.0.0", "j2.0.0.0"))
	if len(history.crashes) != 2 {
		t.Fatalf("%d crashes are recorded, want 2", len(history.crashes))
	}
	for _, crash := range history.crashes {
		if !crash.isShared {
			t.Errorf("the crash of %s is not shared", crash.incarnation)
		}
	}
}
