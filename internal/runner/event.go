// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/evacuation"
	"sailhead/internal/worker"
)

// SessionID identifies a session of an entry within one process of the agent. Later sessions have higher IDs.
type SessionID uint64

// Task is a task that an entry sends to the agent to run.
type Task struct {
	// Name is JOB.0.STEP.INDEX and unique among all jobs.
	Name string
	// Run is the lowest run number to use. Each further start of the task uses a higher number.
	Run     uint32
	Payload string
	Needs   worker.Resources
	// Checkpoint is where an earlier run stopped, or empty to start from the beginning.
	Checkpoint string
	// MaxWait is how long the task may wait in the queue. If it is zero, the task is rejected unless it can start at once.
	MaxWait time.Duration
	// Expected is the usual run time of the task, or zero if unknown.
	Expected time.Duration
	// Urgency determines the order in which tasks start.
	Urgency Urgency
	// Offer is the offer whose resources the task uses, zero for none.
	Offer OfferID
	// IsSuspect is set if a worker has crashed while running the task; see suspect.go.
	IsSuspect bool
	// Kind is the kind of the job.
	Kind string
	// Estimate is the estimated run time of the task, even if it is based only on the caller's estimate.
	Estimate time.Duration
	// Weight is the weight of the kind in the shares of the worker. Zero means 1.
	Weight float64
	// IgnoresEjection is set if the task is to be started even if the worker is ejected.
	IgnoresEjection bool
	// KindFailureRate is the fraction of the runs of the kind, from 0 to 1, that fail or take far longer than expected on other workers.
	// Ejected workers count only if there are few others.
	KindFailureRate float64
	// IsContained is set if the kind of the job is contained; see containment.go.
	IsContained bool
	// IsDurable is set for a task of a durable job: the worker keeps the end of its run until an owner has acknowledged it.
	IsDurable bool
}

// Event is an input of Runner.Handle. It is one of the types declared below.
type Event interface{ isEvent() }

// SessionOpened reports a new session with an entry.
type SessionOpened struct {
	Session SessionID
	Entry   string
	// Zone is the availability zone of the entry, empty if unknown.
	Zone string
}

// SessionClosed reports that the connection of a session has ended.
type SessionClosed struct{ Session SessionID }

// PongReceived reports that an entry echoed a ping. Sent is when the agent sent the ping.
type PongReceived struct {
	Session SessionID
	Sent    time.Time
}

// StartRequested is an entry's request to run a task. Number is the sequence number of the request in the session, from one.
type StartRequested struct {
	Session SessionID
	Number  uint64
	Task    Task
}

// StopRequested is an entry's request to stop a queued or running task.
type StopRequested struct {
	Session SessionID
	Name    string
}

// ReservationRequested adds, replaces or cancels a reservation.
type ReservationRequested struct {
	Session     SessionID
	Reservation Reservation
}

// OfferAnswered reports that an entry has sent all starts that use an offer, so the unused part of it is free again.
type OfferAnswered struct {
	Session SessionID
	Offer   OfferID
}

// EndAcknowledged reports that the owner of a durable job has recorded the end of a run in the store.
type EndAcknowledged struct {
	Name string
	Run  uint32
}

// HeartbeatReceived reports a heartbeat of the worker.
type HeartbeatReceived struct{ Record worker.Record }

// StoredWorkerLoaded carries the worker's record that an earlier process of the agent stored. The worker may have
// restarted since then.
type StoredWorkerLoaded struct{ Record worker.Record }

// WorkerLeft reports that the worker has signed off.
type WorkerLeft struct {
	// Incarnation has no start time if the worker did not report one.
	Incarnation worker.Incarnation
}

// StartAnswered is the result of a CallStart that was sent at Sent and ended at Ended. Both times are before the event is handled.
type StartAnswered struct {
	Incarnation worker.Incarnation
	Name        string
	Run         uint32
	Sent        time.Time
	Ended       time.Time
	Result      worker.StartResult
}

// StopAnswered is the result of a CallStop.
type StopAnswered struct {
	Incarnation worker.Incarnation
	Name        string
	Run         uint32
	Result      worker.StopResult
}

// RenewAnswered is the result of a CallRenew with the fencing token Fence that was emitted at Sent. LongPoll is set if
// the call waited for the end of a run. Took is the duration of the call itself, without the delay before it was made,
// and Ended the time at which it ended.
type RenewAnswered struct {
	Incarnation worker.Incarnation
	Sent        time.Time
	Took        time.Duration
	Ended       time.Time
	Fence       uint64
	LongPoll    bool
	Result      worker.RenewResult
}

// EvacuationsReceived carries an entry's knowledge of the evacuated availability zones.
type EvacuationsReceived struct{ State evacuation.State }

// ShutdownRequested starts the shutdown: queued and new tasks are rejected, active tasks continue.
type ShutdownRequested struct{}

// Ticked is sent every TickInterval. Time-outs and periodic actions are checked then.
type Ticked struct{}

func (SessionOpened) isEvent()        {}
func (SessionClosed) isEvent()        {}
func (PongReceived) isEvent()         {}
func (StartRequested) isEvent()       {}
func (StopRequested) isEvent()        {}
func (ReservationRequested) isEvent() {}
func (OfferAnswered) isEvent()        {}
func (EndAcknowledged) isEvent()      {}
func (HeartbeatReceived) isEvent()    {}
func (StoredWorkerLoaded) isEvent()   {}
func (WorkerLeft) isEvent()           {}
func (StartAnswered) isEvent()        {}
func (StopAnswered) isEvent()         {}
func (RenewAnswered) isEvent()        {}
func (EvacuationsReceived) isEvent()  {}
func (ShutdownRequested) isEvent()    {}
func (Ticked) isEvent()               {}
