// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"

	"sailhead/internal/timing"
)

// lateDirections set the delay of the messages of a path in some of its directions; those of an entry to an agent go forth.
var lateDirections = map[string]func(*networkPath, time.Duration){
	"forth":              func(p *networkPath, d time.Duration) { p.forthDelay = d },
	"back":               func(p *networkPath, d time.Duration) { p.backDelay = d },
	"in both directions": func(p *networkPath, d time.Duration) { p.forthDelay, p.backDelay = d, d },
}

// faultsBesideLateness are faults of the agent or its worker beside messages that are late.
var faultsBesideLateness = map[string]func(*runningJob){
	"no other fault":             func(*runningJob) {},
	"the agent is killed":        func(r *runningJob) { r.agent.restart(time.Minute) },
	"the worker accepts no stop": acceptNoStop,
}

// delaySlowly makes the messages of a path late step by step, so that no pause between them is longer than two steps.
func (r *runningJob) delaySlowly(path *networkPath, set func(*networkPath, time.Duration), delay time.Duration) {
	for late := time.Duration(0); late < delay; late += lateHandOverStep {
		set(path, late)
		r.cluster.run(2 * lateHandOverStep)
	}
}

// TestARunEndsInTimeIfItsSessionIsLate covers a task that runs while the messages of its session become late, without a pause between them.
// Its caller leaves at any time from then on, and submits the job again at an entry that does not reach the agent; or it stays, and the first
// entry loses the session and runs the task again. The agent is killed as the caller leaves, or its worker accepts no stop.
//
// It guards against a right to run the task that counts from the arrival of a message instead of its sending.
func TestARunEndsInTimeIfItsSessionIsLate(t *testing.T) {
	t.Parallel()
	for direction, set := range lateDirections {
		for name, fault := range faultsBesideLateness {
			t.Run(direction+"/"+name, func(t *testing.T) {
				t.Parallel()
				again := 0
				for delay := lateHandOverStep; delay < 2*timing.CallerRetryDelay; delay += 2 * lateHandOverStep {
					for _, leaves := range []bool{false, true} {
						again += playLateSession(t, set, fault, delay, leaves) - 1
					}
				}
				if again == 0 {
					t.Error("the task runs again in no play")
				}
			})
		}
	}
}

// playLateSession plays one such order and returns the number of runs.
func playLateSession(t *testing.T, set func(*networkPath, time.Duration), fault func(*runningJob), delay time.Duration, leaves bool) (runs int) {
	t.Helper()
	r := newRunningJob(t, 793000)
	r.delaySlowly(r.cluster.path(r.entry, r.agent), set, delay)
	fault(r)
	if leaves {
		r.callerLeaves()
	}
	r.cluster.run(2*delay + 2*timing.CallerRetryDelay)
	if r.cluster.checkNoOverlap(t); t.Failed() {
		t.Fatalf("the messages are %s late, the caller leaves: %t", delay, leaves)
	}
	return r.cluster.begun
}

// TestMessagesReadAfterTheirEntryWasKilledBeginNoSecondRun covers an entry that is killed while its messages are on the way: the agent reads
// them, and then the end of the connection, up to two seconds later. The caller submits the job again at another entry.
//
// It guards against a start, a stop or an echo that counts although its sender has ended long before.
func TestMessagesReadAfterTheirEntryWasKilledBeginNoSecondRun(t *testing.T) {
	t.Parallel()
	again := 0
	for delay := time.Duration(0); delay < 2*time.Second; delay += 2 * lateHandOverStep {
		for killed := time.Duration(0); killed < 800*time.Millisecond; killed += 2 * lateHandOverStep {
			again += max(0, playLateMessagesOfAKilledEntry(t, 793000, delay, killed)-1)
		}
	}
	if again == 0 {
		t.Error("the task runs again in no play")
	}
}

// playLateMessagesOfAKilledEntry plays one such order and returns the number of runs.
func playLateMessagesOfAKilledEntry(t *testing.T, seed uint64, delay, killed time.Duration) (runs int) {
	t.Helper()
	c := newCluster(seed, 2, 3)
	first, last := c.entries[0], c.entries[1]
	for _, a := range c.agents {
		a.worker.rate = slowClock
		c.path(first, a).forthDelay = delay
	}
	first.submit(clusterJob(longJobID, 1, longJobTime), ignoreAnswer)
	c.run(killed)
	first.restart(time.Minute)
	c.run(timing.CallerRetryDelay)
	for _, a := range c.runsOf(longTask) {
		c.path(last, a).silence(time.Minute)
	}
	last.submit(clusterJob(longJobID, 1, longJobTime), ignoreAnswer)
	c.run(delay + timing.CallerRetryDelay)
	if c.checkNoOverlap(t); t.Failed() {
		t.Fatalf("seed %d, the messages are %s late, the entry is killed after %s", seed, delay, killed)
	}
	return c.begun
}
