// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"time"

	"sailhead/internal/runner"
)

// updateRun applies an agent's report on a run that was sent to it. Reports on other runs are ignored.
//
// Durable jobs are handled like others, except that the start of the job and the ends of its completed and failed runs are
// passed to package durable, which records the ends, counts the failed runs and answers the callers (see endJob).
func (d *Dispatcher) updateRun(now time.Time, e RunUpdated) {
	if d.isEndingRun(e) {
		d.updateEndingRun(e)
		return
	}
	j, t := d.find(e.Update.Name)
	if t == nil || !t.isAt(e.Agent) {
		return
	}
	// The agent may have started the run with a higher number.
	t.run = max(t.run, e.Update.Run)
	if e.Update.Outcome == runner.OutcomeLost {
		t.lostRuns++
	}
	if e.Update.Outcome.IsEnd() {
		ended := DecisionEnded{Outcome: e.Update.Outcome, Reason: e.Update.Reason, LostRuns: t.lostRuns}
		d.emit(j.decisionMade(now, ended).withRun(t.name, e.Update.Run, e.Agent))
	}
	if e.Update.Outcome != runner.OutcomeNotStarted {
		t.unreported = nil
		d.markStarted(j)
	}
	d.recordOutcome(now, j, t, e.Update.Outcome)
	switch e.Update.Outcome {
	case runner.OutcomeDone:
		d.recordEnd(j, e)
		d.completeTask(now, j, t)
	case runner.OutcomeFailed:
		d.recordEnd(j, e)
		d.failTask(now, j, t)
	case runner.OutcomeNotStarted:
		d.recordRejection(t)
		d.forecasts.placed(now, j, -1)
		d.rerunAfter(now, j, t, 0)
	case runner.OutcomeStopped, runner.OutcomeLost:
		if e.Update.Outcome == runner.OutcomeStopped {
			t.avoidAgent()
		}
		t.checkpoint = e.Update.Checkpoint
		d.rerunAfter(now, j, t, 0)
	}
}

// markStarted records that a task of the job may have started.
func (d *Dispatcher) markStarted(j *job) {
	if j.isDurable && !j.started {
		d.emit(DurableStarted{Job: j.ID})
	}
	j.started = true
}

// recordEnd passes the end of a run of a durable job to package durable.
func (d *Dispatcher) recordEnd(j *job, e RunUpdated) {
	if j.isDurable {
		d.emit(RecordEnd(e))
	}
}

// completeTask marks a task as done. The last task ends its job.
func (d *Dispatcher) completeTask(now time.Time, j *job, t *task) {
	t.state = taskDone
	t.completedAt = now
	t.runTime = d.referenceTime(j, t, now.Sub(t.placedAt))
	delete(d.suspects, t.name)
	d.returns.done(now, workOf(1, j.Steps[t.step].Needs.CPU, now.Sub(t.placedAt)))
	t.isRunTimeRepresentative = t.isRunTimeRepresentative && d.isAgentHealthy(t.agent)
	j.open[t.step]--
	if j.open[t.step] > 0 {
		return
	}
	d.observeStep(now, j, t.step)
	if j.isDone() {
		d.containment.succeeded(j.Kind.Name)
		d.endJob(now, j, Completed{})
		return
	}
	// Steps that depend on this one may be ready now.
	d.enqueue(j)
}

// failTask counts a failed run. The task runs again, on another worker if possible, unless it has used up its attempts and
// its job fails. Whether a durable task runs again is decided by package durable (see endDurableTask).
func (d *Dispatcher) failTask(now time.Time, j *job, t *task) {
	t.avoidAgent()
	if j.isDurable {
		t.state = taskFailed
		return
	}
	t.failures++
	d.rerunAfter(now, j, t, 0)
	if t.failures >= d.maxAttempts(j, t.agent) {
		d.endJob(now, j, Failed{Reason: fmt.Sprintf("%d runs of task %s failed", t.failures, t.name)})
	}
}

// rerunAfter makes a task pending again after a delay.
func (d *Dispatcher) rerunAfter(now time.Time, j *job, t *task, delay time.Duration) {
	t.state = taskPending
	t.notBefore = now.Add(delay)
	d.enqueue(j)
}

// endJob ends a job that is done or has failed. Durable jobs are answered by package durable, based on the ends that it
// has recorded.
func (d *Dispatcher) endJob(now time.Time, j *job, answer Answer) {
	if j.isDurable {
		d.drop(now, j)
		return
	}
	d.finish(now, j, answer)
}
