// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package worker

import "time"

// Result is the outcome of any call to a worker. It is one of the types declared below.
type Result interface{ isResult() }

// StartResult is the outcome of a start: Accepted, Outdated, TooLate, InsufficientResources or a Failure.
type StartResult interface {
	Result
	isStartResult()
}

// StopResult is the outcome of a stop: Accepted, Outdated or a Failure.
type StopResult interface {
	Result
	isStopResult()
}

// RenewResult is the outcome of a renewal: Listing or a Failure.
type RenewResult interface {
	Result
	isRenewResult()
}

// Failure is an outcome that every call can have: Fenced, Invalid, Unhealthy, WrongIncarnation, Unreachable or
// NoResponse. The worker may have executed a call that is NoResponse, or a renewal that is Invalid because its listing could not be parsed.
// With all other failures it has not executed the call.
type Failure interface {
	StartResult
	StopResult
	RenewResult
	isFailure()
}

// Reply holds the fields that all answers of a worker have in common.
type Reply struct {
	// Clock is the worker's clock at the time of the answer, or zero if the answer does not contain it.
	Clock time.Duration
	// Received is when the answer arrived, on this process's clock.
	Received time.Time
}

// Accepted means that the worker accepted the call.
type Accepted struct{ Reply }

// Fenced means that the worker has seen a higher fencing token.
type Fenced struct{ Reply }

// StaleRun means that a run of the task with the same or a higher number has already ended or was stopped on the worker.
type StaleRun struct{ Reply }

// TooLate means that the lease had expired before the start arrived.
type TooLate struct{ Reply }

// InsufficientResources means that the worker does not have the free resources that the task needs.
type InsufficientResources struct{ Reply }

// Invalid means that the worker rejected the call as malformed, or that its answer could not be parsed.
type Invalid struct {
	Reply
	Reason string
}

// Unhealthy means that the worker currently rejects all calls.
type Unhealthy struct{ Reply }

// WrongIncarnation means that another incarnation of the worker answered at the address.
type WrongIncarnation struct{ Reply }

// Unreachable means that nothing listens at the worker's address.
type Unreachable struct{ Reason string }

// NoResponse means that no answer arrived in time. The worker may have executed the call or may still do so.
type NoResponse struct {
	Reason string
	// IsClosed is true if the connection was closed or reset.
	IsClosed bool
	// IsReset is true if the connection was reset. When a process ends, its connections are closed, and reset only if it left received data
	// unread. A reset of a connection on which a call was waiting is therefore caused by the network.
	IsReset bool
	// IsAnswered is true if an answer arrived whose status the protocol does not have, so that it shows nothing about the call.
	IsAnswered bool
}

func (Accepted) isResult()              {}
func (Fenced) isResult()                {}
func (StaleRun) isResult()              {}
func (TooLate) isResult()               {}
func (InsufficientResources) isResult() {}
func (Invalid) isResult()               {}
func (Unhealthy) isResult()             {}
func (WrongIncarnation) isResult()      {}
func (Unreachable) isResult()           {}
func (NoResponse) isResult()            {}
func (Listing) isResult()               {}

func (Accepted) isStartResult()              {}
func (Fenced) isStartResult()                {}
func (StaleRun) isStartResult()              {}
func (TooLate) isStartResult()               {}
func (InsufficientResources) isStartResult() {}
func (Invalid) isStartResult()               {}
func (Unhealthy) isStartResult()             {}
func (WrongIncarnation) isStartResult()      {}
func (Unreachable) isStartResult()           {}
func (NoResponse) isStartResult()            {}

func (Accepted) isStopResult()         {}
func (Fenced) isStopResult()           {}
func (StaleRun) isStopResult()         {}
func (Invalid) isStopResult()          {}
func (Unhealthy) isStopResult()        {}
func (WrongIncarnation) isStopResult() {}
func (Unreachable) isStopResult()      {}
func (NoResponse) isStopResult()       {}

func (Listing) isRenewResult()          {}
func (Fenced) isRenewResult()           {}
func (Invalid) isRenewResult()          {}
func (Unhealthy) isRenewResult()        {}
func (WrongIncarnation) isRenewResult() {}
func (Unreachable) isRenewResult()      {}
func (NoResponse) isRenewResult()       {}

func (Fenced) isFailure()           {}
func (Invalid) isFailure()          {}
func (Unhealthy) isFailure()        {}
func (WrongIncarnation) isFailure() {}
func (Unreachable) isFailure()      {}
func (NoResponse) isFailure()       {}
