// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/timing"
)

// DurableAccepted is a job that must be kept: it runs until all its tasks are done, whoever waits for it, and another part
// answers its callers.
type DurableAccepted struct {
	Job Job
	// DoneTasks are the tasks that have ended well, and Failures counts the failed runs of the others.
	DoneTasks []string
	Failures  map[string]int
	// NotBefore is when no run of an earlier owner goes on any more; nothing if there was none.
	NotBefore time.Time
}

// DurableDropped makes the dispatcher stop jobs that must be kept and forget them.
type DurableDropped struct{ Jobs []string }

// DurableTaskEnded says that a task of a job that must be kept has ended, as was learned elsewhere.
type DurableTaskEnded struct {
	Task   string
	Failed bool
}

// AgentsCounted tells how many agents there are, also those without a session.
type AgentsCounted struct{ Agents int }

func (AgentsCounted) isEvent() {}

func (DurableAccepted) isEvent()  {}
func (DurableDropped) isEvent()   {}
func (DurableTaskEnded) isEvent() {}

// RecordEnd tells of an end that must be noted for good before the worker forgets it.
type RecordEnd struct {
	Agent  AgentID
	Update runner.Update
}

// DurableBegun says that a task of a job that must be kept has begun.
type DurableBegun struct{ Job string }

func (RecordEnd) isEffect()    {}
func (DurableBegun) isEffect() {}

// acceptDurable takes a job in that must be kept.
func (d *Dispatcher) acceptDurable(now time.Time, e DurableAccepted) {
	if _, ok := d.jobs[e.Job.ID]; ok {
		return
	}
	j := newJob(now, Submitted{Job: e.Job})
	j.isDurable = true
	if !e.NotBefore.IsZero() {
		j.recoveredAt = e.NotBefore
	}
	j.waiters = nil
	for _, t := range j.tasks {
		t.failures = e.Failures[t.name]
		t.notBefore = e.NotBefore
		if slices.Contains(e.DoneTasks, t.name) {
			t.state = taskDone
			j.open[t.step]--
		}
	}
	d.jobs[j.ID] = j
	d.enqueue(j)
	d.emit(j.decisionMade(now, DecisionAccepted{Tasks: len(j.tasks), Objective: j.objective, IsDurable: true}))
}

// dropDurable stops jobs that are kept elsewhere from now on, or that have ended.
func (d *Dispatcher) dropDurable(now time.Time, ids []string) {
	for _, id := range ids {
		if j, ok := d.jobs[id]; ok && j.isDurable {
			d.emit(j.decisionMade(now, DecisionDropped{}))
			d.drop(now, j)
		}
	}
}

// endDurableTask takes in the end of a task that was learned elsewhere, and stops another run of it.
func (d *Dispatcher) endDurableTask(now time.Time, e DurableTaskEnded) {
	j, t := d.find(e.Task)
	if t == nil || !j.isDurable || t.state == taskDone {
		return
	}
	if e.Failed {
		if t.failures++; t.failures >= max(j.Kind.Attempts, 1) {
			d.drop(now, j)
		}
		return
	}
	if t.state == taskSent {
		d.emit(StopTask{Agent: t.agent, Name: t.name})
	}
	d.completeDurableTask(now, j, t)
}

// updateDurableRun takes in an update of a run of a job that must be kept; ends of tasks themselves are handed on.
func (d *Dispatcher) updateDurableRun(now time.Time, j *job, t *task, e RunUpdated) {
	if e.Update.Outcome != runner.OutcomeNotStarted {
		if !j.begun {
			d.emit(DurableBegun{Job: j.ID})
		}
		j.begun = true
	}
	switch e.Update.Outcome {
	case runner.OutcomeDone:
		d.emit(RecordEnd(e))
		d.completeDurableTask(now, j, t)
	case runner.OutcomeFailed:
		d.emit(RecordEnd(e))
		t.failures++
		t.avoid = append(t.avoid, e.Agent)
		if t.failures >= max(j.Kind.Attempts, 1) {
			d.drop(now, j)
			return
		}
		d.reschedule(now, j, t, 0)
	case runner.OutcomeNotStarted:
		d.reschedule(now, j, t, 0)
	case runner.OutcomeStopped, runner.OutcomeLost:
		t.checkpoint = e.Update.Checkpoint
		d.reschedule(now, j, t, 0)
	}
}

// completeDurableTask marks a task as done, and forgets the job with its last one.
func (d *Dispatcher) completeDurableTask(now time.Time, j *job, t *task) {
	t.state = taskDone
	t.ended = now
	j.open[t.step]--
	if j.isDone() {
		d.drop(now, j)
		return
	}
	d.enqueue(j)
}

// awaitsAgents reports whether a job of an earlier owner waits for agents without a session: one of them may know of an
// end that nobody has noted. Those that stay away are not waited for longer than for an agent that was lost.
func (d *Dispatcher) awaitsAgents(now time.Time, j *job) bool {
	return !j.recoveredAt.IsZero() && len(d.agents) < d.knownAgents && now.Before(j.recoveredAt.Add(timing.DurableRerunDelay-timing.RerunDelay))
}

// agentRecovered lets the tasks that were lost with an agent's session run again soon: the agent has heard its worker, and
// tells at once of the ends that nobody has noted.
func (d *Dispatcher) agentRecovered(now time.Time, id AgentID) {
	for _, j := range d.jobs {
		if !j.isDurable {
			continue
		}
		for _, t := range j.tasks {
			if t.state == taskPending && t.agent == id && t.notBefore.After(now.Add(timing.RerunDelay)) {
				t.notBefore = now.Add(timing.RerunDelay)
			}
		}
	}
}

// timing.RerunDelay returns how long after the loss of its agent a task of the job may not run again.
func (j *job) rerunDelay() time.Duration {
	if j.isDurable {
		return timing.DurableRerunDelay
	}
	return timing.RerunDelay
}

// DurableRuns counts the tasks of jobs that must be kept of which a run may go on, or may have ended unheard.
func (d *Dispatcher) DurableRuns(now time.Time) int {
	count := 0
	for _, j := range d.jobs {
		if !j.isDurable {
			continue
		}
		for _, t := range j.tasks {
			if t.state == taskSent || t.state == taskPending && now.Before(t.notBefore) {
				count++
			}
		}
	}
	return count
}
