// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"testing"
	"time"

	"sailhead/internal/dispatch"
)

// lateStartAnswer is longer than the time from the start of a task of crashingJob to the detection of the crash of its worker.
const lateStartAnswer = 15 * time.Millisecond

// simulateLateStartAnswers runs a job whose first task crashes its workers before the agents get the answers to its starts. It returns the
// answer to the job and the last decision to give it up.
func simulateLateStartAnswers(t *testing.T, arrange func(*agent), options ...func(*site)) (*site, dispatch.DecisionGivenUp) {
	t.Helper()
	s := newSite(1, 4, 11, 11, options...)
	s.run(time.Second)
	for _, a := range s.agentsInOrder() {
		arrange(a)
	}
	var answer dispatch.Answer
	s.entries[0].submit(crashingJob("00000000000000ff"), func(a dispatch.Answer) { answer = a })
	s.run(10 * time.Second)
	if _, isFailed := answer.(dispatch.Failed); !isFailed {
		t.Errorf("got answer %T, want Failed", answer)
	}
	if len(s.givenUp) == 0 {
		t.Fatal("the job is not given up")
	}
	return s, s.givenUp[0].Decision.(dispatch.DecisionGivenUp)
}

// TestACrashBeforeTheAnswerToTheStartCounts covers a task that crashes its workers before the agent has the answer to its start.
//
// The failure: the refused connection that showed the crash overtook the answer. The agent left the run out of the report, and dropped the
// answer that accepted the start because the incarnation had ended. No crash counted, and the task crashed all eleven workers.
func TestACrashBeforeTheAnswerToTheStartCounts(t *testing.T) {
	t.Parallel()
	for _, reportsStartTimes := range []bool{false, true} {
		t.Run(fmt.Sprintf("start times=%t", reportsStartTimes), func(t *testing.T) {
			delay := func(a *agent) { a.startAnswerDelay = lateStartAnswer }
			s, decision := simulateLateStartAnswers(t, delay, func(s *site) { s.reportsStartTimes = reportsStartTimes })
			s.checkCrashes(t, 2)
			for _, crash := range decision.Crashes {
				if !crash.WasRunning {
					t.Errorf("crash %+v is not certain", crash)
				}
			}
		})
	}
}

// TestACrashUnderAStartWithoutAnAnswerIsPossible covers the same task if its worker closes the connections of the starts as it crashes. The
// agent cannot know whether there was a run, so five crashes are allowed.
func TestACrashUnderAStartWithoutAnAnswerIsPossible(t *testing.T) {
	t.Parallel()
	s, decision := simulateLateStartAnswers(t, func(a *agent) { a.startAnswerDelay, a.losesStartAnswers = lateStartAnswer, true })
	for task, crashes := range s.crashes {
		if crashes > maxCrashesOfATask {
			t.Errorf("%d workers crashed under task %s, want at most %d", crashes, task, maxCrashesOfATask)
		}
	}
	for _, crash := range decision.Crashes {
		if crash.WasRunning || crash.WasLikelyRunning {
			t.Errorf("crash %+v is more than possible", crash)
		}
	}
}
