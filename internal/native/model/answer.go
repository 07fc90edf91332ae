// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package model

import "time"

// Answer is the final answer to a submission: Complete, NotRun, Failed or Rejected.
type Answer interface{ isAnswer() }

// Complete is the answer with the result of every task, in the order of submission.
type Complete struct {
	Results [][]byte
}

// NotRun is the answer to a refused job: no task of this attempt has started or will start.
type NotRun struct {
	Reason string
	// RetryAfter is how long the caller should wait before it submits the next attempt.
	RetryAfter time.Duration
	// OverQuota is set when the team has used up its quota.
	OverQuota bool
}

// Failed is the answer to a job that has not all results.
type Failed struct {
	Reason string
	// MayHaveRun is set unless it is certain that no task has started.
	MayHaveRun bool
	// TimedOut is set when the deadline passed.
	TimedOut bool
}

// Rejected is the answer to a wrong request. No task has started.
type Rejected struct {
	// Field is the field of the request that is wrong.
	Field  string
	Reason string
}

func (Complete) isAnswer() {}
func (NotRun) isAnswer()   {}
func (Failed) isAnswer()   {}
func (Rejected) isAnswer() {}

// Status returns the status of an answer in the callers' API.
func Status(answer Answer) string {
	switch answer.(type) {
	case Complete:
		return "complete"
	case NotRun:
		return "not_run"
	case Failed:
		return "failed"
	case Rejected:
		return "rejected"
	default:
		return "unknown"
	}
}
