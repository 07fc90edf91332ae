// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package worker holds the types in which the parts of sailhead speak of a worker and its runs.
package worker

import "time"

// Resources is an amount of what a worker has: thousandths of a core, mebibytes and accelerators.
type Resources struct {
	CPU    int
	Memory int
	GPU    int
}

// Plus returns the sum of two amounts.
func (r Resources) Plus(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, Memory: r.Memory + other.Memory, GPU: r.GPU + other.GPU}
}

// Minus returns the difference of two amounts.
func (r Resources) Minus(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, Memory: r.Memory - other.Memory, GPU: r.GPU - other.GPU}
}

// Times returns the amount n times.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: r.CPU * n, Memory: r.Memory * n, GPU: r.GPU * n}
}

// Fits reports whether the amount fits into the other.
func (r Resources) Fits(into Resources) bool {
	return r.CPU <= into.CPU && r.Memory <= into.Memory && r.GPU <= into.GPU
}

// Count returns how many times the amount fits into the other, up to a largest number.
func (r Resources) Count(into Resources, most int) int {
	count := most
	for _, each := range [...][2]int{{r.CPU, into.CPU}, {r.Memory, into.Memory}, {r.GPU, into.GPU}} {
		if each[0] > 0 {
			count = min(count, max(each[1], 0)/each[0])
		}
	}
	return count
}

// Record is what a worker says of itself.
type Record struct {
	// ID names one life of the worker.
	ID       string
	Service  string
	Zone     string
	Capacity Resources
	Labels   []string
	// Draining is set once the worker is to leave.
	Draining bool
	// Sequence rises with each heartbeat of a life.
	Sequence uint64
	// Clock is the worker's own time at the heartbeat; nothing if unknown.
	Clock time.Duration
}

// HasLabel reports whether the worker carries a label.
func (r Record) HasLabel(label string) bool {
	for _, each := range r.Labels {
		if each == label {
			return true
		}
	}
	return false
}

// StartRequest is the wish to start a run.
type StartRequest struct {
	Name       string
	Run        uint32
	Payload    string
	Checkpoint string
	// LeaseUntil is the end of the lease on the worker's clock.
	LeaseUntil time.Duration
	Fence      uint64
}

// StopRequest is the wish to stop a run.
type StopRequest struct {
	Name  string
	Run   uint32
	Fence uint64
}

// RenewRequest is the wish to prolong the lease of all runs and to list them.
type RenewRequest struct {
	// LeaseUntil is the end of the lease on the worker's clock; nothing leaves it as it is.
	LeaseUntil      time.Duration
	Fence           uint64
	AcknowledgedEnd uint64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Reply is what every answer of a worker tells.
type Reply struct {
	// Clock is the worker's time when it answered; nothing if it did not say.
	Clock time.Duration
	// Received is when the answer came.
	Received time.Time
}

// StartResult is a worker's answer to a start; the types below are all there are.
type StartResult interface{ isStartResult() }

// StopResult is a worker's answer to a stop: Accepted, Fenced, NotReached, Unanswered, OtherLife or Unhealthy.
type StopResult interface{ isStopResult() }

// RenewResult is a worker's answer to a hold: Listing, Fenced, NotReached, Unanswered, OtherLife or Unhealthy.
type RenewResult interface{ isRenewResult() }

// Accepted says that the worker did as told.
type Accepted struct{ Reply }

// Fenced says that the worker has seen a higher fencing token.
type Fenced struct{ Reply }

// Outdated says that the run is not above one that was stopped or has ended there.
type Outdated struct{ Reply }

// TooLate says that the lease had run out before the start arrived.
type TooLate struct{ Reply }

// InsufficientResources says that the task does not fit.
type InsufficientResources struct{ Reply }

// Invalid says that the worker does not understand the call.
type Invalid struct {
	Reply
	Reason string
}

// Unhealthy says that the worker does nothing at present, and has done nothing.
type Unhealthy struct{ Reply }

// WrongIncarnation says that another life of the worker answers at the address.
type WrongIncarnation struct{ Reply }

// NotReached says that nothing listens at the worker's address.
type NotReached struct{ Reason string }

// Unanswered says that the call may have been carried out, or may be later.
type Unanswered struct{ Reason string }

// Run is a run that a worker lists.
type Run struct {
	Name       string
	Run        uint32
	Checkpoint string
	// Percent is the run's progress.
	Percent int
}

// Ending says how a run ended.
type Ending int

// The endings of a run.
const (
	EndingUnknown Ending = iota
	EndingDone
	EndingFailed
	EndingStopped
	// EndingLeaseExpired says that the lease ran out, or that other members of the run's gang ended.
	EndingLeaseExpired
)

// End is the end of a run; Number rises in each life of the worker.
type End struct {
	Number     uint64
	Name       string
	Run        uint32
	Ending     Ending
	Checkpoint string
}

// Listing is what runs at a worker, and what has ended.
type Listing struct {
	Reply
	Running []Run
	Ended   []End
}

func (Accepted) isStartResult()              {}
func (Fenced) isStartResult()                {}
func (Outdated) isStartResult()              {}
func (TooLate) isStartResult()               {}
func (InsufficientResources) isStartResult() {}
func (Invalid) isStartResult()               {}
func (Unhealthy) isStartResult()             {}
func (WrongIncarnation) isStartResult()      {}
func (NotReached) isStartResult()            {}
func (Unanswered) isStartResult()            {}

func (Accepted) isStopResult()         {}
func (Fenced) isStopResult()           {}
func (Outdated) isStopResult()         {}
func (Invalid) isStopResult()          {}
func (Unhealthy) isStopResult()        {}
func (WrongIncarnation) isStopResult() {}
func (NotReached) isStopResult()       {}
func (Unanswered) isStopResult()       {}

func (Listing) isRenewResult()          {}
func (Fenced) isRenewResult()           {}
func (Invalid) isRenewResult()          {}
func (Unhealthy) isRenewResult()        {}
func (WrongIncarnation) isRenewResult() {}
func (NotReached) isRenewResult()       {}
func (Unanswered) isRenewResult()       {}
