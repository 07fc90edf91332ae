// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package worker

import (
	"slices"
	"time"
)

// Resources is what a worker has or a task needs. The zero value is none.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int
	// Memory is in mebibytes.
	Memory int
	// GPU is a number of accelerators.
	GPU int
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, Memory: r.Memory + other.Memory, GPU: r.GPU + other.GPU}
}

// Minus returns r less other. Parts of the result may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, Memory: r.Memory - other.Memory, GPU: r.GPU - other.GPU}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: r.CPU * n, Memory: r.Memory * n, GPU: r.GPU * n}
}

// Fits reports whether no part of r is larger than that of into.
func (r Resources) Fits(into Resources) bool {
	return r.CPU <= into.CPU && r.Memory <= into.Memory && r.GPU <= into.GPU
}

// Count returns how many times r fits into another amount, but at most limit.
func (r Resources) Count(into Resources, limit int) int {
	count := limit
	for _, each := range [...][2]int{{r.CPU, into.CPU}, {r.Memory, into.Memory}, {r.GPU, into.GPU}} {
		if each[0] > 0 {
			count = min(count, max(each[1], 0)/each[0])
		}
	}
	return count
}

// Record describes an incarnation of a worker, as its heartbeat does.
type Record struct {
	// ID is the worker's own identifier. A worker that starts again may keep it.
	ID string
	// StartedMillis is when the incarnation started, in milliseconds since 1970 on the worker's VM, or zero if the worker
	// does not tell it.
	StartedMillis int64 `json:",omitempty"`
	// Service is the service that the worker provides; each kind of job names the one that it needs.
	Service string
	// Zone is the worker's availability zone.
	Zone     string
	Capacity Resources
	Labels   []string
	// Draining is set once the worker is about to be removed: it gets no new tasks.
	Draining bool
	// Sequence grows with each heartbeat of an incarnation.
	Sequence uint64
	// Clock is the worker's clock at the heartbeat, or zero if unknown. Leases are times on this clock.
	Clock time.Duration
}

// Incarnation returns the identity of the incarnation.
func (r Record) Incarnation() Incarnation {
	return Incarnation{ID: r.ID, StartedMillis: r.StartedMillis}
}

// HasServiceAndZoneOf reports whether the record has the service and the zone of another one. An incarnation keeps both.
func (r Record) HasServiceAndZoneOf(other Record) bool {
	return r.Service == other.Service && r.Zone == other.Zone
}

// IsUsable reports whether the record names a worker: it has an id and a service, and no negative capacity.
func (r Record) IsUsable() bool {
	return r.ID != "" && r.Service != "" && (Resources{}).Fits(r.Capacity)
}

// HasLabel reports whether the worker has a label.
func (r Record) HasLabel(label string) bool {
	return slices.Contains(r.Labels, label)
}

// StartRequest starts a run of a task.
type StartRequest struct {
	// Name is the name of the task.
	Name string
	// Run has to be higher than that of any run of the task which the worker has seen end or stop.
	Run     uint32
	Payload string
	// Checkpoint is where an earlier run stopped, or empty.
	Checkpoint string
	// LeaseUntil is the end of the run's lease on the worker's clock.
	LeaseUntil time.Duration
	// Fence is the fencing token. The worker rejects a call with a lower token than it has seen.
	Fence uint64
}

// StopRequest stops the run of a task if its number is Run or lower. From then on the worker rejects starts of the task up
// to that number, also those that are still under way.
type StopRequest struct {
	Name  string
	Run   uint32
	Fence uint64
}

// RenewRequest extends the leases of all runs on the worker and asks for a listing.
type RenewRequest struct {
	// LeaseUntil is the new end of the leases on the worker's clock. Zero does not extend them.
	LeaseUntil time.Duration
	Fence      uint64
	// AcknowledgedEnd is the number of the last end that the worker may forget. Zero is none.
	AcknowledgedEnd uint64
	// Wait is how long the worker may wait for a run to end before it answers. Zero answers at once.
	Wait time.Duration
}

// Run is a run that a worker lists as running.
type Run struct {
	// Name is the name of the task.
	Name string
	Run  uint32
	// Checkpoint is the latest checkpoint of the run, or empty.
	Checkpoint string
	// Percent is the run's progress, from 0 to 100.
	Percent int
}

// Ending is the way in which a run ended.
type Ending int

// The endings of a run.
const (
	// EndingUnknown is an ending that this version does not know.
	EndingUnknown Ending = iota
	EndingDone
	EndingFailed
	EndingStopped
	// EndingLeaseExpired is a run that the worker ended because its lease expired or because a run ended that it was
	// started together with.
	EndingLeaseExpired
)

// End is the end of a run. The worker lists it until it is acknowledged.
type End struct {
	// Number counts the ends of an incarnation from one.
	Number uint64
	// Name is the name of the task.
	Name   string
	Run    uint32
	Ending Ending
	// Checkpoint is the last checkpoint of the run, or empty.
	Checkpoint string
}

// Listing is the answer to a renewal: the runs on the worker and the ends that are not acknowledged. A worker may leave
// out a run that it is stopping.
type Listing struct {
	Reply
	// StartedMillis is that of the incarnation which answered, or zero if the worker does not tell it.
	StartedMillis int64
	Running       []Run
	Ended         []End
}
