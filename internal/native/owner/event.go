// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package owner runs the submissions that an agent owns: it takes them, places their tasks,
// gathers the results and answers.
//
// It is a state machine without I/O: events go in, effects come out.
package owner

import (
	"time"

	"sailhead/internal/native/configuration"
	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
)

// Waiter names a request that waits for a response.
type Waiter uint64

// Event is what happens to an owner; the types below are all there are.
type Event interface{ isEvent() }

// Offered is a submission that an entry forwards.
type Offered struct {
	Offer  ownership.Offer
	Waiter Waiter
}

// FenceAnswered is an entry's verdict, or CannotTell if it gave none in time.
type FenceAnswered struct {
	Key     model.Key
	Entry   ownership.MemberID
	Verdict ownership.Verdict
	Epoch   uint64
}

// TaskEnded is the outcome of a task at a guard.
type TaskEnded struct {
	Task    model.TaskID
	Guard   ownership.MemberID
	Outcome model.Outcome
}

// DeadlinePassed ends a job that has no answer yet.
type DeadlinePassed struct{ Key model.Key }

// RosterSeen is a roster from the platform or a peer.
type RosterSeen struct{ Roster ownership.Roster }

// ConfigurationSeen is a configuration from the platform or a peer.
type ConfigurationSeen struct{ Configuration configuration.Configuration }

// LoadSeen is the load that a guard reported.
type LoadSeen struct {
	Guard ownership.MemberID
	Load  model.Load
}

// GuardSilent says that a guard that owes an answer has failed a probe.
type GuardSilent struct{ Guard ownership.MemberID }

// Inherited is the table of a leaving owner.
type Inherited struct {
	Records []ownership.Record
	Done    func(ok bool)
}

// LeaveAsked makes the owner decline new submissions.
type LeaveAsked struct{}

// Ticked lets time pass.
type Ticked struct{}

func (Offered) isEvent()           {}
func (FenceAnswered) isEvent()     {}
func (TaskEnded) isEvent()         {}
func (DeadlinePassed) isEvent()    {}
func (RosterSeen) isEvent()        {}
func (ConfigurationSeen) isEvent() {}
func (LoadSeen) isEvent()          {}
func (GuardSilent) isEvent()       {}
func (Inherited) isEvent()         {}
func (LeaveAsked) isEvent()        {}
func (Ticked) isEvent()            {}

// Effect is what an owner wants done; the types below are all there are.
type Effect interface{ isEffect() }

// Respond answers requests.
type Respond struct {
	Waiters  []Waiter
	Response Response
}

// AskFence asks an entry to send the key to no other owner.
type AskFence struct {
	Key   model.Key
	Entry ownership.Member
	Epoch uint64
	Until time.Time
}

// StartTask asks a guard to start a task; it occurs once for a task and a guard.
type StartTask struct {
	Task     model.TaskID
	Guard    ownership.MemberID
	Job      model.Job
	Urgency  int
	Expected time.Duration
	Due      time.Time
	MaxWait  time.Duration
	Payload  []byte
}

// WithdrawTask asks a guard to drop a task that still waits.
type WithdrawTask struct {
	Task     model.TaskID
	Guard    ownership.MemberID
	Deadline time.Time
}

// WatchDeadline asks for DeadlinePassed at the time.
type WatchDeadline struct {
	Key model.Key
	At  time.Time
}

func (Respond) isEffect()       {}
func (AskFence) isEffect()      {}
func (StartTask) isEffect()     {}
func (WithdrawTask) isEffect()  {}
func (WatchDeadline) isEffect() {}

// Response is what an entry hears: Answered, Declined or Refused.
type Response interface{ isResponse() }

// Answered carries the final answer.
type Answered struct{ Answer model.Answer }

// Declined says that this owner will never take the key.
type Declined struct {
	BoundTo ownership.MemberID
	Reason  string
}

// Refused says that this one offer was not taken.
type Refused struct{ Reason string }

func (Answered) isResponse() {}
func (Declined) isResponse() {}
func (Refused) isResponse()  {}
