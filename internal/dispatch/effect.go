// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"sailhead/internal/runner"
)

// Effect is an action that the caller of Handle has to carry out. It is one of the types below or DecisionMade.
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

// CancelReply answers a CancelRequested. Known is false if there is no such job or the job is durable.
type CancelReply struct {
	Waiter Waiter
	Known  bool
}

// StartTask sends a run of a task to an agent.
type StartTask struct {
	Agent AgentID
	// Number is the sequence number of the start in the agent's session, from 1.
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

// AnswerOffer answers an offer. It follows the starts that use the offer.
type AnswerOffer struct {
	Agent AgentID
	Offer runner.OfferID
}

// SessionEnded reports that the end of an agent's session was handled: no earlier effect concerns the agent's next session.
type SessionEnded struct{ Agent AgentID }

// CloseSession closes the session with an agent that has no runs of this entry.
type CloseSession struct{ Agent AgentID }

// EchoPing echoes a ping of an agent. The echo extends the leases of this entry's runs there, so it follows the stops of all earlier events: the
// runs of an entry that handles its events late end in time.
type EchoPing struct {
	Agent AgentID
	// Time is copied from AgentPinged.
	Time int64
}

// HandOver hands a job over to another entry. A HandOverEnded with the same number reports the result.
type HandOver struct {
	Job Job
	// Number is the sequence number of the hand-over at this entry, from 1.
	Number uint64
}

// WithdrawHandOver cancels a hand-over whose result is no longer needed.
type WithdrawHandOver struct {
	Job    string
	Number uint64
}

// EchoHandOverPing echoes a ping of an entry to which jobs were handed over. Like EchoPing, it follows the withdrawals of all earlier events.
type EchoHandOverPing struct {
	// Link and Time are copied from HandOverPinged.
	Link uint64
	Time int64
}

// RecordEnd passes the end of a run of a durable job to package durable, which records it before the worker may discard
// it.
type RecordEnd struct {
	Agent  AgentID
	Update runner.Update
}

// PropagateCrash passes a crash that was new to this entry on to the other entries.
type PropagateCrash struct {
	Agent AgentID
	Crash runner.Crash
}

// PropagateUnendedRun passes on to the other entries that a run of a task may go on until a given time, although its job is about to be
// answered.
type PropagateUnendedRun struct {
	Task    string
	EndedBy time.Time
}

// ShareRecords tells all other entries at once of the crashes and runs that were passed on so far. RecordsShared must follow, also if an
// entry does not answer.
type ShareRecords struct {
	// Number is that of the latest of these records.
	Number uint64
}

// ReadStoredEnds asks package durable to read the ends of runs of a job that agents have stored. It is answered by a StoredEndsRead.
type ReadStoredEnds struct{ Job string }

// DurableGivenUp reports to package durable that a job has failed because workers crashed under one of its tasks.
type DurableGivenUp struct{ Job string }

// DurableStarted reports to package durable that the first task of a job may have started.
type DurableStarted struct{ Job string }

func (Reply) isEffect()               {}
func (StateReply) isEffect()          {}
func (CancelReply) isEffect()         {}
func (StartTask) isEffect()           {}
func (StopTask) isEffect()            {}
func (Reserve) isEffect()             {}
func (AnswerOffer) isEffect()         {}
func (SessionEnded) isEffect()        {}
func (CloseSession) isEffect()        {}
func (EchoPing) isEffect()            {}
func (HandOver) isEffect()            {}
func (WithdrawHandOver) isEffect()    {}
func (EchoHandOverPing) isEffect()    {}
func (RecordEnd) isEffect()           {}
func (ReadStoredEnds) isEffect()      {}
func (DurableStarted) isEffect()      {}
func (DurableGivenUp) isEffect()      {}
func (PropagateCrash) isEffect()      {}
func (PropagateUnendedRun) isEffect() {}
func (ShareRecords) isEffect()        {}
func (DecisionMade) isEffect()        {}

// JobState is the state of a job that is not durable.
type JobState int

// The states of a job.
const (
	// JobUnknown means that no such job is in progress, or that it is durable.
	JobUnknown JobState = iota
	// JobWaiting means that no task has started.
	JobWaiting
	// JobStarted means that a task may have started.
	JobStarted
)

// Answer is the final answer to a job. It is one of Completed, Failed, NotRun and Interrupted.
type Answer interface{ isAnswer() }

// Completed means that every task is done.
type Completed struct{}

// Failed means that a task has used up the attempts of its kind, or that workers crashed under it.
type Failed struct{ Reason string }

// NotRun means that no task has run or will run.
type NotRun struct {
	Reason string
	// RetryAfter is how long the caller should wait before it submits the job again.
	RetryAfter time.Duration
	// IsLocal is set if the job was refused because of the state of this entry, so that another entry may serve it at
	// once.
	IsLocal bool
	// IsForecast is set if the job was refused on arrival because of its forecast wait.
	IsForecast bool
}

// Interrupted means that the job ended before it was complete and that a task may have run.
type Interrupted struct{ Reason string }

func (Completed) isAnswer()   {}
func (Failed) isAnswer()      {}
func (NotRun) isAnswer()      {}
func (Interrupted) isAnswer() {}
