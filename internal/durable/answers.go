// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

// Answer is the answer to a request about a job: Known, Unknown, NotOwner, Refused or InDoubt.
type Answer interface{ isAnswer() }

// Known reports that the job is written, and its state.
type Known struct{ State State }

// Unknown reports that there is no such job.
type Unknown struct{}

// NotOwner reports that this entry does not serve the job's shard. The request had no effect and can be sent to another entry.
type NotOwner struct{}

// Refused reports that the job was not accepted and will not run.
type Refused struct{ Reason string }

// InDoubt reports that the job may or may not have been accepted or cancelled.
type InDoubt struct{ Reason string }

func (Known) isAnswer()    {}
func (Unknown) isAnswer()  {}
func (NotOwner) isAnswer() {}
func (Refused) isAnswer()  {}
func (InDoubt) isAnswer()  {}
