// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/timing"
)

// This file decides when a task runs again after the session with its agent ended, so that no task has two runs at a
// time. Package timing derives the delays.
//
// While a session lasts, agents report how each run ended, and the task runs again at once. After the session nothing
// is reported, but the run has ended after timing.RerunDelay. Durable jobs wait longer, because the run may have been
// done and the agent or worker may still report it.

// rerunDelay returns how long after the loss of its agent a task of the job does not run again.
//
// Inputs: whether the job is durable.
//
// Rule: timing.DurableRerunDelay for a durable job, or until the agent accepts tasks again (agentRecovered);
// timing.RerunDelay for others.
//
// Reason: see package timing.
func (j *job) rerunDelay() time.Duration {
	if j.isDurable {
		return timing.DurableRerunDelay
	}
	return timing.RerunDelay
}

// agentDown removes an agent and schedules its tasks to run again.
func (d *Dispatcher) agentDown(now time.Time, id AgentID) {
	a, ok := d.agents[id]
	if !ok {
		return
	}
	d.removeAgent(id)
	d.forgetReservationsAt(id)
	d.emit(DecisionMade{Decision: DecisionAgentDown{}, Agent: id})
	lost := lostSession{incarnation: a.record.Incarnation(), at: now, runs: d.endingRunsAt(id)}
	d.boundEndingRuns(now, id)
	for _, j := range d.jobsByArrival() {
		for _, t := range j.tasks {
			if t.isAt(id) {
				lost.runs = append(lost.runs, runner.CrashedRun{RunID: runner.RunID{Task: t.name, Run: t.run}})
				d.markBegun(j)
				d.rerunAfter(now, j, t, j.rerunDelay())
			}
		}
	}
	d.rememberLost(id, lost)
}

// agentRecovered shortens the wait of durable tasks that were at an agent whose session ended.
//
// Inputs: the agent, which has heard from its worker now and had not before.
//
// Rule: the tasks run again after timing.RerunDelay, if that is earlier.
//
// Reason: an agent that has heard from its worker reports ends that are not recorded at once, also one that accepts no tasks, as its
// worker drains or its availability zone is evacuated.
func (d *Dispatcher) agentRecovered(now time.Time, id AgentID) {
	earliest := now.Add(timing.RerunDelay)
	for _, j := range d.jobs {
		if !j.isDurable {
			continue
		}
		for _, t := range j.tasks {
			if t.state == taskPending && t.agent == id && t.notBefore.After(earliest) {
				t.notBefore = earliest
			}
		}
	}
}

// recoveryWait is how long after job.recoveredAt the tasks of a recovered durable job wait for agents without a
// session. It is the wait for an agent that was lost here, without timing.RerunDelay: the earlier owner's runs have
// ended already.
const recoveryWait = timing.DurableRerunDelay - timing.RerunDelay

// awaitsAgents reports whether a durable job that an earlier owner started waits for agents to open a session and to hear from their
// workers.
//
// Inputs: the number of registered agents and of those in session that have heard from their workers, the time since the earlier
// owner's runs ended.
//
// Rule: it waits for all registered agents, but no longer than recoveryWait.
//
// Reason: an agent without a session may have an end that is not recorded, or its worker may have one of which the agent has not heard,
// and the task would run twice.
func (d *Dispatcher) awaitsAgents(now time.Time, j *job) bool {
	isRecovered := !j.recoveredAt.IsZero()
	return isRecovered && now.Before(j.recoveredAt.Add(recoveryWait)) && d.agentsThatHaveHeard() < d.knownAgents
}

// agentsThatHaveHeard returns how many agents in session have heard from their workers.
func (d *Dispatcher) agentsThatHaveHeard() int {
	count := 0
	for _, a := range d.ordered {
		if a.hasHeard() && !a.unresponsive {
			count++
		}
	}
	return count
}

// endingRun is a run of a dropped job that may not have ended. The agent is empty if another entry may have started it.
type endingRun struct {
	agent AgentID
	run   uint32
	// endedBy is when the run has ended at the latest, zero while its agent is in session and reports the end.
	endedBy time.Time
}

// isEndingRun reports whether an agent's report is about a run of a dropped job.
func (d *Dispatcher) isEndingRun(e RunUpdated) bool {
	run, ok := d.endingRuns[e.Update.Name]
	return ok && run.agent == e.Agent
}

// updateEndingRun applies an agent's report on a run of a dropped job.
func (d *Dispatcher) updateEndingRun(e RunUpdated) {
	if e.Update.Outcome.IsEnd() {
		delete(d.endingRuns, e.Update.Name)
		d.isPlaceDue = true
	}
}

// boundEndingRuns sets the time by which the runs of dropped jobs at a lost agent have ended.
func (d *Dispatcher) boundEndingRuns(now time.Time, id AgentID) {
	for name, run := range d.endingRuns {
		if run.agent == id && run.endedBy.IsZero() {
			run.endedBy = now.Add(timing.RerunDelay)
			d.endingRuns[name] = run
		}
	}
}

// forgetEndedRuns removes the runs of dropped jobs that have ended by now.
func (d *Dispatcher) forgetEndedRuns(now time.Time) {
	for name, run := range d.endingRuns {
		if !run.endedBy.IsZero() && !now.Before(run.endedBy) {
			delete(d.endingRuns, name)
		}
	}
}
