// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"sailhead/internal/runner"
)

// Effect is an action for the caller of Handle to carry out. It is one of the types below or DecisionMade.
type Effect interface{ isEffect() }

// Reply answers the requests that wait for a job.
type Reply struct {
	Waiters []Waiter
	Answer  Answer
}

// StateReply answers a StateRequested.
type StateReply struct {
	Waiter Waiter
	State  JobState
}

// CancelReply answers a CancelRequested. Known is false if there is no such job, or if it is durable.
type CancelReply struct {
	Waiter Waiter
	Known  bool
}

// StartTask sends a run of a task to an agent.
type StartTask struct {
	Agent AgentID
	// Number counts the starts sent in the agent's session, from 1.
	Number uint64
	Task   runner.Task
}

// StopTask asks an agent to stop the run of a task.
type StopTask struct {
	Agent AgentID
	Name  string
}

// Reserve asks an agent for resources, or cancels an earlier request.
type Reserve struct {
	Agent       AgentID
	Reservation runner.Reservation
}

// AnswerOffer answers an offer, after the starts that use it.
type AnswerOffer struct {
	Agent AgentID
	Offer runner.OfferID
}

// CloseSession closes the session with an agent, as nothing of this entry is there.
type CloseSession struct{ Agent AgentID }

// HandOver hands a job over to another entry. The result comes as HandOverEnded with the same number.
type HandOver struct {
	Job Job
	// Number counts the hand-overs of this entry, from 1.
	Number uint64
}

// WithdrawHandOver ends a hand-over. Its result is not needed any more.
type WithdrawHandOver struct {
	Job    string
	Number uint64
}

// RecordEnd passes the end of a run of a durable job to package durable, which records it before the worker may forget
// it.
type RecordEnd struct {
	Agent  AgentID
	Update runner.Update
}

// PropagateCrash passes a crash that was not known here to the other entries.
type PropagateCrash struct {
	Agent AgentID
	Crash runner.Crash
}

// DurableGivenUp tells package durable that a job has failed, as workers crashed under one of its tasks.
type DurableGivenUp struct{ Job string }

// DurableStarted tells package durable that the first task of a job has begun.
type DurableStarted struct{ Job string }

func (Reply) isEffect()            {}
func (StateReply) isEffect()       {}
func (CancelReply) isEffect()      {}
func (StartTask) isEffect()        {}
func (StopTask) isEffect()         {}
func (Reserve) isEffect()          {}
func (AnswerOffer) isEffect()      {}
func (CloseSession) isEffect()     {}
func (HandOver) isEffect()         {}
func (WithdrawHandOver) isEffect() {}
func (RecordEnd) isEffect()        {}
func (DurableStarted) isEffect()   {}
func (DurableGivenUp) isEffect()   {}
func (PropagateCrash) isEffect()   {}
func (DecisionMade) isEffect()     {}

// JobState is the state of a job that is not durable.
type JobState int

// The states of a job.
const (
	// JobUnknown means that no such job is under way, or it is durable.
	JobUnknown JobState = iota
	// JobWaiting means that no task has begun.
	JobWaiting
	// JobStarted means that a task may have begun.
	JobStarted
)

// Answer is the final answer to a job. It is one of Completed, Failed, NotRun and Interrupted.
type Answer interface{ isAnswer() }

// Completed means that every task is done.
type Completed struct{}

// Failed means that a task failed as often as its kind allows, or that workers crashed under it.
type Failed struct{ Reason string }

// NotRun means that no task has run or will run.
type NotRun struct {
	Reason string
	// RetryAfter is how long the caller should wait before it submits the job again.
	RetryAfter time.Duration
	// IsLocal is set if the job was refused for the entry's own sake: another one may serve it at once.
	IsLocal bool
	// IsForecast is set if the job was refused on arrival for the wait that was expected of it.
	IsForecast bool
}

// Interrupted means that the job ended early, and a task may have run.
type Interrupted struct{ Reason string }

func (Completed) isAnswer()   {}
func (Failed) isAnswer()      {}
func (NotRun) isAnswer()      {}
func (Interrupted) isAnswer() {}
