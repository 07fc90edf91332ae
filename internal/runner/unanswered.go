// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"slices"
	"strings"
	"time"

	"sailhead/internal/worker"
)

// Answers to starts after a crash
//
// Inputs: the starts without an answer when the worker crashed, and the answers that arrive later.
// Rule: an answer counts for the incarnation that was called, also after its end. If the start was accepted, its run was on
// the worker, and the crash is reported again with it. If there was no answer and the start was sent before the crash, the
// run may have been there, and the crash is reported with it as a possible one. Otherwise the start began no run there.
// Reason: the refused connection that shows the crash can overtake the answer to a start. Without the second report the
// crash would count for no task, and a task that crashes its workers would crash one more.

// unansweredStart is a start without an answer when the worker crashed.
type unansweredStart struct {
	// worker is the incarnation that crashed, and evidence the evidence about its crash.
	worker   *incarnation
	evidence crashEvidence
	// task is a copy of the task at that time.
	task task
	// isLatest is set if no other start was sent to the worker after this one.
	isLatest bool
	// maxDelay is the longest delay with which the agent may have handled events at that time.
	maxDelay time.Duration
}

// unansweredStartTime is how long an answer to such a start is awaited. It is longer than the time-out of the call.
const unansweredStartTime = time.Second

// awaitStartAnswers stores the starts without an answer at a crash that is detected now.
func (r *Runner) awaitStartAnswers(now time.Time, ended *incarnation, active []*task, evidence crashEvidence) {
	latest := latestStart(active)
	for _, t := range active {
		if t.state != stateStarting {
			continue
		}
		r.unansweredStarts = append(r.unansweredStarts, unansweredStart{
			worker: ended, evidence: evidence, task: *t, isLatest: t == latest, maxDelay: r.maxDelay(now),
		})
	}
}

// expireUnansweredStarts drops the starts whose answer is no longer awaited.
func (r *Runner) expireUnansweredStarts(now time.Time) {
	r.unansweredStarts = slices.DeleteFunc(r.unansweredStarts, func(s unansweredStart) bool { return now.Sub(s.evidence.detectedAt) > unansweredStartTime })
}

// handleLateStartAnswer applies the answer to a start of an ended incarnation, if its worker has crashed.
func (r *Runner) handleLateStartAnswer(now time.Time, e StartAnswered) {
	isAnswered := func(s unansweredStart) bool {
		return s.worker.record.Incarnation() == e.Incarnation && s.task.id() == RunID{Task: e.Name, Run: e.Run}
	}
	at := slices.IndexFunc(r.unansweredStarts, isAnswered)
	if at < 0 {
		return
	}
	start := r.unansweredStarts[at]
	r.unansweredStarts = slices.Delete(r.unansweredStarts, at, at+1)
	if run, ok := start.crashedRun(e); ok {
		r.addToCrash(now, start, run)
	}
}

// crashedRun returns the run of the start after its answer. ok is false if there was no such run when the worker crashed.
func (s unansweredStart) crashedRun(e StartAnswered) (run CrashedRun, ok bool) {
	t := s.task
	t.sent, t.startTook = e.Sent, e.Ended.Sub(e.Sent)
	switch result := e.Result.(type) {
	case worker.Accepted:
		t.state = stateRunning
		t.hasStarted, t.confirmedAt = true, e.Ended
		t.isOnClock = s.worker.isOnClock(result.Reply)
	case worker.NoResponse:
		t.state = stateChecking
		if e.Sent.After(s.evidence.latestAt) {
			return CrashedRun{}, false
		}
	default:
		return CrashedRun{}, false
	}
	return s.worker.crashedRun(&t, s.evidence, s.maxDelay, s.isLatest), true
}

// addToCrash reports a crash again with one more run.
func (r *Runner) addToCrash(now time.Time, start unansweredStart, run CrashedRun) {
	incarnation := start.worker.record.Incarnation()
	at := slices.IndexFunc(r.crashes, func(report crashReport) bool { return report.crash.Incarnation == incarnation })
	if at < 0 {
		detectedAt := start.evidence.detectedAt
		r.reportCrash(detectedAt, Crash{Incarnation: incarnation, Age: now.Sub(detectedAt), Runs: []CrashedRun{run}})
		return
	}
	report := &r.crashes[at]
	runs := append(slices.Clone(report.crash.Runs), run)
	slices.SortFunc(runs, func(a, b CrashedRun) int { return strings.Compare(a.Task, b.Task) })
	report.crash.Runs = runs
	again := report.crash
	again.Age = now.Sub(report.at)
	r.sendCrash(again)
}
