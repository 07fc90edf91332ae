// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/ejection"
	"sailhead/internal/shares"
	"sailhead/internal/worker"
)

// Effect is an action that Runner.Handle asks its caller to carry out. It is one of the types declared below.
type Effect interface{ isEffect() }

// CallStart starts a run on the worker. The call must not be sent after Before, the end of the session's lease.
type CallStart struct {
	Incarnation worker.Incarnation
	Start       worker.StartRequest
	Before      time.Time
}

// CallStop stops a run on the worker.
type CallStop struct {
	Incarnation worker.Incarnation
	Stop        worker.StopRequest
}

// CallRenew extends the leases of the runs on the worker and asks for a listing.
type CallRenew struct {
	Incarnation worker.Incarnation
	Renew       worker.RenewRequest
}

// SendPing sends a ping with its time to an entry.
type SendPing struct {
	Session SessionID
	Time    time.Time
}

// SendWorker sends the worker's record to an entry.
type SendWorker struct {
	Session SessionID
	Record  worker.Record
}

// SendLoad sends the load to an entry. It includes the starts of the session up to the number Handled.
type SendLoad struct {
	Session SessionID
	Handled uint64
	Load    Load
}

// SendUpdate sends the state of a run to an entry.
type SendUpdate struct {
	Session SessionID
	Update  Update
}

// SendOffer offers resources to an entry.
type SendOffer struct {
	Session SessionID
	Offer   Offer
}

// SendCrash reports the crash of an incarnation of the worker to an entry. It comes before the outcomes of the runs.
type SendCrash struct {
	Session SessionID
	Crash   Crash
}

// CloseSession closes the connection of a session. Reason is for the log.
type CloseSession struct {
	Session SessionID
	Reason  string
}

// EndDropped reports an end that no owner has acknowledged and that is not resent any more, so its task may run again. It is
// for the log.
type EndDropped struct {
	Name    string
	Run     uint32
	Outcome Outcome
	Reason  string
}

// IncarnationEnded reports that the worker's incarnation has ended, with the runs that ended with it. It is for the log.
type IncarnationEnded struct {
	Incarnation worker.Incarnation
	Reason      string
	// IsCrash is set if it ended without having said so.
	IsCrash bool
	// Evidence is what is known of when it ended.
	Evidence EndEvidence
	// Runs are those that may have been on the worker, in the order of their tasks' names.
	Runs []EndedRun
}

// EndEvidence is what an agent knows of the end of an incarnation, for the log.
type EndEvidence struct {
	// SinceClosed is how long before the end was noticed the worker closed the first connection, zero if it closed none.
	SinceClosed time.Duration
	// HadLongPoll is set if it closed a long poll that had waited there.
	HadLongPoll bool
	// PollTook is how long the long poll had been under way that it closed, zero if it closed none.
	PollTook time.Duration
	// RoundTrip is how long the latest renewal took that was answered at once, and AnsweredFor how long before the end was noticed it was sent.
	RoundTrip     time.Duration
	SinceAnswered time.Duration
}

// EndedRun is a run that ended with the worker's incarnation.
type EndedRun struct {
	RunID
	// Age is the time from when the start was sent until the end of the incarnation was first noticed. The run itself is younger.
	Age time.Duration
	// HasStarted is set if the worker had confirmed the run, IsStopping if it was being stopped, and WasRunning if it was running for certain.
	HasStarted, IsStopping, WasRunning bool
}

// EvacuationChanged reports that the worker's availability zone was evacuated or taken back. It is for the log and metrics.
type EvacuationChanged struct {
	Zone        string
	IsEvacuated bool
	// Runs is how many tasks may be on the worker.
	Runs int
}

// WorkerEjected reports that the worker gets no tasks but probes. It is for the log and metrics.
type WorkerEjected struct {
	Reason ejection.Reason
	// FailureRate is that of the load.
	FailureRate float64
	// Kinds are those of the runs that failed before.
	Kinds []string
}

// ProbeEnded reports how a probe went. It is for the log and metrics.
type ProbeEnded struct {
	RunID
	Kind   string
	IsDone bool
}

// WorkerRestored reports that the worker is in service again, some time after it was ejected. It is for the log and metrics.
type WorkerRestored struct{ After time.Duration }

// SharesDivided reports how the worker is divided while several competitors wait for it, once in a while. It is for the log and metrics.
type SharesDivided struct{ Shares []shares.Share }

func (CallStart) isEffect()         {}
func (CallStop) isEffect()          {}
func (CallRenew) isEffect()         {}
func (SendPing) isEffect()          {}
func (SendWorker) isEffect()        {}
func (SendLoad) isEffect()          {}
func (SendUpdate) isEffect()        {}
func (SendOffer) isEffect()         {}
func (SendCrash) isEffect()         {}
func (CloseSession) isEffect()      {}
func (EndDropped) isEffect()        {}
func (IncarnationEnded) isEffect()  {}
func (EvacuationChanged) isEffect() {}
func (WorkerEjected) isEffect()     {}
func (ProbeEnded) isEffect()        {}
func (WorkerRestored) isEffect()    {}
func (SharesDivided) isEffect()     {}

// Load is the state of the worker that entries use for placement.
type Load struct {
	// Used is what the queued and running tasks need, and what is offered.
	Used worker.Resources
	// HasReservations is set while reservations wait that would use what is free or becomes free next; see hasReservations.
	HasReservations bool
	// Accepts is false while new tasks are rejected; see refusalReason. It is false while IsEjected is set.
	Accepts bool
	// KnowsAllEnds is set while the agent has heard of all runs that have ended on the worker; see hasHeard.
	KnowsAllEnds bool
	// ShuttingDown is set while the agent shuts down.
	ShuttingDown bool
	// Slowness is the factor by which tasks here take longer than usual on this worker: 1 on a healthy one.
	Slowness float64
	// TimeFactor is the factor by which tasks take longer on this worker than entries expect, for good. Zero is unknown.
	TimeFactor float64
	// FailureRate is the share of recent runs that failed, from 0 to 1.
	FailureRate float64
	// IsEjected is set while the worker is ejected (ejection.go) and nothing else keeps it from accepting tasks.
	IsEjected bool
	// Headroom is what tasks leave free for shorter ones, in the order of LongerThan.
	Headroom []shares.Bound
}

// Outcome is the state of a run as reported to an entry.
type Outcome int

// The outcomes of a run. Their values are those on the wire.
const (
	OutcomeStarted Outcome = iota + 1
	// OutcomeNotStarted guarantees that no run of the task began here.
	OutcomeNotStarted
	OutcomeDone
	OutcomeFailed
	OutcomeStopped
	// OutcomeLost means that the run ended with the worker's incarnation or with its lease; its result is unknown.
	OutcomeLost
)

// IsEnd reports whether the outcome is final: the run has ended or never began.
func (o Outcome) IsEnd() bool {
	return o != OutcomeStarted
}

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	names := [...]string{"unknown", "started", "not_started", "done", "failed", "stopped", "lost"}
	if o < 0 || int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// Update reports the state of a run to an entry.
type Update struct {
	Name    string
	Run     uint32
	Outcome Outcome
	// Reason explains the outcome, for logs and callers. Empty for OutcomeStarted, OutcomeDone and resent ends.
	Reason string
	// Checkpoint is where the run stopped, or empty.
	Checkpoint string
	// Unacknowledged is set if the end is resent to all entries because no owner has acknowledged it yet.
	Unacknowledged bool
}
