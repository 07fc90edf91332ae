// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import "time"

// LeaseResult is the result of requesting or renewing a lease: LeaseGranted, LeaseExpired or LeaseUnknown.
type LeaseResult interface{ isLeaseResult() }

// LeaseGranted reports that the lease is valid for Time, which the store counts from the arrival of the call.
type LeaseGranted struct {
	Lease Lease
	Time  time.Duration
}

// LeaseExpired reports that the lease has expired or was ended.
type LeaseExpired struct{}

// LeaseUnknown reports that the store did not answer: the lease may have been granted or renewed.
type LeaseUnknown struct{}

func (LeaseGranted) isLeaseResult() {}
func (LeaseExpired) isLeaseResult() {}
func (LeaseUnknown) isLeaseResult() {}

// ClaimResult is the result of a claim: ClaimWon, ClaimLost or ClaimUnknown.
type ClaimResult interface{ isClaimResult() }

// ClaimWon reports that the claim is written, at revision Token.
type ClaimWon struct{ Token Token }

// ClaimLost reports that the claim was not written: the shard has another claim, the lease has expired, or the store refused
// the call.
type ClaimLost struct{}

// ClaimUnknown reports that the store did not answer: the claim may have been written or may still be.
type ClaimUnknown struct{}

func (ClaimWon) isClaimResult()     {}
func (ClaimLost) isClaimResult()    {}
func (ClaimUnknown) isClaimResult() {}

// CommitResult is the result of a commit: CommitWritten, CommitFenced or CommitUnknown.
type CommitResult interface{ isCommitResult() }

// CommitWritten reports that all parts are written, by this call or by an earlier attempt.
type CommitWritten struct{}

// CommitFenced reports that nothing was written because the claims of Shards no longer match the tokens of the commit.
type CommitFenced struct{ Shards []Shard }

// CommitUnknown reports that the store did not confirm the commit: either all parts are written or none.
type CommitUnknown struct{}

func (CommitWritten) isCommitResult() {}
func (CommitFenced) isCommitResult()  {}
func (CommitUnknown) isCommitResult() {}
