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

// CallStart starts a run on the worker. Before is the end of the session's lease: the call must not be sent later.
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

// CallRenew extends the leases of the runs on the worker and requests a listing.
type CallRenew struct {
	Incarnation worker.Incarnation
	Renew       worker.RenewRequest
}

// SendPing sends a ping to an entry, which echoes Time.
type SendPing struct {
	Session SessionID
	Time    time.Time
}

// SendWorker sends the worker's record to an entry.
type SendWorker struct {
	Session SessionID
	Record  worker.Record
}

// SendLoad sends the load to an entry. Handled is the number of the latest start of the session that the load includes.
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

// SendCrash reports the crash of an incarnation of the worker to an entry. It precedes the outcomes of the runs, except of
// those whose start was answered only after the crash.
type SendCrash struct {
	Session SessionID
	Crash   Crash
}

// CloseSession closes the connection of a session. Reason is for the log.
type CloseSession struct {
	Session SessionID
	Reason  string
}

// EndDropped reports that an end which no owner has acknowledged is no longer resent, so its task may run again. It is
// for the log.
type EndDropped struct {
	Name    string
	Run     uint32
	Outcome Outcome
	Reason  string
}

// StoreEnds replaces the ends that the agent keeps in the platform's store, because no owner has acknowledged them.
type StoreEnds struct{ Ends []Update }

// IncarnationEnded reports that the worker's incarnation has ended, with the runs that ended with it. It is for the log.
type IncarnationEnded struct {
	Incarnation worker.Incarnation
	Reason      string
	// IsCrash is set if the worker ended without signing off.
	IsCrash bool
	// Evidence is what is known about the time of the end.
	Evidence EndEvidence
	// Runs are the runs that may have been on the worker, ordered by task name.
	Runs []EndedRun
}

// EndEvidence is what an agent knows about the end of an incarnation, for the log.
type EndEvidence struct {
	// SinceClosed is the time from the first connection that the worker closed until the end was detected, zero if it closed none.
	SinceClosed time.Duration
	// HadLongPoll is set if the worker closed a long poll that was waiting there.
	HadLongPoll bool
	// PollTook is how long the long poll that the worker closed had been pending, zero if it closed none.
	PollTook time.Duration
	// RoundTrip is the duration of the latest renewal that was answered without waiting, and SinceAnswered the time from the sending of
	// the latest answered call until the end was detected.
	RoundTrip     time.Duration
	SinceAnswered time.Duration
}

// EndedRun is a run that ended with the worker's incarnation.
type EndedRun struct {
	RunID
	// Age is the time from when the start was sent until the end of the incarnation was first detected. The run itself is younger.
	Age time.Duration
	// HasStarted is set if the worker had confirmed the run, and IsStopping if it was being stopped. WasRunning and WasLikelyRunning are as
	// in CrashedRun.
	HasStarted, IsStopping, WasRunning, WasLikelyRunning bool
}

// StopOverdue reports that a run has not ended some time after its stop was first sent. It is for the log and metrics.
type StopOverdue struct {
	RunID
	// IsAccepted is set if the worker has accepted the stop, and IsOrphan if an earlier process of the agent started the run.
	IsAccepted, IsOrphan bool
	// LeasedFor is the time from the first call of the stop until the time from which the worker's latest lease counts, negative if that is
	// earlier. Above zero the lease was extended after the stop.
	LeasedFor time.Duration
}

// EvacuationChanged reports that the worker's availability zone was evacuated or that its evacuation was revoked. It is
// for the log and metrics.
type EvacuationChanged struct {
	Zone        string
	IsEvacuated bool
	// Runs is the number of tasks that may be running on the worker.
	Runs int
}

// WorkerEjected reports that the worker was ejected: from now on it gets only probes, and tasks that ignore the
// ejection. It is for the log and metrics.
type WorkerEjected struct {
	Reason ejection.Reason
	// FailureRate is the same value as in Load.
	FailureRate float64
	// Kinds are the kinds of the runs that failed before the ejection.
	Kinds []string
}

// ProbeEnded reports the result of a probe. It is for the log and metrics.
type ProbeEnded struct {
	RunID
	Kind   string
	IsDone bool
}

// WorkerRestored reports that the ejection has ended; After is how long it lasted. It is for the log and metrics.
type WorkerRestored struct{ After time.Duration }

// SharesDivided reports the shares of the worker while several competitors wait for it, at most once per sharesInterval. It is for the log
// and metrics.
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
func (StoreEnds) isEffect()         {}
func (IncarnationEnded) isEffect()  {}
func (StopOverdue) isEffect()       {}
func (EvacuationChanged) isEffect() {}
func (WorkerEjected) isEffect()     {}
func (ProbeEnded) isEffect()        {}
func (WorkerRestored) isEffect()    {}
func (SharesDivided) isEffect()     {}

// Load is the state of the worker that entries use for placement.
type Load struct {
	// Used are the resources of the queued and active tasks and of the pending offers.
	Used worker.Resources
	// HasReservations is set while reservations wait that would use the resources that are free or become free next; see hasReservations.
	HasReservations bool
	// Accepts is false while new tasks are rejected; see rejectionReason. It is false while IsEjected is set.
	Accepts bool
	// KnowsAllEnds is set while the agent knows the ends of all runs that have ended on the worker; see knowsAllEnds.
	KnowsAllEnds bool
	// ShuttingDown is set while the agent shuts down.
	ShuttingDown bool
	// Slowness is the factor by which tasks currently take longer than is normal for this worker: 1 on a healthy worker.
	Slowness float64
	// TimeFactor is the factor by which tasks permanently take longer on this worker than entries expect. Zero means unknown.
	TimeFactor float64
	// FailureRate is the fraction of recent runs that failed, from 0 to 1.
	FailureRate float64
	// IsEjected is set while the worker is ejected (ejection.go) and there is no other reason to reject tasks.
	IsEjected bool
	// Headroom are the resources that longer tasks leave free for shorter ones, ordered by LongerThan.
	Headroom []shares.HeadroomBound
}

// Outcome is the state of a run as reported to an entry.
type Outcome int

// The outcomes of a run. The values are also used on the wire.
const (
	OutcomeStarted Outcome = iota + 1
	// OutcomeNotStarted guarantees that no run of the task has started on this worker.
	OutcomeNotStarted
	OutcomeDone
	OutcomeFailed
	OutcomeStopped
	// OutcomeLost means that the run ended with the worker's incarnation or when its lease expired; its result is unknown.
	OutcomeLost
)

// IsEnd reports whether the outcome is final: the run has ended or never started.
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
	// Reason explains the outcome, for logs and callers. It is empty for OutcomeStarted, OutcomeDone and resent ends.
	Reason string
	// Checkpoint is the position from which a later run can continue, or empty.
	Checkpoint string
	// Unacknowledged is set if the end is resent to all entries because no owner has acknowledged it yet.
	Unacknowledged bool
}
