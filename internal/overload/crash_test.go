// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/worker"
)

var (
	// crashSeeds is the number of seeds of each case. The published figures come from manual runs with more seeds.
	crashSeeds = flag.Uint64("crash.seeds", 1, "number of seeds for each case of tasks that crash workers")
	// crashAfterStart is the time from the start of such a task to the crash of its worker.
	crashAfterStart = flag.Duration("crash.after", crashAfter, "how long after its start a task crashes its worker")
)

// TestATaskThatCrashesItsWorkersIsGivenUp covers a job of which one task crashes each worker that starts it.
//
// The failure: one refund job crashed eight of eleven workers within two seconds, and for a time no other caller was
// served. Each time the agent reported the run as lost, the entry sent the task to the next worker within 10 ms. Only
// runs that the worker reported as failed were counted as attempts, not those lost with their worker.
//
// One crash may have any cause, so the second one under the same task is required to give it up. Users allow five
// starts: two more after the third crash.
func TestATaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	t.Parallel()
	s := newSite(1, 4, 11, 11)
	var answer dispatch.Answer
	s.entries[0].submit(crashingJob("00000000000000ff"), func(a dispatch.Answer) { answer = a })
	s.run(10 * time.Second)
	s.checkCrashes(t, 2)
	if _, isFailed := answer.(dispatch.Failed); !isFailed {
		t.Errorf("got answer %T, want Failed", answer)
	}
}

// crashingJob returns a job of two tasks, of which the first crashes its workers.
func crashingJob(id string) dispatch.Job {
	step := dispatch.Step{Count: 2, Needs: worker.Resources{CPU: taskCPU, Memory: 64}, Expected: 200 * time.Millisecond}
	return dispatch.Job{
		ID: id, Payload: crashPayload + "200ms", Kind: newKind("crashing", 1), Steps: []dispatch.Step{step}, RemainingTime: 8 * time.Second,
	}
}

// checkCrashes checks that at most most workers crashed under each task, and that no task was started three times or
// more after its third crash.
func (s *site) checkCrashes(t *testing.T, most int) {
	t.Helper()
	for task, crashes := range s.crashes {
		if crashes > most {
			t.Errorf("%d workers crashed under task %s, want at most %d", crashes, task, most)
		}
		if more := s.starts[task] - s.startsAtThirdCrash[task]; crashes >= 3 && more >= 3 {
			t.Errorf("task %s was started %d more times after three workers had crashed under it, want at most 2", task, more)
		}
	}
}

// TestOthersAreServedBesideTasksThatCrashWorkers covers a share of the jobs of the most frequent kind that crash
// workers, among kinds that do not.
//
// Each worker is down for 2 s after a crash. At half of all cores and 1 % of the kind, spare capacity covers the
// workers that are down, so nearly all other jobs are served. At 5 % a third of all workers is down at any time. Over
// twelve seeds 0.996, 0.833, 0.864 and 0.551 of the other jobs completed on time, in the order of the cases; without
// the rules of dispatch/crash.go 0.628, 0.261, 0.452 and 0.179 over six seeds. Of 10,000 jobs that crash no worker
// 0.2, 21, 0.1 and 13 are given up, as workers crash under them by coincidence.
func TestOthersAreServedBesideTasksThatCrashWorkers(t *testing.T) {
	for _, test := range []struct{ load, share, onTime, givenUp float64 }{
		{0.5, 0.01, 0.98, 0.0005},
		{0.5, 0.05, 0.70, 0.01},
		{0.9, 0.01, 0.80, 0.001},
		{0.9, 0.05, 0.45, 0.01},
	} {
		t.Run(fmt.Sprintf("load=%.1f/share=%.2f", test.load, test.share), func(t *testing.T) {
			t.Parallel()
			var sum counts
			var crashed, crashes int
			for seed := range *crashSeeds {
				s := newSite(seed+1, 12, 48, 48)
				s.crashAfter = *crashAfterStart
				traffic := &traffic{site: s, load: test.load, crashing: test.share, crashingKind: "reminder"}
				traffic.start(10 * time.Second)
				s.run(14 * time.Second)
				s.checkCrashes(t, 3)
				sum = sum.plus(traffic.counts)
				crashed, crashes = crashed+traffic.crashed, crashes+s.allCrashes
			}
			each, givenUp := float64(crashes)/float64(crashed), float64(sum.givenUp)/float64(sum.submitted)
			t.Logf("%d jobs crash workers, %.2f crashes each; of %d other jobs %.4f on time, %d late, %d not run, %d given up",
				crashed, each, sum.submitted, sum.onTimeShare(), sum.late, sum.notRun, sum.givenUp)
			if sum.onTimeShare() < test.onTime {
				t.Errorf("%.3f of the other jobs completed on time, want at least %.2f", sum.onTimeShare(), test.onTime)
			}
			if givenUp > test.givenUp {
				t.Errorf("%.4f of the other jobs were given up, want at most %.4f", givenUp, test.givenUp)
			}
			if each > 2.1 {
				t.Errorf("%.2f crashes per job that crashes workers, want at most 2.1", each)
			}
		})
	}
}

// TestACrashIsKnownAtTheEntryOfTheNextSubmission covers a caller that disconnects early and submits its job again at
// another entry, which has sessions with other agents.
//
// A caller retries after 1.3 s. Each entry exchanges its crash records with one other entry about twice a second, so
// by then most know of a crash, and all do after two or three more exchanges. Each entry that does not costs two more
// workers: twelve crash if crashes are known only where the agent has a session.
func TestACrashIsKnownAtTheEntryOfTheNextSubmission(t *testing.T) {
	t.Parallel()
	const entries, agentsEach = 6, 4
	s := newSite(1, entries, entries*agentsEach, 0)
	for i, e := range s.entries {
		for k := range agentsEach {
			e.connect(s.agents[dispatch.AgentID(fmt.Sprintf("agent-%d", i*agentsEach+k))])
		}
		s.every(450*time.Millisecond, func() { e.exchangeCrashes() })
	}
	s.run(time.Second)
	job := crashingJob("00000000000000ff")
	for _, e := range s.entries {
		e.submit(job, func(dispatch.Answer) {})
		s.run(150 * time.Millisecond)
		e.handle(dispatch.CallerLeft{Job: job.ID, Waiter: e.lastWaiter})
		s.run(1150 * time.Millisecond)
	}
	s.checkCrashes(t, 2)
}

// TestJobsOutliveWorkersThatAreKilled covers worker processes that are killed at random, whatever runs on them. No
// task crashes a worker.
//
// A job may be given up once two workers have crashed under one of its tasks, but none of these should be. Killed
// workers are down for 2 s, which is a third of them at any time if each is killed every 4 s on average.
func TestJobsOutliveWorkersThatAreKilled(t *testing.T) {
	for _, test := range []struct {
		every   time.Duration
		givenUp float64
	}{{20 * time.Second, 0.0001}, {4 * time.Second, 0.003}} {
		t.Run(test.every.String(), func(t *testing.T) {
			t.Parallel()
			var sum counts
			kills := 0
			for seed := range max(*crashSeeds, minKillSeeds) {
				s, traffic := simulateKills(seed+1, test.every)
				for _, made := range s.givenUp {
					t.Logf("seed %d: job of task %s given up: %+v", seed+1, made.Task, made.Decision)
				}
				sum, kills = sum.plus(traffic.counts), kills+s.allCrashes
			}
			givenUp := float64(sum.givenUp) / float64(sum.submitted)
			t.Logf("%d kills; of %d jobs %.4f on time, %d late, %d not run, %d given up", kills, sum.submitted, sum.onTimeShare(), sum.late, sum.notRun, sum.givenUp)
			if givenUp > test.givenUp {
				t.Errorf("%.4f of the jobs were given up, want at most %.4f", givenUp, test.givenUp)
			}
		})
	}
}

// minKillSeeds is the minimum number of seeds. The bounds are shares of all jobs, and one seed has 1,720 jobs: with a
// single seed a few jobs more or less that are given up would decide the result.
const minKillSeeds = 6

// simulateKills runs traffic for 10 s on a site whose workers are killed, and returns both once nearly all jobs have
// ended.
func simulateKills(seed uint64, every time.Duration) (*site, *traffic) {
	s := newSite(seed, 12, 48, 48)
	s.killWorkers(every)
	traffic := &traffic{site: s, load: 0.5}
	traffic.start(10 * time.Second)
	s.run(14 * time.Second)
	return s, traffic
}

// killWorkers crashes each worker at random times, with the given mean interval.
func (s *site) killWorkers(every time.Duration) {
	for _, a := range s.agentsInOrder() {
		s.scheduleKill(a.worker, every)
	}
}

// scheduleKill crashes a worker after a random time, and schedules its next crash.
func (s *site) scheduleKill(w *fakeWorker, every time.Duration) {
	s.after(time.Duration(s.random.ExpFloat64()*float64(every)), func() {
		w.crash()
		s.scheduleKill(w, every)
	})
}
