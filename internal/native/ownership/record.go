// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"time"

	"sailhead/internal/native/model"
)

// recordState is the state of a submission at its owner; see the package comment.
type recordState int

const (
	// stateFencing is a key for which entries are asked for promises.
	stateFencing recordState = iota
	// stateRunning is a key that this owner runs.
	stateRunning
	// stateFinal is a key with an answer other than NotRun.
	stateFinal
	// stateNotRun is a key whose attempts so far were answered NotRun.
	stateNotRun
	// stateDeclined is a key that this owner will never run.
	stateDeclined
)

// record is what an owner knows of a submission.
type record struct {
	state recordState
	hash  model.Hash
	// answer is nil while the submission is under way or declined.
	answer model.Answer
	// attempt is the highest attempt that was offered while the submission was under way, or refused.
	attempt uint32
	// touched is when the record was last used.
	touched time.Time
	// fence is nil in all states but stateFencing.
	fence *fence
	// boundTo names the owner for which the key was declined, if known.
	boundTo MemberID
}

// isUnderWay reports whether the submission is being fenced or runs.
func (r *record) isUnderWay() bool {
	return r.state == stateFencing || r.state == stateRunning
}
