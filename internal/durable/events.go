// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/runner"
)

// Event is an input of a Coordinator. The types in this file implement it.
type Event interface{ isEvent() }

// Submitted is a job to accept. It is answered by a Reply: Known once the job is written, NotOwner or Refused if it is not
// accepted, InDoubt if the shard was lost before the write was confirmed.
type Submitted struct {
	Job    dispatch.Job
	Waiter Waiter
}

// CancelRequested is a request to cancel a job. It is answered by a Reply once the final state of the job is written.
type CancelRequested struct {
	Job    string
	Waiter Waiter
}

// StateRequested is a request for the state of a job. It is answered by a Reply, after stateQueryTimeout at the latest.
type StateRequested struct {
	Job    string
	Waiter Waiter
}

// PendingRequested is a request for the number of jobs of a kind that this entry owns and that have not started a task. It is
// answered by a PendingReply.
type PendingRequested struct {
	Kind   string
	Waiter Waiter
}

// ActivationRequested makes the coordinator claim unowned shards, because there are, or may soon be, durable jobs.
type ActivationRequested struct{}

// TaskEnded is an agent's report that a run is done or has failed. Agents resend it until it is acknowledged.
type TaskEnded struct {
	Agent  dispatch.AgentID
	Update runner.Update
}

// JobStarted reports that the first task of a job has started.
type JobStarted struct{ Job string }

// JobGivenUp reports that the dispatcher has dropped a job as failed, because workers crashed while they ran one of its tasks.
type JobGivenUp struct{ Job string }

// EntriesChanged lists the names of all known entries, this one included.
type EntriesChanged struct{ Names []string }

// ClaimsRead reports that the claims were read from the store. It follows the ClaimObserved and ClaimRemoved events of that
// read.
type ClaimsRead struct {
	// HasJobs is set if the store has ever held a durable job.
	HasJobs bool
}

// ClaimObserved is a claim that was found in the store.
type ClaimObserved struct{ Claim Claim }

// ClaimRemoved reports that a shard has no claim as of a revision of the store.
type ClaimRemoved struct {
	Shard Shard
	Token Token
}

// HasJobsAnswered is the result of a CallHasJobs: whether the store has ever held a durable job, or the error of the read.
type HasJobsAnswered struct {
	HasJobs bool
	Err     error
}

// LeaseAnswered is the result of a CallLease.
type LeaseAnswered struct {
	// Lease is the lease of the renewal, or 0 if a new lease was requested.
	Lease Lease
	// Sent is when the call was made: the lease starts no earlier.
	Sent   time.Time
	Result LeaseResult
}

// ClaimAnswered is the result of a CallClaim, made under a lease.
type ClaimAnswered struct {
	Shard  Shard
	Lease  Lease
	Result ClaimResult
}

// Loaded is the result of a Load: the shard's batches in order, or the error of the read.
type Loaded struct {
	Shard   Shard
	Token   Token
	Batches []StoredBatch
	Err     error
}

// StoredBatch is a batch as read from the store.
type StoredBatch struct {
	Sequence Sequence
	Data     []byte
}

// Committed is the result of a Commit.
type Committed struct {
	Number uint64
	Result CommitResult
}

// SurrenderRequested is a request of an entry that has claimed a shard under the given token. It is answered by a
// SurrenderReply.
type SurrenderRequested struct {
	Shard  Shard
	Token  Token
	Waiter Waiter
}

// Surrendered is the result of a CallSurrender.
type Surrendered struct {
	Shard Shard
	Token Token
	// IsConfirmed is set if the previous owner starts no more runs for the shard: it has confirmed this, or its process has
	// exited.
	IsConfirmed bool
}

// StoredEndsRequested asks for a read of the stored ends of a job. It is answered by a dispatch.StoredEndsRead, unless the shard is lost.
type StoredEndsRequested struct{ Job string }

// StoredEndsAnswered is the result of a CallReadEnds: the records of a shard, or the error of the read.
type StoredEndsAnswered struct {
	Shard   Shard
	Token   Token
	Records []StoredEnds
	Err     error
}

// ShutdownRequested makes the coordinator release its shards by Until.
type ShutdownRequested struct{ Until time.Time }

// Ticked triggers periodic work; the entry sends it at a regular interval.
type Ticked struct {
	// DurableRuns is the number of runs of durable jobs that agents have or may have.
	DurableRuns int
}

func (Submitted) isEvent()           {}
func (CancelRequested) isEvent()     {}
func (StateRequested) isEvent()      {}
func (PendingRequested) isEvent()    {}
func (ActivationRequested) isEvent() {}
func (TaskEnded) isEvent()           {}
func (JobStarted) isEvent()          {}
func (JobGivenUp) isEvent()          {}
func (EntriesChanged) isEvent()      {}
func (ClaimsRead) isEvent()          {}
func (ClaimObserved) isEvent()       {}
func (ClaimRemoved) isEvent()        {}
func (HasJobsAnswered) isEvent()     {}
func (LeaseAnswered) isEvent()       {}
func (ClaimAnswered) isEvent()       {}
func (Loaded) isEvent()              {}
func (Committed) isEvent()           {}
func (SurrenderRequested) isEvent()  {}
func (Surrendered) isEvent()         {}
func (StoredEndsRequested) isEvent() {}
func (StoredEndsAnswered) isEvent()  {}
func (ShutdownRequested) isEvent()   {}
func (Ticked) isEvent()              {}
