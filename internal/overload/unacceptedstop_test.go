// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/timing"
)

const (
	longJobID   = "00000000000000dd"
	longTask    = longJobID + ".0.0.0"
	longJobTime = 10 * time.Second
)

func ignoreAnswer(dispatch.Answer) {}

// startLongJob submits a job of one long task to the first of two entries, and returns the request and the agent that runs the task.
func startLongJob(t *testing.T, c *cluster) (clusterRequest, *clusterAgent) {
	t.Helper()
	request := c.entries[0].submit(clusterJob(longJobID, 1, longJobTime), ignoreAnswer)
	c.run(300 * time.Millisecond)
	running := c.runsOf(longTask)
	if len(running) != 1 {
		t.Fatalf("%d runs of the task, want 1", len(running))
	}
	return request, running[0]
}

// unacceptedStopRules are the links of the tests below.
var unacceptedStopRules = map[string]fateRule{"all carried": carryAll, "stops lost": loseStops}

// TestAJobWhoseCallerLeftEndsBeforeItIsSubmittedAgain covers a caller that leaves while a task of its job runs on a worker that answers
// renewals and gets no stop, and that submits the job again after timing.CallerRetryDelay, at another entry that cannot reach that agent.
//
// The failure: the agent went on extending the worker's lease, so the run outlived the delay, and the other entry started the task on
// another worker.
func TestAJobWhoseCallerLeftEndsBeforeItIsSubmittedAgain(t *testing.T) {
	t.Parallel()
	for name, rule := range unacceptedStopRules {
		t.Run(name, func(t *testing.T) {
			c := newCluster(620000, 2, 3)
			request, a := startLongJob(t, c)
			a.rules = []*linkRule{{decide: rule}}
			c.path(c.entries[1], a).silence(time.Minute)
			request.leave(true)
			c.run(timing.CallerRetryDelay)
			c.entries[1].submit(clusterJob(longJobID, 1, longJobTime), ignoreAnswer)
			c.run(time.Second)
			c.checkNoOverlap(t)
			if c.begun != 2 {
				t.Errorf("%d runs have begun, want 2", c.begun)
			}
		})
	}
}

// TestARunOfALostSessionEndsBeforeItsTaskRunsAgain covers an entry that loses its session with an agent, while a task of it runs on a worker
// that answers renewals and gets no stop.
//
// The failure: the agent went on extending the worker's lease, so the run outlived timing.RerunDelay, and the entry started the task on
// another worker.
func TestARunOfALostSessionEndsBeforeItsTaskRunsAgain(t *testing.T) {
	t.Parallel()
	for name, rule := range unacceptedStopRules {
		t.Run(name, func(t *testing.T) {
			c := newCluster(620000, 2, 3)
			_, a := startLongJob(t, c)
			a.rules = []*linkRule{{decide: rule}}
			c.path(c.entries[0], a).silence(4 * time.Second)
			c.run(3 * time.Second)
			c.checkNoOverlap(t)
			if c.begun != 2 {
				t.Errorf("%d runs have begun, want 2", c.begun)
			}
		})
	}
}

// TestAJobIsNotAnsweredAsFailedBeforeItsRunsHaveEnded covers a job one of whose tasks fails while another one runs on a worker that answers
// renewals and gets no stop. The caller submits the job again at another entry as soon as it has the answer.
//
// The failure: the entry held the answer for 150 ms at most, and the other one started the task on another worker.
func TestAJobIsNotAnsweredAsFailedBeforeItsRunsHaveEnded(t *testing.T) {
	t.Parallel()
	for name, rule := range unacceptedStopRules {
		t.Run(name, func(t *testing.T) {
			c := newCluster(620000, 2, 3)
			job := clusterJob(longJobID, 2, longJobTime)
			job.Payload = failPayload + job.Payload
			c.entries[0].submit(job, func(answer dispatch.Answer) {
				if _, isFailed := answer.(dispatch.Failed); !isFailed {
					t.Errorf("the answer is %T, want Failed", answer)
				}
				c.entries[1].submit(job, ignoreAnswer)
			})
			c.run(50 * time.Millisecond)
			for _, a := range c.runsOf(dispatch.TaskName(longJobID, 0, 1)) {
				a.rules = []*linkRule{{decide: rule}}
				c.path(c.entries[1], a).silence(time.Minute)
			}
			c.run(2 * time.Second)
			c.checkNoOverlap(t)
		})
	}
}
