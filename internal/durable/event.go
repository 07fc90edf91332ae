// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package durable owns the jobs that must be kept. Jobs are dealt by the hash of their ids over shards; an entry owns a
// shard by a claim in the platform's store that lives as long as the entry's lease, and the claim's revision is the
// fencing token of all writes. What was accepted and what has ended is written before it is told.
//
// Keeper is a state machine without I/O: events go in with a time, effects come out.
package durable

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sailhead/internal/dispatch"
	"sailhead/internal/runner"
)

// Shard is the number of a shard.
type Shard uint8

// Shards is the number of shards.
const Shards = 16

// ShardOf returns the shard of a job.
func ShardOf(job string) Shard {
	return Shard(xxhash.Sum64String(job) % Shards)
}

// Token is a fencing token: the revision of the claim that a write rests on.
type Token int64

// Lease names a lease of the store; 0 is none.
type Lease int64

// Sequence is the number of a batch of a shard; it rises.
type Sequence uint64

// Claim says who owns a shard.
type Claim struct {
	Shard Shard `json:"shard"`
	// Owner and Address are the entry and where it takes requests of others.
	Owner       string `json:"owner"`
	Address     string `json:"address"`
	Incarnation int64  `json:"incarnation"`
	Lease       Lease  `json:"lease"`
	Token       Token  `json:"-"`
}

// Waiter names a request that waits for an answer.
type Waiter uint64

// State is the state of a job.
type State int

// The states of a job.
const (
	StateQueued State = iota + 1
	StateRunning
	StateCompleted
	StateFailed
	StateCancelled
)

// IsEnd reports whether the state is final.
func (s State) IsEnd() bool { return s >= StateCompleted }

// Event is what happens to a keeper; the types below are all there are.
type Event interface{ isEvent() }

// Submitted is a job that must be kept.
type Submitted struct {
	Job    dispatch.Job
	Waiter Waiter
}

// CancelRequested is a caller's wish that a job ends.
type CancelRequested struct {
	Job    string
	Waiter Waiter
}

// StateRequested asks for the state of a job.
type StateRequested struct {
	Job    string
	Waiter Waiter
}

// PendingRequested asks for the number of jobs of a kind that are owned here and of which no task has begun.
// PendingReply answers it.
type PendingRequested struct {
	Kind   string
	Waiter Waiter
}

// ActivationRequested makes the keeper claim shards that nobody owns.
type ActivationRequested struct{}

// TaskEnded is the end of a run: its task is done, or has failed once more.
type TaskEnded struct {
	Agent  dispatch.AgentID
	Update runner.Update
}

// JobBegun says that a task of a job has begun.
type JobBegun struct{ Job string }

// EntriesChanged names the entries that are known.
type EntriesChanged struct{ Names []string }

// StoreRead says that the store's claims and jobs were read; Kept is whether there are any.
type StoreRead struct{ HasJobs bool }

// ClaimObserved is a claim in the store.
type ClaimObserved struct{ Claim Claim }

// ClaimGone says that a shard's claim has gone with a change of the store.
type ClaimGone struct {
	Shard Shard
	Token Token
}

// LeaseAnswered is what became of asking for a lease, or of renewing the one named, at a time.
type LeaseAnswered struct {
	Lease  Lease
	Sent   time.Time
	Result LeaseResult
}

// ClaimAnswered is what became of a claim.
type ClaimAnswered struct {
	Shard  Shard
	Lease  Lease
	Result ClaimResult
}

// Loaded is what the store holds of a shard.
type Loaded struct {
	Shard   Shard
	Token   Token
	Batches []StoredBatch
	Err     error
}

// StoredBatch is a batch as it lies in the store.
type StoredBatch struct {
	Sequence Sequence
	Data     []byte
}

// Committed is what became of a commit.
type Committed struct {
	Number uint64
	Result CommitResult
}

// SurrenderRequested says that another entry holds the claim of a shard now.
type SurrenderRequested struct {
	Shard Shard
	Token Token
	// Waiter gets a SurrenderReply.
	Waiter Waiter
}

// Surrendered is what the earlier owner of a shard answered.
type Surrendered struct {
	Shard       Shard
	Token       Token
	IsConfirmed bool
}

// ShutdownRequested makes the keeper give its shards up before a time.
type ShutdownRequested struct{ Until time.Time }

// Ticked lets time pass; KeptRuns is how many tasks of jobs that must be kept are at agents.
type Ticked struct{ DurableRuns int }

func (Submitted) isEvent()           {}
func (CancelRequested) isEvent()     {}
func (StateRequested) isEvent()      {}
func (PendingRequested) isEvent()    {}
func (ActivationRequested) isEvent() {}
func (TaskEnded) isEvent()           {}
func (JobBegun) isEvent()            {}
func (EntriesChanged) isEvent()      {}
func (StoreRead) isEvent()           {}
func (ClaimObserved) isEvent()       {}
func (ClaimGone) isEvent()           {}
func (LeaseAnswered) isEvent()       {}
func (ClaimAnswered) isEvent()       {}
func (Loaded) isEvent()              {}
func (Committed) isEvent()           {}
func (SurrenderRequested) isEvent()  {}
func (Surrendered) isEvent()         {}
func (ShutdownRequested) isEvent()   {}
func (Ticked) isEvent()              {}

// LeaseResult is the store's answer to asking for a lease or renewing it: LeaseGranted, LeaseOver or LeaseUnknown.
type LeaseResult interface{ isLeaseResult() }

// LeaseGranted says that the lease runs for a time from the arrival of the call.
type LeaseGranted struct {
	Lease Lease
	Time  time.Duration
}

// LeaseOver says that the lease has ended.
type LeaseOver struct{}

// LeaseUnknown says that the store has not answered.
type LeaseUnknown struct{}

func (LeaseGranted) isLeaseResult() {}
func (LeaseOver) isLeaseResult()    {}
func (LeaseUnknown) isLeaseResult() {}

// ClaimResult is the store's answer to a claim: ClaimWon, ClaimLost or ClaimUnknown.
type ClaimResult interface{ isClaimResult() }

// ClaimWon says that the shard is claimed.
type ClaimWon struct{ Token Token }

// ClaimLost says that another claim is there, or that the lease is over.
type ClaimLost struct{}

// ClaimUnknown says that the store has not answered: a claim may come later.
type ClaimUnknown struct{}

func (ClaimWon) isClaimResult()     {}
func (ClaimLost) isClaimResult()    {}
func (ClaimUnknown) isClaimResult() {}

// CommitResult is the store's answer to a commit: CommitDone, CommitDeposed or CommitUnknown.
type CommitResult interface{ isCommitResult() }

// CommitDone says that all parts are written, by this call or by an earlier one.
type CommitDone struct{}

// CommitDeposed says that nothing is written, as the claims of some shards have changed.
type CommitDeposed struct{ Shards []Shard }

// CommitUnknown says that all may be written, or nothing.
type CommitUnknown struct{}

func (CommitDone) isCommitResult()    {}
func (CommitDeposed) isCommitResult() {}
func (CommitUnknown) isCommitResult() {}

// Effect is what a keeper wants done; the types below are all there are.
type Effect interface{ isEffect() }

// CallLease asks for a lease of a time, or renews one.
type CallLease struct {
	Lease Lease
	Time  time.Duration
}

// EndLease ends a lease.
type EndLease struct{ Lease Lease }

// CallClaim claims a shard that nobody has claimed.
type CallClaim struct{ Claim Claim }

// Load reads a shard's batches.
type Load struct {
	Shard Shard
	Token Token
}

// Commit writes batches of several shards, all or none.
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
	// Remove are batches that hold nothing any more.
	Remove []Sequence
	// Releases is set if the claim is removed with this.
	Releases bool
}

// CallSurrender asks the earlier owner of a shard to give it up.
type CallSurrender struct {
	Shard   Shard
	Token   Token
	Address string
}

// Reply answers a request.
type Reply struct {
	Waiter Waiter
	Answer Answer
}

// PendingReply answers a PendingRequested.
type PendingReply struct {
	Waiter Waiter
	Jobs   int
	// IsComplete is false while the jobs of a shard that is claimed here are not read yet: Jobs is too low then.
	IsComplete bool
}

// SurrenderReply answers a SurrenderRequested: nothing more is started for the shard here.
type SurrenderReply struct{ Waiter Waiter }

// ToDispatcher hands an event to the dispatcher.
type ToDispatcher struct{ Event dispatch.Event }

// AcknowledgeEnd tells an agent that the end of a run is kept; without an agent it is told to all.
type AcknowledgeEnd struct {
	Agent dispatch.AgentID
	Name  string
	Run   uint32
}

// DecisionMade tells a decision for the log.
type DecisionMade struct {
	Decision string
	Shard    Shard
	Job      string
	Token    Token
	Detail   string
}

func (CallLease) isEffect()      {}
func (EndLease) isEffect()       {}
func (CallClaim) isEffect()      {}
func (Load) isEffect()           {}
func (Commit) isEffect()         {}
func (CallSurrender) isEffect()  {}
func (Reply) isEffect()          {}
func (PendingReply) isEffect()   {}
func (SurrenderReply) isEffect() {}
func (ToDispatcher) isEffect()   {}
func (AcknowledgeEnd) isEffect() {}
func (DecisionMade) isEffect()   {}

// Answer is the answer to a request: Known, Unknown, NotOwner, Refused or InDoubt.
type Answer interface{ isAnswer() }

// Known says that the job is kept and in a state.
type Known struct{ State State }

// Unknown says that there is no such job.
type Unknown struct{}

// NotOwner says that the job's shard is not owned here and that nothing was done.
type NotOwner struct{}

// Refused says that the job was not taken and will not run.
type Refused struct{ Reason string }

// InDoubt says that the job may be kept or not.
type InDoubt struct{ Reason string }

func (Known) isAnswer()    {}
func (Unknown) isAnswer()  {}
func (NotOwner) isAnswer() {}
func (Refused) isAnswer()  {}
func (InDoubt) isAnswer()  {}
