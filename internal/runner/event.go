// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package runner runs tasks on one worker for the entries that own them.
//
// It is a state machine without I/O: events go in with a time, effects come out. No task runs twice at a
// time: a start without an answer is settled by a stop and a listing before the task is run again.
package runner

import (
	"time"

	"sailhead/internal/worker"
)

// SessionID names one connection of an entry.
type SessionID uint64

// Task is one task that an entry wants run.
type Task struct {
	Name       string
	Run        uint32
	Payload    string
	Needs      worker.Resources
	Checkpoint string
	// MaxWait is how long the task may wait for room.
	MaxWait time.Duration
	// Expected is the usual time of the task.
	Expected time.Duration
	Priority int
	// IsDurable is set if the end must not be forgotten before the owner has noted it.
	IsDurable bool
}

// Event is what happens to a runner; the types below are all there are.
type Event interface{ isEvent() }

// SessionOpened is a new connection of an entry.
type SessionOpened struct {
	Session SessionID
	Entry   string
}

// SessionClosed is the end of a connection.
type SessionClosed struct{ Session SessionID }

// PongReceived is the echo of a ping that was sent at a time.
type PongReceived struct {
	Session SessionID
	Sent    time.Time
}

// StartRequested is an entry's wish to run a task; Number counts the starts of the session.
type StartRequested struct {
	Session SessionID
	Number  uint64
	Task    Task
}

// StopRequested is an entry's wish to end a task.
type StopRequested struct {
	Session SessionID
	Name    string
}

// EndAcknowledged says that an owner has noted the end of a run for good.
type EndAcknowledged struct {
	Name string
	Run  uint32
}

// HeartbeatReceived is a heartbeat of the worker.
type HeartbeatReceived struct{ Record worker.Record }

// WorkerRecalled is the worker as an earlier process of the agent knew it. It may have another life by now.
type WorkerRecalled struct{ Record worker.Record }

// WorkerLeft says that a life of the worker has ended.
type WorkerLeft struct{ ID string }

// StartAnswered is what became of a call to start a run.
type StartAnswered struct {
	Incarnation string
	Name        string
	Run         uint32
	Result      worker.StartResult
}

// StopAnswered is what became of a call to stop a run.
type StopAnswered struct {
	Incarnation string
	Name        string
	Run         uint32
	Result      worker.StopResult
}

// RenewAnswered is what became of a call to hold and list the runs, made at a time.
type RenewAnswered struct {
	Incarnation string
	Sent        time.Time
	LongPoll    bool
	Result      worker.RenewResult
}

// ShutdownRequested makes the runner take no new tasks.
type ShutdownRequested struct{}

// Ticked lets time pass.
type Ticked struct{}

func (SessionOpened) isEvent()     {}
func (SessionClosed) isEvent()     {}
func (PongReceived) isEvent()      {}
func (StartRequested) isEvent()    {}
func (StopRequested) isEvent()     {}
func (EndAcknowledged) isEvent()   {}
func (HeartbeatReceived) isEvent() {}
func (WorkerRecalled) isEvent()    {}
func (WorkerLeft) isEvent()        {}
func (StartAnswered) isEvent()     {}
func (StopAnswered) isEvent()      {}
func (RenewAnswered) isEvent()     {}
func (ShutdownRequested) isEvent() {}
func (Ticked) isEvent()            {}

// Effect is what a runner wants done; the types below are all there are.
type Effect interface{ isEffect() }

// CallStart starts a run at the worker. It must not be sent after Before.
type CallStart struct {
	Incarnation string
	Start       worker.StartRequest
	Before      time.Time
}

// CallStop stops a run at the worker.
type CallStop struct {
	Incarnation string
	Stop        worker.StopRequest
}

// CallRenew prolongs what runs at the worker and asks for its lists.
type CallRenew struct {
	Incarnation string
	Renew       worker.RenewRequest
}

// SendPing pings an entry.
type SendPing struct {
	Session SessionID
	Time    time.Time
}

// SendWorker describes the worker to an entry.
type SendWorker struct {
	Session SessionID
	Record  worker.Record
}

// SendLoad tells an entry the load, in which its starts up to Handled are counted.
type SendLoad struct {
	Session SessionID
	Handled uint64
	Load    Load
}

// SendUpdate tells an entry what became of a run.
type SendUpdate struct {
	Session SessionID
	Update  Update
}

// CloseSession ends a connection.
type CloseSession struct {
	Session SessionID
	Reason  string
}

func (CallStart) isEffect()    {}
func (CallStop) isEffect()     {}
func (CallRenew) isEffect()    {}
func (SendPing) isEffect()     {}
func (SendWorker) isEffect()   {}
func (SendLoad) isEffect()     {}
func (SendUpdate) isEffect()   {}
func (CloseSession) isEffect() {}

// Load is the state of the worker as entries are told.
type Load struct {
	Used         worker.Resources
	Accepts      bool
	ShuttingDown bool
	// Slowness is how many times its usual time a task takes here.
	Slowness float64
	// FailureRate is the share of the latest runs that failed.
	FailureRate float64
}

// Outcome says what became of a run.
type Outcome int

// The outcomes of a run. Only OutcomeNotStarted says that it surely did not begin.
const (
	OutcomeStarted Outcome = iota + 1
	OutcomeNotStarted
	OutcomeDone
	OutcomeFailed
	OutcomeStopped
	// OutcomeLost says that the run has surely ended with its worker's life or lease.
	OutcomeLost
)

// IsEnd reports whether the run has surely ended, or surely never began.
func (o Outcome) IsEnd() bool {
	return o != OutcomeStarted
}

// String returns the outcome as it is logged.
func (o Outcome) String() string {
	names := [...]string{"unknown", "started", "not_started", "done", "failed", "stopped", "lost"}
	if o < 0 || int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// Update is what became of a run.
type Update struct {
	Name       string
	Run        uint32
	Outcome    Outcome
	Reason     string
	Checkpoint string
	// Unacknowledged is set if the update goes to every entry, as nobody has noted the end yet.
	Unacknowledged bool
}
