// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package dispatch owns the jobs that an entry has taken: it admits them, places their tasks on workers,
// runs again what failed or was lost, and answers.
//
// It is a state machine without I/O: events go in with a time, effects come out. No task is placed again
// before its last run has surely ended.
package dispatch

import (
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// AgentID names an agent.
type AgentID string

// Waiter names a request of a caller that waits for a job's answer.
type Waiter uint64

// Job is a caller's job.
type Job struct {
	ID   string
	Kind Kind
	// RemainingTime is how long the caller still waits; nothing is unknown.
	RemainingTime time.Duration
	// Payload is what every task is told.
	Payload string
	Steps   []Step
}

// Kind is what the operators have set for jobs of one kind.
type Kind struct {
	Name    string
	Service string
	// Priority is 0 for the most urgent jobs.
	Priority int
	// Attempts is how many runs of a task may fail.
	Attempts int
	// Stretch times the longest chain of work, and Target more, is the objective of a job's time.
	Stretch float64
	Target  time.Duration
	// Timeout is the longest time of a job; nothing leaves it to the objective.
	Timeout time.Duration
}

// Step is a number of equal tasks of a job.
type Step struct {
	Count    int
	Needs    worker.Resources
	Expected time.Duration
	// After are the earlier steps that must be done first.
	After []int
	// Label is a label that the worker must have, and Rack one that it should have.
	Label string
	Rack  string
	// PerWorker bounds the tasks of the step on one worker; 0 is any number.
	PerWorker int
}

// Event is what happens to a dispatcher; the types below are all there are.
type Event interface{ isEvent() }

// Submitted is a job of a caller.
type Submitted struct {
	Job    Job
	Waiter Waiter
}

// CallerLeft says that a request waits no longer.
type CallerLeft struct {
	Job    string
	Waiter Waiter
}

// CancelRequested asks to end a job; CancelReply answers it.
type CancelRequested struct {
	Job    string
	Waiter Waiter
}

// StateRequested asks for the state of a job; StateReply answers it.
type StateRequested struct {
	Job    string
	Waiter Waiter
}

// JobState says how far a job is.
type JobState int

// The states of a job.
const (
	JobUnknown JobState = iota
	JobWaiting
	JobBegun
)

// AgentUp opens a session with an agent.
type AgentUp struct{ Agent AgentID }

// AgentUnresponsive says that nothing was heard from an agent for some time.
type AgentUnresponsive struct{ Agent AgentID }

// AgentResponsive says that a silent agent was heard again.
type AgentResponsive struct{ Agent AgentID }

// AgentDown ends the session with an agent.
type AgentDown struct{ Agent AgentID }

// WorkerDescribed describes the worker of an agent.
type WorkerDescribed struct {
	Agent  AgentID
	Record worker.Record
}

// LoadReceived is the load of a worker, in which starts up to Handled are counted.
type LoadReceived struct {
	Agent   AgentID
	Handled uint64
	Load    runner.Load
}

// RunUpdated is what became of a run.
type RunUpdated struct {
	Agent  AgentID
	Update runner.Update
}

// ShutdownRequested makes the dispatcher take only jobs that end before a time.
type ShutdownRequested struct{ Until time.Time }

// Ticked lets time pass.
type Ticked struct{}

func (Submitted) isEvent()         {}
func (CallerLeft) isEvent()        {}
func (CancelRequested) isEvent()   {}
func (StateRequested) isEvent()    {}
func (AgentUp) isEvent()           {}
func (AgentUnresponsive) isEvent() {}
func (AgentResponsive) isEvent()   {}
func (AgentDown) isEvent()         {}
func (WorkerDescribed) isEvent()   {}
func (LoadReceived) isEvent()      {}
func (RunUpdated) isEvent()        {}
func (ShutdownRequested) isEvent() {}
func (Ticked) isEvent()            {}

// Effect is what a dispatcher wants done; the types below are all there are.
type Effect interface{ isEffect() }

// Reply answers requests.
type Reply struct {
	Waiters []Waiter
	Answer  Answer
}

// StateReply answers a StateRequested.
type StateReply struct {
	Waiter Waiter
	State  JobState
}

// CancelReply answers a CancelRequested. Known is false if no job of the id is under way here.
type CancelReply struct {
	Waiter Waiter
	Known  bool
}

// StartTask asks an agent to run a task; Number counts the starts of the session.
type StartTask struct {
	Agent  AgentID
	Number uint64
	Task   runner.Task
}

// StopTask asks an agent to end a task.
type StopTask struct {
	Agent AgentID
	Name  string
}

// DecisionMade tells a decision for the log.
type DecisionMade struct {
	Decision Decision
	Job      string
	Task     string
	Run      uint32
	Agent    AgentID
	Kind     string
	// Age is the time since the job came.
	Age time.Duration
	// Outcome is what a job's answer says; nothing for other decisions.
	Outcome Outcome
	Detail  string
}

func (Reply) isEffect()        {}
func (StateReply) isEffect()   {}
func (CancelReply) isEffect()  {}
func (StartTask) isEffect()    {}
func (StopTask) isEffect()     {}
func (DecisionMade) isEffect() {}

// Decision names a decision in the log.
type Decision string

// The decisions that are logged.
const (
	DecisionAccepted          Decision = "taken"
	DecisionJoined            Decision = "joined"
	DecisionPlaced            Decision = "placed"
	DecisionEnded             Decision = "ended"
	DecisionMoved             Decision = "moved"
	DecisionAnswered          Decision = "answered"
	DecisionCallerLeft        Decision = "caller_left"
	DecisionDropped           Decision = "dropped"
	DecisionAgentUp           Decision = "agent_up"
	DecisionAgentUnresponsive Decision = "agent_silent"
	DecisionAgentDown         Decision = "agent_down"
	DecisionWorker            Decision = "worker"
	DecisionAccepts           Decision = "accepts"
)

// Outcome is the word for an answer in logs and metrics.
type Outcome string

// The outcomes of jobs.
const (
	OutcomeCompleted   Outcome = "completed"
	OutcomeFailed      Outcome = "failed"
	OutcomeNotRun      Outcome = "not_run"
	OutcomeInterrupted Outcome = "interrupted"
	outcomeUnknown     Outcome = "unknown"
)

// Answer is the final answer to a job: Completed, Failed, NotRun or Interrupted.
type Answer interface{ isAnswer() }

// Completed says that every task has ended well.
type Completed struct{}

// Failed says that a task has failed as often as it may.
type Failed struct{}

// NotRun says that no task has run or will run, and when to come back.
type NotRun struct {
	Reason     string
	RetryAfter time.Duration
}

// Interrupted says that a task may have run and that the job was given up.
type Interrupted struct{ Reason string }

func (Completed) isAnswer()   {}
func (Failed) isAnswer()      {}
func (NotRun) isAnswer()      {}
func (Interrupted) isAnswer() {}
