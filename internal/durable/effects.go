// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"time"

	"sailhead/internal/dispatch"
)

// Effect is an action for the entry to carry out. The types in this file implement it. The entry makes calls to the store and
// to other entries in separate goroutines and posts their results as events; it carries out the other effects in order.
type Effect interface{ isEffect() }

// CallLease requests a lease of Time from the store, or renews Lease if it is not 0. LeaseAnswered is its result.
type CallLease struct {
	Lease Lease
	Time  time.Duration
}

// EndLease ends a lease and removes the claims that are bound to it. It has no result, because the lease expires if the call
// fails.
type EndLease struct{ Lease Lease }

// CallClaim writes a claim if the shard has no claim. ClaimAnswered is its result.
type CallClaim struct{ Claim Claim }

// CallHasJobs reads whether the store has ever held a durable job. HasJobsAnswered is its result.
type CallHasJobs struct{}

// Load reads a shard's batches. Loaded is its result.
type Load struct {
	Shard Shard
	Token Token
}

// Commit writes batches of several shards in one transaction. Committed is its result.
type Commit struct {
	Number uint64
	Parts  []Part
}

// Part is what a commit writes for one shard.
type Part struct {
	Shard    Shard
	Token    Token
	Sequence Sequence
	Data     []byte
	// Remove lists batches to remove, which hold no live records.
	Remove []Sequence
	// ReleasesClaim is set if the commit also removes the claim.
	ReleasesClaim bool
}

// CallReadEnds reads the records of stored ends of a shard. StoredEndsAnswered is its result.
type CallReadEnds struct {
	Shard Shard
	Token Token
}

// CallRemoveEnds removes a record of stored ends if it still has its revision. It has no result, because the record is found again if the
// call fails.
type CallRemoveEnds struct{ Record StoredEnds }

// CallSurrender asks the previous owner of a shard, at Address, to stop serving it. Surrendered is its result.
type CallSurrender struct {
	Shard   Shard
	Token   Token
	Address string
}

// Reply answers a Submitted, CancelRequested or StateRequested.
type Reply struct {
	Waiter Waiter
	Answer Answer
}

// PendingReply answers a PendingRequested.
type PendingReply struct {
	Waiter Waiter
	Jobs   int
	// IsComplete is false while the jobs of a shard that this entry has claimed are not loaded. Jobs may then be too low.
	IsComplete bool
}

// SurrenderReply answers a SurrenderRequested: this entry starts no more runs for the shard.
type SurrenderReply struct{ Waiter Waiter }

// ToDispatcher passes an event to the dispatcher.
type ToDispatcher struct{ Event dispatch.Event }

// AcknowledgeEnd acknowledges the end of a run to an agent, which then stops resending it.
type AcknowledgeEnd struct {
	Agent dispatch.AgentID
	Name  string
	Run   uint32
}

// Decision is the type of a logged decision.
type Decision string

// The decisions, with the values that are written to the field msg of the log.
const (
	// DecisionOwned: this entry serves the shard.
	DecisionOwned Decision = "shard_owned"
	// DecisionLost: this entry no longer serves the shard; the detail is the reason.
	DecisionLost Decision = "shard_lost"
	// DecisionReleased: the shard was released at shutdown, and its claim was removed.
	DecisionReleased Decision = "shard_released"
	// DecisionUnreadable: a batch of the shard could not be decoded. Nothing is removed, and loading is retried.
	DecisionUnreadable Decision = "shard_unreadable"
	// DecisionEndsUnread: the stored ends of the shard could not be read from the store; the read is retried.
	DecisionEndsUnread Decision = "shard_ends_unread"
	// DecisionLoadFailed: the shard could not be read from the store; loading is retried.
	DecisionLoadFailed Decision = "shard_load_failed"
)

// DecisionMade logs a decision about a shard.
type DecisionMade struct {
	Decision Decision
	Shard    Shard
	// Token is the token under which the shard is held, or 0 if it is not held.
	Token Token
	// Detail is the reason, or empty if the decision has none.
	Detail string
}

func (CallLease) isEffect()      {}
func (EndLease) isEffect()       {}
func (CallClaim) isEffect()      {}
func (CallHasJobs) isEffect()    {}
func (Load) isEffect()           {}
func (Commit) isEffect()         {}
func (CallReadEnds) isEffect()   {}
func (CallRemoveEnds) isEffect() {}
func (CallSurrender) isEffect()  {}
func (Reply) isEffect()          {}
func (PendingReply) isEffect()   {}
func (SurrenderReply) isEffect() {}
func (ToDispatcher) isEffect()   {}
func (AcknowledgeEnd) isEffect() {}
func (DecisionMade) isEffect()   {}
