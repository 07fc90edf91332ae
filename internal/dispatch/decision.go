// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"sailhead/internal/forecast"
	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// DecisionMade reports a decision for logs and metrics. Fields that do not apply to the decision are zero.
type DecisionMade struct {
	Decision Decision
	Job      string
	Kind     string
	// Age is the time since the job arrived.
	Age   time.Duration
	Task  string
	Run   uint32
	Agent AgentID
}

// withRun returns the decision with the run that it is about.
func (m DecisionMade) withRun(task string, run uint32, agent AgentID) DecisionMade {
	m.Task = task
	m.Run = run
	m.Agent = agent
	return m
}

// decisionMade returns a decision about the job.
func (j *job) decisionMade(now time.Time, decision Decision) DecisionMade {
	return DecisionMade{Decision: decision, Job: j.ID, Kind: j.Kind.Name, Age: now.Sub(j.arrived)}
}

// Decision is a decision of a dispatcher, or a change of state that it observed. It is one of the types below.
type Decision interface{ isDecision() }

// DecisionAccepted reports that the job was accepted.
type DecisionAccepted struct {
	Tasks     int
	Objective time.Duration
	IsDurable bool
}

// DecisionHandedOver reports that the job was handed over to another entry.
type DecisionHandedOver struct{}

// DecisionHandOverEnded reports that a job which was handed over was answered.
type DecisionHandOverEnded struct {
	Answer Answer
	// Entry is the name of the entry that accepted the job, empty if none did.
	Entry string
}

// DecisionJoined reports that a further request waits for the answer to a job that was accepted before.
type DecisionJoined struct{}

// DecisionPlaced reports that a run was sent to an agent.
type DecisionPlaced struct {
	// Expected is the forecast with which the job was accepted. It is zero if there was none, or if this is not the
	// job's first run.
	Expected forecast.Forecast
}

// DecisionEnded reports that a run ended, or did not start.
type DecisionEnded struct {
	Outcome runner.Outcome
	Reason  string
	// LostRuns is the number of runs of the task that this entry has seen lost, including this one.
	LostRuns int
}

// DecisionRestarted reports that a durable task is started again although the end of its latest run was not reported.
type DecisionRestarted struct {
	// Earlier is the agent of that run, empty if an earlier owner of the job may have started one.
	Earlier AgentID
	// Silence is the time since the session with that agent ended, or since the runs of the earlier owner had ended at the latest.
	Silence time.Duration
	// Sessions is the number of agents in session that know all ends of runs on their workers, Agents that of all registered ones.
	Sessions, Agents int
}

// DecisionDoneEarlier reports that a durable task was done by an earlier run, and that a later one is stopped. The task has run twice.
type DecisionDoneEarlier struct{}

// DecisionMoved reports that a run on an unhealthy worker was stopped to run again on a healthy one.
type DecisionMoved struct{}

// DecisionGivenUp reports that a task is not run again because workers crashed under it. Its job has failed.
type DecisionGivenUp struct{ Crashes []Crash }

// DecisionRunsUnended reports that runs of a failed job may go on when it is answered, and that the other entries are told of them.
type DecisionRunsUnended struct{ Tasks []string }

// DecisionContained reports that a kind is confined to some agents because its jobs crash workers.
type DecisionContained struct {
	// Jobs are the jobs of the kind that were recently given up.
	Jobs   []string
	Agents []AgentID
}

// DecisionLimited reports that the entry is overloaded and limits the jobs that it accepts; see congestion.go.
type DecisionLimited struct {
	// CountTime is the shortest time from a start to the load that includes it.
	CountTime time.Duration
}

// DecisionUnlimited reports that the entry no longer limits the jobs that it accepts.
type DecisionUnlimited struct{}

// DecisionContainmentEnded reports that a kind is no longer confined.
type DecisionContainmentEnded struct{}

// DecisionAnswered reports that the job was answered.
type DecisionAnswered struct {
	Answer Answer
	// Late is nil if the answer came within the job's objective, and for NotRun.
	Late *LateAnswer
	// IsRefusedAfterWait is set for a NotRun of a job that was accepted before.
	IsRefusedAfterWait bool
}

// LateAnswer explains an answer that came after the job's objective.
type LateAnswer struct {
	Objective time.Duration
	// Slowest lists at most maxSlowestTasks tasks that ended last, unfinished ones first.
	Slowest []TaskProgress
}

// TaskProgress describes a task and its latest run. Times are relative to the arrival of the job.
type TaskProgress struct {
	Task string
	// Run is the number of the latest run. If the task was never placed, it and the fields below are zero.
	Run    uint32
	Agent  AgentID
	Placed time.Duration
	IsDone bool
	// Done is when the task was completed, zero while IsDone is false.
	Done     time.Duration
	Failures int
	Moves    int
}

// DecisionAvoidableRefusal reports that a job was refused by its forecast although a worker later had unused resources
// that would have sufficed for it.
type DecisionAvoidableRefusal struct{}

// DecisionCallerLeft reports that the last request that waited for the job was closed, so the job was dropped.
type DecisionCallerLeft struct{}

// DecisionDropped reports that a durable job was dropped because another entry runs it or because it has ended.
type DecisionDropped struct{}

// DecisionAgentUp reports that a session with an agent was opened.
type DecisionAgentUp struct{}

// DecisionAgentUnresponsive reports that an agent gets no new tasks because it has not answered for some time.
type DecisionAgentUnresponsive struct{}

// DecisionAgentDown reports that the session with an agent was closed.
type DecisionAgentDown struct{}

// DecisionWorkerDescribed reports that an agent described its worker.
type DecisionWorkerDescribed struct{ Incarnation worker.Incarnation }

// DecisionAcceptsChanged reports that an agent started or stopped accepting tasks.
type DecisionAcceptsChanged struct{ Accepts bool }

// DecisionEjected reports that an agent's worker was ejected or returned to service.
type DecisionEjected struct{ IsEjected bool }

func (DecisionAccepted) isDecision()          {}
func (DecisionHandedOver) isDecision()        {}
func (DecisionHandOverEnded) isDecision()     {}
func (DecisionJoined) isDecision()            {}
func (DecisionPlaced) isDecision()            {}
func (DecisionEnded) isDecision()             {}
func (DecisionRestarted) isDecision()         {}
func (DecisionDoneEarlier) isDecision()       {}
func (DecisionMoved) isDecision()             {}
func (DecisionGivenUp) isDecision()           {}
func (DecisionRunsUnended) isDecision()       {}
func (DecisionContained) isDecision()         {}
func (DecisionContainmentEnded) isDecision()  {}
func (DecisionLimited) isDecision()           {}
func (DecisionUnlimited) isDecision()         {}
func (DecisionAnswered) isDecision()          {}
func (DecisionAvoidableRefusal) isDecision()  {}
func (DecisionCallerLeft) isDecision()        {}
func (DecisionDropped) isDecision()           {}
func (DecisionAgentUp) isDecision()           {}
func (DecisionAgentUnresponsive) isDecision() {}
func (DecisionAgentDown) isDecision()         {}
func (DecisionWorkerDescribed) isDecision()   {}
func (DecisionAcceptsChanged) isDecision()    {}
func (DecisionEjected) isDecision()           {}
