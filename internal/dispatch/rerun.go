// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/timing"
)

// This file decides when a task runs again after the session with its agent has ended, so that no task has two runs at a
// time. Package timing derives the delays.
//
// While a session is open, its agent reports the end of each run, and the task can run again at once. After the session
// nothing is reported, but the run has ended after timing.RerunDelay. Durable jobs wait longer, because the run may have
// completed: the agent or worker may still report it, or the agent stores its end (storedends.go).

// rerunDelay returns how long a task of the job waits after the loss of its agent before it runs again.
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

// unreportedRun is a run of a durable task that may have ended without a report to this entry.
type unreportedRun struct {
	// agent is where the run was, empty if an earlier owner of the job started it or may have started it.
	agent AgentID
	// since is when the session with the agent ended, or when the runs of the earlier owner had ended at the latest.
	since time.Time
	// endsReadAt is when the latest read of the stored ends began that was made after the wait for the report, zero before that.
	endsReadAt time.Time
}

// agentDown removes an agent whose session has ended and schedules its tasks to run again.
func (d *Dispatcher) agentDown(now time.Time, id AgentID) {
	d.emit(SessionEnded{Agent: id})
	a, ok := d.agents[id]
	if !ok {
		return
	}
	d.removeAgent(id)
	d.discardReservationsAt(id)
	d.emit(DecisionMade{Decision: DecisionAgentDown{}, Agent: id})
	lost := lostSession{incarnation: a.record.Incarnation(), at: now, runs: d.endingRunsAt(id)}
	d.limitEndingRuns(now, id)
	for _, j := range d.jobsByArrival() {
		for _, t := range j.tasks {
			if t.isAt(id) {
				lost.runs = append(lost.runs, runner.CrashedRun{RunID: runner.RunID{Task: t.name, Run: t.run}})
				d.markStarted(j)
				d.rerunAfter(now, j, t, j.rerunDelay())
				if j.isDurable {
					t.unreported = &unreportedRun{agent: id, since: now}
				}
			}
		}
	}
	d.storeLostSession(id, lost)
}

// agentRecovered shortens the wait of durable tasks that were at an agent whose session ended.
//
// Inputs: an agent that now knows all ends of runs on its worker, and did not before.
//
// Rule: the wait for the agent ends after timing.RerunDelay, if that is earlier.
//
// Reason: an agent that knows all ends reports those that are not recorded at once. That holds also for an agent that
// accepts no tasks because its worker drains or its availability zone is evacuated.
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
// session. It is the wait for a lost agent of this entry minus timing.RerunDelay, because the runs of the earlier owner
// have ended by then.
const recoveryWait = timing.DurableRerunDelay - timing.RerunDelay

// awaitsAgents reports whether a durable job that an earlier owner started waits for agents to open a session and to
// learn of all ends of runs on their workers.
//
// Inputs: the number of registered agents, the number of those with an open session that know all ends, the time since
// the runs of the earlier owner ended.
//
// Rule: it waits for all registered agents, but no longer than recoveryWait. The stored ends are read after that.
//
// Reason: an agent without a session may have an end that is not recorded, or its worker may have one that the agent does
// not know of. The task would then run twice.
func (d *Dispatcher) awaitsAgents(now time.Time, j *job) bool {
	isRecovered := !j.recoveredAt.IsZero()
	return isRecovered && now.Before(j.recoveredAt.Add(recoveryWait)) && d.agentsKnowingAllEnds() < d.knownAgents
}

// agentsKnowingAllEnds returns the number of responsive agents with an open session that know all ends of runs on their
// workers.
func (d *Dispatcher) agentsKnowingAllEnds() int {
	count := 0
	for _, a := range d.ordered {
		if a.knowsAllEnds() && !a.unresponsive {
			count++
		}
	}
	return count
}

// endingRun is a run of a dropped job that may not have ended.
type endingRun struct {
	agent AgentID
	run   uint32
	// endedBy is when the run has ended at the latest, zero while its agent is in session and reports the end.
	endedBy time.Time
}

// isEndingRun reports whether an agent's report concerns a run of a dropped job.
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

// limitEndingRuns sets the time by which the runs of dropped jobs at a lost agent have ended at the latest.
func (d *Dispatcher) limitEndingRuns(now time.Time, id AgentID) {
	for name, run := range d.endingRuns {
		if run.agent == id && run.endedBy.IsZero() {
			run.endedBy = now.Add(timing.RerunDelay)
			d.endingRuns[name] = run
		}
	}
}

// removeEndedRuns removes the runs of dropped jobs that have ended by now.
func (d *Dispatcher) removeEndedRuns(now time.Time) {
	for name, run := range d.endingRuns {
		if !run.endedBy.IsZero() && !now.Before(run.endedBy) {
			delete(d.endingRuns, name)
		}
	}
}
