// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"

	"sailhead/internal/dispatch"
)

// slowStop is how long a worker takes to stop a run in these tests. Users allow 50 ms.
const slowStop = 45 * time.Millisecond

// lateReport is how much later than the first entry the second one hears of crashes.
const lateReport = 5 * time.Millisecond

// resubmission is what happened to a job that was submitted at one entry, and again at another one as soon as the answer was there.
type resubmission struct {
	site *site
	// answers are the answers of both entries, and times when they came.
	answers []dispatch.Answer
	times   []time.Time
	// submitted is when the job was first submitted, and failedAt when it was given up or its last attempt failed.
	submitted time.Time
	failedAt  time.Time
	// concurrent lists the tasks that were started while another run of them was there.
	concurrent []string
}

// simulateResubmission submits a job at one of two entries, and at the other one right after the answer.
func simulateResubmission(job dispatch.Job, arrange func(*site)) *resubmission {
	s := newSite(1, 2, 8, 8)
	r := &resubmission{site: s, submitted: s.now}
	s.onStart = func(w *fakeWorker, task string) {
		for _, other := range s.agents {
			if _, isRunning := other.worker.running[task]; isRunning && other.worker != w && !other.worker.isDown {
				r.concurrent = append(r.concurrent, task)
			}
		}
	}
	s.onDecision = func(made dispatch.DecisionMade) {
		if _, isGivenUp := made.Decision.(dispatch.DecisionGivenUp); isGivenUp && r.failedAt.IsZero() {
			r.failedAt = s.now
		}
	}
	arrange(s)
	record := func(answer dispatch.Answer) {
		r.answers, r.times = append(r.answers, answer), append(r.times, s.now)
	}
	s.entries[0].submit(job, func(answer dispatch.Answer) {
		record(answer)
		s.after(0, func() { s.entries[1].submit(job, record) })
	})
	s.run(10 * time.Second)
	return r
}

func (r *resubmission) checkFailed(t *testing.T) {
	t.Helper()
	if len(r.answers) != 2 {
		t.Fatalf("%d answers, want 2", len(r.answers))
	}
	for i, answer := range r.answers {
		if _, isFailed := answer.(dispatch.Failed); !isFailed {
			t.Errorf("answer %d is %T, want Failed", i, answer)
		}
	}
	if len(r.concurrent) > 0 {
		t.Errorf("tasks with two runs at a time: %v", r.concurrent)
	}
}

// TestAFailedJobHasNoRunsWhenItIsAnswered covers a job that fails while another task of it is running, and that its caller submits again at
// another entry as soon as it has the answer.
//
// The failure: the first entry answered while its stop of the other task was under way, and the second one started that task on another
// worker. For up to 45 ms it had two runs.
func TestAFailedJobHasNoRunsWhenItIsAnswered(t *testing.T) {
	t.Parallel()
	t.Run("a task crashes workers", func(t *testing.T) {
		r := simulateResubmission(crashingJob("00000000000000ff"), func(s *site) {
			s.stopTime = slowStop
			s.entries[1].in.delay = lateReport
		})
		r.checkFailed(t)
		if held := r.times[0].Sub(r.failedAt); held > 2*slowStop {
			t.Errorf("the answer was held for %s", held)
		}
	})
	t.Run("a task fails", func(t *testing.T) {
		job := crashingJob("00000000000000ff")
		job.Payload = "200ms"
		r := simulateResubmission(job, func(s *site) {
			s.stopTime = slowStop
			s.failing[dispatch.TaskName(job.ID, 0, 0)] = 1
		})
		r.checkFailed(t)
	})
}

// TestTheNextEntryKnowsOfTheCrashes covers a job of one task that crashes its workers, and that its caller submits again at another entry as
// soon as it has the answer. The other entry has sessions with the same agents, but hears of crashes a little later.
//
// The failure: the second entry had not heard of the latest crash, started the task again, and a third worker crashed.
func TestTheNextEntryKnowsOfTheCrashes(t *testing.T) {
	t.Parallel()
	job := crashingJob("00000000000000ff")
	job.Steps[0].Count = 1
	r := simulateResubmission(job, func(s *site) {
		s.stopTime = slowStop
		s.entries[1].in.delay = lateReport
	})
	r.checkFailed(t)
	r.site.checkCrashes(t, 2)
}
