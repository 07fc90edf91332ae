// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"sailhead/internal/runner"
)

// Kept is a job that must be kept: it runs until all its tasks are done, whoever waits for it, and another part
// answers its callers.
type Kept struct {
	Job Job
	// Done are the tasks that have ended well, and Failures counts the failed runs of the others.
	Done     []string
	Failures map[string]int
	// NotBefore is when no run of an earlier owner goes on any more; nothing if there was none.
	NotBefore time.Time
}

// Dropped makes the dispatcher stop jobs that must be kept and forget them.
type Dropped struct{ Jobs []string }

// TaskEnded says that a task of a job that must be kept has ended, as was learned elsewhere.
type TaskEnded struct {
	Task   string
	Failed bool
}

// AgentsKnown tells how many agents there are, also those without a session.
type AgentsKnown struct{ Agents int }

func (AgentsKnown) isEvent() {}

func (Kept) isEvent()      {}
func (Dropped) isEvent()   {}
func (TaskEnded) isEvent() {}

// KeepEnd tells of an end that must be noted for good before the worker forgets it.
type KeepEnd struct {
	Agent  AgentID
	Update runner.Update
}

// TellBegun says that a task of a job that must be kept has begun.
type TellBegun struct{ Job string }

func (KeepEnd) isEffect()   {}
func (TellBegun) isEffect() {}

// keptSettleTime is how long after the loss of its agent a task that must be kept waits for the agent to come back
// with what became of it: a run that was done must not run again.
const keptSettleTime = 8 * time.Second

// takeKept takes a job in that must be kept.
func (d *Dispatcher) takeKept(now time.Time, e Kept) {
	if _, ok := d.jobs[e.Job.ID]; ok {
		return
	}
	j := newJob(now, Submitted{Job: e.Job})
	j.isKept = true
	if !e.NotBefore.IsZero() {
		j.restored = e.NotBefore
	}
	j.waiters = nil
	for _, t := range j.tasks {
		t.failures = e.Failures[t.name]
		t.settled = e.NotBefore
		if slices.Contains(e.Done, t.name) {
			t.state = taskDone
			j.open[t.step]--
		}
	}
	d.jobs[j.ID] = j
	d.enqueue(j)
	d.note(now, j, DecisionTaken, "kept")
}

// dropKept stops jobs that are kept elsewhere from now on, or that have ended.
func (d *Dispatcher) dropKept(now time.Time, ids []string) {
	for _, id := range ids {
		if j, ok := d.jobs[id]; ok && j.isKept {
			d.note(now, j, DecisionDropped, "")
			d.drop(now, j)
		}
	}
}

// endKept takes in the end of a task that was learned elsewhere, and stops another run of it.
func (d *Dispatcher) endKept(now time.Time, e TaskEnded) {
	j, t := d.find(e.Task)
	if t == nil || !j.isKept || t.state == taskDone {
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
	d.doneKept(now, j, t)
}

// updateKept takes in an update of a run of a job that must be kept; ends of tasks themselves are handed on.
func (d *Dispatcher) updateKept(now time.Time, j *job, t *task, e RunUpdated) {
	if e.Update.Outcome != runner.OutcomeNotStarted {
		if !j.begun {
			d.emit(TellBegun{Job: j.ID})
		}
		j.begun = true
	}
	switch e.Update.Outcome {
	case runner.OutcomeDone:
		d.emit(KeepEnd(e))
		d.doneKept(now, j, t)
	case runner.OutcomeFailed:
		d.emit(KeepEnd(e))
		t.failures++
		t.avoid = append(t.avoid, e.Agent)
		if t.failures >= max(j.Kind.Attempts, 1) {
			d.drop(now, j)
			return
		}
		d.lose(now, j, t, 0)
	case runner.OutcomeNotStarted:
		d.lose(now, j, t, 0)
	case runner.OutcomeStopped, runner.OutcomeLost:
		t.checkpoint = e.Update.Checkpoint
		d.lose(now, j, t, 0)
	}
}

// doneKept marks a task as done, and forgets the job with its last one.
func (d *Dispatcher) doneKept(now time.Time, j *job, t *task) {
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
	return !j.restored.IsZero() && len(d.agents) < d.known && now.Before(j.restored.Add(keptSettleTime-settleTime))
}

// agentBack lets the tasks that were lost with an agent's session run again soon: the agent has heard its worker, and
// tells at once of the ends that nobody has noted.
func (d *Dispatcher) agentBack(now time.Time, id AgentID) {
	for _, j := range d.jobs {
		if !j.isKept {
			continue
		}
		for _, t := range j.tasks {
			if t.state == taskPending && t.agent == id && t.settled.After(now.Add(settleTime)) {
				t.settled = now.Add(settleTime)
			}
		}
	}
}

// settleTimeOf returns how long after the loss of its agent a task of the job may not run again.
func (j *job) settleTimeOf() time.Duration {
	if j.isKept {
		return keptSettleTime
	}
	return settleTime
}

// KeptRuns counts the tasks of jobs that must be kept of which a run may go on, or may have ended unheard.
func (d *Dispatcher) KeptRuns(now time.Time) int {
	count := 0
	for _, j := range d.jobs {
		if !j.isKept {
			continue
		}
		for _, t := range j.tasks {
			if t.state == taskSent || t.state == taskPending && now.Before(t.settled) {
				count++
			}
		}
	}
	return count
}
