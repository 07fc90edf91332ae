// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package worker

import (
	"slices"
	"time"
)

// Resources is the amount of resources that a worker has or a task needs.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int
	// Memory is in MiB.
	Memory int
	// GPU is the number of accelerators.
	GPU int
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, Memory: r.Memory + other.Memory, GPU: r.GPU + other.GPU}
}

// Minus returns r minus other. Fields of the result may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, Memory: r.Memory - other.Memory, GPU: r.GPU - other.GPU}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: r.CPU * n, Memory: r.Memory * n, GPU: r.GPU * n}
}

// Fits reports whether r fits into the given amount, that is, no field of r is larger.
func (r Resources) Fits(into Resources) bool {
	return r.CPU <= into.CPU && r.Memory <= into.Memory && r.GPU <= into.GPU
}

// Count returns how many times r fits into the given amount, at most limit.
func (r Resources) Count(into Resources, limit int) int {
	count := limit
	for _, each := range [...][2]int{{r.CPU, into.CPU}, {r.Memory, into.Memory}, {r.GPU, into.GPU}} {
		if each[0] > 0 {
			count = min(count, max(each[1], 0)/each[0])
		}
	}
	return count
}

// Record describes an incarnation of a worker, as reported by its heartbeats.
type Record struct {
	// ID is the identifier that the worker reports. It may stay the same when the worker restarts.
	ID string
	// StartedMillis is the start time of the incarnation as Unix milliseconds of the worker's VM, or zero if the worker does not report it.
	StartedMillis int64 `json:",omitempty"`
	// Service is the service that the worker provides; each kind of job names the service that it needs.
	Service string
	// Zone is the worker's availability zone.
	Zone     string
	Capacity Resources
	Labels   []string
	// Draining is true once the worker is about to be removed: no new tasks are placed on it.
	Draining bool
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
	// Clock is the worker's clock at the time of the heartbeat, or zero if unknown. Lease expiry times refer to this clock.
	Clock time.Duration
}

// Incarnation returns the incarnation that the record describes.
func (r Record) Incarnation() Incarnation {
	return Incarnation{ID: r.ID, StartedMillis: r.StartedMillis}
}

// SameServiceAndZone reports whether both records have the same service and zone. Neither changes during an incarnation.
func (r Record) SameServiceAndZone(other Record) bool {
	return r.Service == other.Service && r.Zone == other.Zone
}

// IsValid reports whether the record is valid: it has an ID and a service, and no negative capacity.
func (r Record) IsValid() bool {
	return r.ID != "" && r.Service != "" && (Resources{}).Fits(r.Capacity)
}

// HasLabel reports whether the worker has the given label.
func (r Record) HasLabel(label string) bool {
	return slices.Contains(r.Labels, label)
}

// StartRequest starts a run of a task.
type StartRequest struct {
	// Name is the name of the task.
	Name string
	// Run is the number of the run. It must be higher than that of any run of the task that has ended or was stopped on the worker.
	Run     uint32
	Payload string
	// Checkpoint is the checkpoint from which the run resumes, or empty.
	Checkpoint string
	// LeaseUntil is when the run's lease expires, on the worker's clock.
	LeaseUntil time.Duration
	// Fence is the fencing token. The worker rejects calls with a lower token than the highest one it has seen.
	Fence uint64
}

// StopRequest stops the run of a task if its number is Run or lower. From then on the worker rejects start requests of the task up to that
// number, including delayed ones that are still in flight.
type StopRequest struct {
	Name  string
	Run   uint32
	Fence uint64
}

// RenewRequest extends the leases of all runs on the worker and requests a listing.
type RenewRequest struct {
	// LeaseUntil is when the leases expire from now on, on the worker's clock. Zero does not extend them.
	LeaseUntil time.Duration
	Fence      uint64
	// AcknowledgedEnd is the number of the last end that the worker may discard. Zero is none.
	AcknowledgedEnd uint64
	// Wait is how long the worker may wait for a run to end before it answers (long polling). With zero it answers immediately.
	Wait time.Duration
}

// Run is a run in progress, as listed by a worker.
type Run struct {
	// Name is the name of the task.
	Name string
	Run  uint32
	// Checkpoint is the latest checkpoint of the run, or empty.
	Checkpoint string
	// Percent is the progress of the run, 0 to 100.
	Percent int
}

// Ending is the way in which a run ended.
type Ending int

// Possible endings of a run.
const (
	// EndingUnknown is an ending that this version does not recognise.
	EndingUnknown Ending = iota
	EndingDone
	EndingFailed
	EndingStopped
	// EndingLeaseExpired means that the worker ended the run because its lease expired, or because another run that was started together
	// with it ended.
	EndingLeaseExpired
)

// End records that a run ended. The worker lists it until it is acknowledged.
type End struct {
	// Number is the sequence number of the end within the incarnation, starting at one.
	Number uint64
	// Name is the name of the task.
	Name   string
	Run    uint32
	Ending Ending
	// Checkpoint is the last checkpoint of the run, or empty.
	Checkpoint string
}

// Listing is the answer to a renewal: the runs on the worker and the ends that have not been acknowledged. A worker may omit a run that it
// is stopping.
type Listing struct {
	Reply
	// StartedMillis is the start time of the incarnation that answered, or zero if the worker does not report it.
	StartedMillis int64
	Running       []Run
	Ended         []End
}
