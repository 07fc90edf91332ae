// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package model

import "time"

// Answer is the final answer to a submission: Complete, NotRun, Failed or Rejected.
type Answer interface{ isAnswer() }

// Complete carries the result of every task in the order of submission.
type Complete struct {
	Results [][]byte
}

// NotRun says that no task of this attempt has started or will start.
type NotRun struct {
	Reason     string
	RetryAfter time.Duration
	OverQuota  bool
}

// Failed says that the job is not complete, and whether a task may have run.
type Failed struct {
	Reason     string
	MayHaveRun bool
	TimedOut   bool
}

// Rejected says that the request itself is wrong, and in which field; it ran nothing.
type Rejected struct {
	Field  string
	Reason string
}

func (Complete) isAnswer() {}
func (NotRun) isAnswer()   {}
func (Failed) isAnswer()   {}
func (Rejected) isAnswer() {}

// Status returns the word for an answer in the caller's API.
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
