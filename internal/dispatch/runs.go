// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"strings"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/timing"
)

func (d *Dispatcher) agentDown(now time.Time, id AgentID) {
	if _, ok := d.agents[id]; !ok {
		return
	}
	d.removeAgent(id)
	d.emit(DecisionMade{Decision: DecisionAgentDown{}, Agent: id})
	for name, last := range d.endingRuns {
		if last.agent == id && last.endedBy.IsZero() {
			d.endingRuns[name] = endingRun{agent: id, endedBy: now.Add(timing.RerunDelay)}
		}
	}
	for _, j := range d.jobsInOrder() {
		for _, t := range j.tasks {
			if t.state == taskSent && t.agent == id {
				j.begun = true
				d.reschedule(now, j, t, j.rerunDelay())
			}
		}
	}
}

// ending is a run of a dropped job that may go on.
type endingRun struct {
	agent AgentID
	// endedBy is when the run has surely ended; nothing while its agent is to tell.
	endedBy time.Time
}

// forgetEndedRuns forgets the runs of dropped jobs that have surely ended.
func (d *Dispatcher) forgetEndedRuns(now time.Time) {
	for name, last := range d.endingRuns {
		if !last.endedBy.IsZero() && !now.Before(last.endedBy) {
			delete(d.endingRuns, name)
		}
	}
}

// reschedule makes a task pending again after a pause.
func (d *Dispatcher) reschedule(now time.Time, j *job, t *task, pause time.Duration) {
	t.state = taskPending
	t.notBefore = now.Add(pause)
	d.enqueue(j)
}

func (d *Dispatcher) updateRun(now time.Time, e RunUpdated) {
	if last, ok := d.endingRuns[e.Update.Name]; ok && last.agent == e.Agent {
		if e.Update.Outcome.IsEnd() {
			delete(d.endingRuns, e.Update.Name)
		}
		return
	}
	j, t := d.find(e.Update.Name)
	if t == nil || t.state != taskSent || t.agent != e.Agent {
		return
	}
	t.run = max(t.run, e.Update.Run)
	if e.Update.Outcome.IsEnd() {
		ended := DecisionEnded{Outcome: e.Update.Outcome, Reason: e.Update.Reason}
		d.emit(j.decisionMade(now, ended).withRun(t.name, e.Update.Run, e.Agent))
	}
	if j.isDurable {
		d.updateDurableRun(now, j, t, e)
		return
	}
	if e.Update.Outcome != runner.OutcomeNotStarted {
		j.begun = true
	}
	switch e.Update.Outcome {
	case runner.OutcomeDone:
		t.state = taskDone
		t.ended = now
		j.open[t.step]--
		if j.isDone() {
			d.finish(now, j, Completed{})
			return
		}
		d.enqueue(j)
	case runner.OutcomeFailed:
		d.fail(now, j, t, e.Agent)
	case runner.OutcomeNotStarted:
		d.reschedule(now, j, t, 0)
	case runner.OutcomeStopped, runner.OutcomeLost:
		t.checkpoint = e.Update.Checkpoint
		d.reschedule(now, j, t, 0)
	}
}

// extraAttempts is how many runs may fail beyond the limit on workers whose runs fail anyway.
const extraAttempts = 3

// fail counts a failed run and lets the task run again elsewhere, or ends the job.
func (d *Dispatcher) fail(now time.Time, j *job, t *task, id AgentID) {
	t.failures++
	t.avoid = append(t.avoid, id)
	allowed := max(j.Kind.Attempts, 1)
	if a, ok := d.agents[id]; ok && !a.isHealthy() {
		allowed += extraAttempts
	}
	if t.failures >= allowed {
		d.finish(now, j, Failed{})
		return
	}
	d.reschedule(now, j, t, 0)
}

// JobOf returns the job of a task's name.
func JobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// find returns the job and the task of a task's name.
func (d *Dispatcher) find(name string) (*job, *task) {
	if j, ok := d.jobs[JobOf(name)]; ok {
		return j, j.task(name)
	}
	return nil, nil
}
