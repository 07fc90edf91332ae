// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package worker holds the types in which the parts of sailhead speak of a worker and its runs.
package worker

import "time"

// Room is an amount of what a worker has: thousandths of a core, mebibytes and accelerators.
type Room struct {
	CPU    int
	Memory int
	GPU    int
}

// Plus returns the sum of two amounts.
func (r Room) Plus(other Room) Room {
	return Room{CPU: r.CPU + other.CPU, Memory: r.Memory + other.Memory, GPU: r.GPU + other.GPU}
}

// Minus returns the difference of two amounts.
func (r Room) Minus(other Room) Room {
	return Room{CPU: r.CPU - other.CPU, Memory: r.Memory - other.Memory, GPU: r.GPU - other.GPU}
}

// Times returns the amount n times.
func (r Room) Times(n int) Room {
	return Room{CPU: r.CPU * n, Memory: r.Memory * n, GPU: r.GPU * n}
}

// Fits reports whether the amount fits into the other.
func (r Room) Fits(into Room) bool {
	return r.CPU <= into.CPU && r.Memory <= into.Memory && r.GPU <= into.GPU
}

// Count returns how many times the amount fits into the other, up to a largest number.
func (r Room) Count(into Room, most int) int {
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
	Capacity Room
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

// Start is the wish to start a run.
type Start struct {
	Name       string
	Run        uint32
	Payload    string
	Checkpoint string
	// Until is the end of the lease on the worker's clock.
	Until time.Duration
	Fence uint64
}

// Stop is the wish to stop a run.
type Stop struct {
	Name  string
	Run   uint32
	Fence uint64
}

// Hold is the wish to prolong the lease of all runs and to list them.
type Hold struct {
	// Until is the end of the lease on the worker's clock; nothing leaves it as it is.
	Until    time.Duration
	Fence    uint64
	LastSeen uint64
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

// HoldResult is a worker's answer to a hold: Listing, Fenced, NotReached, Unanswered, OtherLife or Unhealthy.
type HoldResult interface{ isHoldResult() }

// Accepted says that the worker did as told.
type Accepted struct{ Reply }

// Fenced says that the worker has seen a higher fencing token.
type Fenced struct{ Reply }

// Outdated says that the run is not above one that was stopped or has ended there.
type Outdated struct{ Reply }

// TooLate says that the lease had run out before the start arrived.
type TooLate struct{ Reply }

// NoRoom says that the task does not fit.
type NoRoom struct{ Reply }

// Invalid says that the worker does not understand the call.
type Invalid struct {
	Reply
	Reason string
}

// Unhealthy says that the worker does nothing at present, and has done nothing.
type Unhealthy struct{ Reply }

// OtherLife says that another life of the worker answers at the address.
type OtherLife struct{ Reply }

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
	// EndingLapsed says that the lease ran out, or that other members of the run's gang ended.
	EndingLapsed
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

func (Accepted) isStartResult()   {}
func (Fenced) isStartResult()     {}
func (Outdated) isStartResult()   {}
func (TooLate) isStartResult()    {}
func (NoRoom) isStartResult()     {}
func (Invalid) isStartResult()    {}
func (Unhealthy) isStartResult()  {}
func (OtherLife) isStartResult()  {}
func (NotReached) isStartResult() {}
func (Unanswered) isStartResult() {}

func (Accepted) isStopResult()   {}
func (Fenced) isStopResult()     {}
func (Outdated) isStopResult()   {}
func (Invalid) isStopResult()    {}
func (Unhealthy) isStopResult()  {}
func (OtherLife) isStopResult()  {}
func (NotReached) isStopResult() {}
func (Unanswered) isStopResult() {}

func (Listing) isHoldResult()    {}
func (Fenced) isHoldResult()     {}
func (Invalid) isHoldResult()    {}
func (Unhealthy) isHoldResult()  {}
func (OtherLife) isHoldResult()  {}
func (NotReached) isHoldResult() {}
func (Unanswered) isHoldResult() {}
