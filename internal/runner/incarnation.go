// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"slices"
	"time"

	"sailhead/internal/worker"
)

// maxEndedIncarnations is how many ended incarnations of the worker are remembered, so that their late heartbeats and
// a stale record in the store are ignored. Design: heartbeats are late by seconds, and a worker takes seconds to restart.
const maxEndedIncarnations = 32

// incarnation is what the runner knows of the current incarnation of the worker.
type incarnation struct {
	record worker.Record
	// firstSeen is when this process learned of the incarnation.
	firstSeen time.Time
	// used is the sum of what the active tasks need.
	used worker.Resources
	// suspect is the task beside which nothing is started at present, or nil; see suspect.go.
	suspect *task
	// contained is the contained job that was started last; see containment.go.
	contained containedJob
	// lastEndNumber is the number of the last end that was applied, and lastEnd when that was.
	lastEndNumber uint64
	lastEnd       time.Time
	// unacknowledged are the ends that the worker has to remember, by their numbers.
	unacknowledged map[uint64]*unacknowledgedEnd
	// lastAnswered is when the latest renewal that was answered had been sent.
	lastAnswered time.Time
	// askedAt is when the first renewal after that was sent that is no long poll, zero if none was: nothing is known then.
	askedAt time.Time
	// closing is how the worker has closed its connections since then.
	closing closing
	// roundTrip is how long the latest renewal took that was answered at once. Zero before the first one.
	roundTrip time.Duration
	// lastRenewal is when a lease was last requested, by a start or a renewal. Zero before the first one.
	lastRenewal time.Time
	// lastRenewSent is when the latest renewal that is no long poll was sent, with or without a lease.
	lastRenewSent time.Time
	// longPolling is set while a long poll waits at the worker. The next one is not sent before longPollAfter.
	longPolling   bool
	longPollAfter time.Time
	// clock is the worker's clock as read at clockRead. Zero while it is unknown.
	clock     time.Duration
	clockRead time.Time
	// orphans are the stops of runs that this process did not start, by the names of the tasks.
	orphans map[string]*stop
	// isSurveyed is set once all runs that an earlier process may have left are known; see orphan.go.
	isSurveyed bool
	// unhealthyUntil is when a worker that rejected a call as unhealthy accepts tasks again.
	unhealthyUntil time.Time
	// fullUntil is when a worker that rejected a start for lack of resources is tried again.
	fullUntil time.Time
}

func newIncarnation(now time.Time, record worker.Record) *incarnation {
	return &incarnation{
		record:         record,
		firstSeen:      now,
		lastAnswered:   now,
		orphans:        make(map[string]*stop),
		unacknowledged: make(map[uint64]*unacknowledgedEnd),
	}
}

// readClock stores a reading of the worker's clock. It is at least as old as the answer that carried it, so a lease
// computed from it ends no later than intended.
func (i *incarnation) readClock(clock time.Duration, received time.Time) {
	if clock <= 0 {
		return
	}
	i.clock = clock
	i.clockRead = received
}

// handleHeartbeat applies a heartbeat. Those of ended incarnations and those overtaken by a later one are ignored, and those of
// another incarnation than the current one lead to a question to the worker (candidate.go).
func (r *Runner) handleHeartbeat(now time.Time, record worker.Record) {
	switch {
	case r.hasEnded(record.ID):
	case r.worker == nil:
		r.beginIncarnation(now, record)
	case r.worker.record.ID != record.ID:
		r.handleUnknownIncarnation(record)
	case record.Service != r.worker.record.Service, record.Zone != r.worker.record.Zone:
		// An incarnation keeps both, so this heartbeat is of another writer.
	case record.Sequence >= r.worker.record.Sequence:
		r.updateRecord(now, record)
	}
}

// beginIncarnation replaces the current incarnation of the worker by a new one, which ends all runs of the old one.
func (r *Runner) beginIncarnation(now time.Time, record worker.Record) {
	if r.worker != nil {
		r.rememberEnded(r.worker.record.ID)
	}
	r.endIncarnation(now, endReplaced)
	r.worker = newIncarnation(now, record)
	r.hadWorker = true
	r.health = health{}
	r.worker.readClock(record.Clock, now)
	r.announceWorker()
	r.renew(now)
}

// handleRecalled applies the record that an earlier process of the agent stored, unless a heartbeat came first. The
// record has no clock, so the worker gets no task before it has answered a renewal.
func (r *Runner) handleRecalled(now time.Time, record worker.Record) {
	if r.worker == nil && !r.hasEnded(record.ID) {
		r.handleHeartbeat(now, record)
	}
}

// updateRecord applies a later heartbeat of the current incarnation.
func (r *Runner) updateRecord(now time.Time, record worker.Record) {
	changed := record.Draining != r.worker.record.Draining || record.Capacity != r.worker.record.Capacity
	r.worker.record = record
	r.worker.readClock(record.Clock, now)
	if !changed {
		return
	}
	r.announceWorker()
	if record.Draining {
		r.rejectQueued(reasonDraining, anyTask)
	}
}

func (r *Runner) handleWorkerLeft(now time.Time, id string) {
	if r.worker != nil && r.worker.record.ID == id {
		r.endIncarnation(now, endLeft)
	}
	r.rememberEnded(id)
}

// handleWorkerState applies what a result of any call says about the worker itself: whether it still exists, and
// whether it is healthy. Other results change nothing.
func (r *Runner) handleWorkerState(now time.Time, incarnation string, result worker.Result) {
	if r.worker == nil || r.worker.record.ID != incarnation {
		return
	}
	switch result.(type) {
	case worker.NotReached:
		r.endIncarnation(now, endNotListening)
	case worker.WrongIncarnation:
		r.rememberEnded(incarnation)
		r.endIncarnation(now, endOtherAnswers)
	case worker.Unhealthy:
		r.worker.unhealthyUntil = now.Add(unhealthyBackoff)
		r.markLoadDue()
	}
}

// incarnationEnd is how an incarnation ended. The texts are reasons of outcomes, for logs and callers.
type incarnationEnd string

// The ends of an incarnation.
const (
	endReplaced     incarnationEnd = "another life of the worker began"
	endOtherAnswers incarnationEnd = "another incarnation of the worker answers"
	endNotListening incarnationEnd = "the worker does not listen"
	// endLeft is the only one that the worker announces.
	endLeft incarnationEnd = "the worker has left"
)

// isCrash reports whether the incarnation has crashed. A draining worker may end at any time without it.
func (e incarnationEnd) isCrash(record worker.Record) bool {
	return e != endLeft && !record.Draining
}

// endIncarnation reports all runs of the current incarnation as lost, and its crash if it was one. After NotReached it may
// begin again with the next heartbeat: only rememberEnded excludes it.
func (r *Runner) endIncarnation(now time.Time, end incarnationEnd) {
	if r.worker == nil {
		return
	}
	record, evidence := r.worker.record, r.worker.evidence(now)
	r.retainEarlierEnds(r.worker)
	r.dropAllReservations()
	active := r.active()
	runs := r.worker.crashedRuns(active, evidence)
	r.worker = nil
	if end.isCrash(record) {
		r.reportCrash(now, Crash{Incarnation: record.ID, Runs: runs})
	}
	ended := IncarnationEnded{ID: record.ID, Reason: string(end), IsCrash: end.isCrash(record)}
	for _, t := range active {
		ended.Runs = append(ended.Runs, EndedRun{RunID: t.id(), Age: evidence.ageOf(t)})
	}
	r.emit(ended)
	for _, t := range active {
		r.finish(t, OutcomeLost, string(end))
	}
	r.markLoadDue()
}

func (r *Runner) hasEnded(id string) bool {
	return slices.Contains(r.endedIncarnations, id)
}

func (r *Runner) rememberEnded(id string) {
	if r.hasEnded(id) {
		return
	}
	r.endedIncarnations = append(r.endedIncarnations, id)
	if len(r.endedIncarnations) > maxEndedIncarnations {
		r.endedIncarnations = r.endedIncarnations[1:]
	}
}
