// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package owner

import (
	"time"

	"sailhead/internal/native/configuration"
	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
)

// Waiter identifies a request that waits for a response.
type Waiter uint64

// Event is an input of the owner. It is one of Offered, FenceAnswered, TaskEnded, DeadlinePassed, RosterSeen,
// ConfigurationSeen, LoadSeen, GuardUnresponsive, Inherited, LeaveAsked and Ticked.
type Event interface{ isEvent() }

// Offered is a submission that an entry forwards.
type Offered struct {
	Offer  ownership.Offer
	Waiter Waiter
}

// FenceAnswered is the verdict of an entry that AskFence asked, and the epoch that the entry used. The verdict is
// CannotTell if the entry did not answer in time.
type FenceAnswered struct {
	Key     model.Key
	Entry   ownership.MemberID
	Verdict ownership.Verdict
	Epoch   uint64
}

// TaskEnded is the outcome of a task at a guard. There is one for each StartTask.
type TaskEnded struct {
	Task    model.TaskID
	Guard   ownership.MemberID
	Outcome model.Outcome
}

// DeadlinePassed reports that the time of a WatchDeadline has come.
type DeadlinePassed struct{ Key model.Key }

// RosterSeen is a roster from the platform or a peer; it may be older than the one in use.
type RosterSeen struct{ Roster ownership.Roster }

// ConfigurationSeen is a configuration from the platform or a peer; it may be older than the one in use.
type ConfigurationSeen struct{ Configuration configuration.Configuration }

// LoadSeen is the load that a guard reported.
type LoadSeen struct {
	Guard ownership.MemberID
	Load  model.Load
}

// GuardUnresponsive reports that a guard with an outcome due did not answer a probe.
type GuardUnresponsive struct{ Guard ownership.MemberID }

// Inherited is the submission table of an owner that leaves. Done is called while the event is handled, with false if
// the records were not taken.
type Inherited struct {
	Records []ownership.Record
	Done    func(ok bool)
}

// LeaveAsked begins the planned stop of this owner: from then on it declines new submissions.
type LeaveAsked struct{}

// Ticked is sent at intervals; records of old submissions are removed then.
type Ticked struct{}

func (Offered) isEvent()           {}
func (FenceAnswered) isEvent()     {}
func (TaskEnded) isEvent()         {}
func (DeadlinePassed) isEvent()    {}
func (RosterSeen) isEvent()        {}
func (ConfigurationSeen) isEvent() {}
func (LoadSeen) isEvent()          {}
func (GuardUnresponsive) isEvent() {}
func (Inherited) isEvent()         {}
func (LeaveAsked) isEvent()        {}
func (Ticked) isEvent()            {}

// Effect is an action for the caller of Handle. It is one of Respond, AskFence, StartTask, WithdrawTask and
// WatchDeadline.
type Effect interface{ isEffect() }

// Respond sends a response to the requests of an offer.
type Respond struct {
	Waiters  []Waiter
	Response Response
}

// AskFence asks an entry to promise that it sends the key to no other owner. A verdict after Until is useless.
type AskFence struct {
	Key   model.Key
	Entry ownership.Member
	Epoch uint64
	Until time.Time
}

// StartTask sends a task to a guard. It occurs once for a task and a guard. MaxWait is the expected wait above which
// the guard refuses, or 0 for none.
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

// WithdrawTask asks a guard to remove a task from its queue. A task that has started is not stopped.
type WithdrawTask struct {
	Task     model.TaskID
	Guard    ownership.MemberID
	Deadline time.Time
}

// WatchDeadline asks for a DeadlinePassed event at the time.
type WatchDeadline struct {
	Key model.Key
	At  time.Time
}

func (Respond) isEffect()       {}
func (AskFence) isEffect()      {}
func (StartTask) isEffect()     {}
func (WithdrawTask) isEffect()  {}
func (WatchDeadline) isEffect() {}

// Response is the response to an offer. It is one of Answered, Declined and Refused.
type Response interface{ isResponse() }

// Answered carries the final answer of the submission.
type Answered struct{ Answer model.Answer }

// Declined means that this owner will never run the key. BoundTo is the owner that may, if known.
type Declined struct {
	BoundTo ownership.MemberID
	Reason  string
}

// Refused means that this offer was not accepted; a later one may be.
type Refused struct{ Reason string }

func (Answered) isResponse() {}
func (Declined) isResponse() {}
func (Refused) isResponse()  {}
