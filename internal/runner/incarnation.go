// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"slices"
	"time"

	"sailhead/internal/worker"
)

// maxEndedIncarnations is the number of ended incarnations of the worker that are remembered, so that their delayed
// heartbeats and a stale record in the store are ignored.
const maxEndedIncarnations = 32

// incarnation is the state of the current incarnation of the worker.
type incarnation struct {
	record worker.Record
	// isDescribed is set once a heartbeat or a stored record has described the incarnation; see restart.go.
	isDescribed bool
	// firstSeen is when this agent process learned of the incarnation.
	firstSeen time.Time
	// used is the sum of the resources of the active tasks.
	used worker.Resources
	// usedByKind is the CPU used by the active tasks of each kind, in thousandths of a core, without kinds that use
	// none; see addUsage.
	usedByKind map[string]int
	// suspect is the task that is isolated at present, or nil; see suspect.go.
	suspect *task
	// contained is the contained job that was started last; see containment.go.
	contained containedJob
	// lastEndNumber is the number of the latest applied end, and lastEnd the time at which it was applied.
	lastEndNumber uint64
	lastEnd       time.Time
	// unacknowledged are the ends that the worker must keep, by number.
	unacknowledged map[uint64]*unacknowledgedEnd
	// lastAnswered is when the latest answered renewal was sent.
	lastAnswered time.Time
	// lastAccepted is when the latest accepted start was sent.
	lastAccepted time.Time
	// refusedAt is when the call was made that found nobody listening, or zero if there was none.
	refusedAt time.Time
	// askedAt is when the first renewal after the latest answered one, other than a long poll, was sent, or zero if
	// there was none. If it is zero, the lack of an answer shows nothing.
	askedAt time.Time
	// connectionLoss records how connections to the worker have ended since its latest answer.
	connectionLoss connectionLoss
	// roundTrip is the duration of the latest renewal that was refused or answered at once, or zero before the first
	// one.
	roundTrip time.Duration
	// leasedFrom is the time from which the latest requested lease is counted, or zero before the first one.
	leasedFrom time.Time
	// lastRenewSent is when the latest renewal other than a long poll was sent, with or without a lease.
	lastRenewSent time.Time
	// longPolling is set while a long poll is in progress. The next one is not sent before longPollAfter.
	longPolling   bool
	longPollAfter time.Time
	// clock is the worker's clock as read at clockRead, or zero if it is unknown.
	clock     time.Duration
	clockRead time.Time
	// listed is the clock reading of the latest listing. Unlike answers to other calls, a listing identifies the
	// process that sent it.
	listed worker.Reply
	// orphans are the stops of runs that this agent process did not start, by task name.
	orphans map[string]*stop
	// knowsAllRuns is set once all runs that an earlier agent process may have left are known; see orphan.go.
	knowsAllRuns bool
	// reportsProgress is set once the worker has listed a run with a progress above zero.
	reportsProgress bool
	// wasUnresponsive is set if the worker was unresponsive at the latest tick.
	wasUnresponsive bool
	// wasLeaseHeldBack is set if the lease was held back at the latest tick; see lease.go.
	wasLeaseHeldBack bool
	// unhealthyUntil is when a worker that rejected a call as unhealthy is tried again.
	unhealthyUntil time.Time
	// fullUntil is when a worker that rejected a start for lack of resources is tried again.
	fullUntil time.Time
}

func newIncarnation(now time.Time, record worker.Record) *incarnation {
	return &incarnation{
		record:         record,
		isDescribed:    true,
		firstSeen:      now,
		lastAnswered:   now,
		usedByKind:     make(map[string]int),
		orphans:        make(map[string]*stop),
		unacknowledged: make(map[uint64]*unacknowledgedEnd),
	}
}

// hasStartTime reports whether the worker reports the start time of its process. Such a worker may restart under the same
// ID.
func (i *incarnation) hasStartTime() bool { return i.record.StartedMillis != 0 }

// addUsage adds CPU, in thousandths of a core, to the usage of a kind. Kinds without usage are removed, because their
// names come from entries.
func (i *incarnation) addUsage(kind string, cpu int) {
	i.usedByKind[kind] += cpu
	if i.usedByKind[kind] == 0 {
		delete(i.usedByKind, kind)
	}
}

// readClock stores a reading of the worker's clock. The reading is at least as old as the answer that carried it, so a
// lease computed from it ends no later than intended.
func (i *incarnation) readClock(clock time.Duration, received time.Time) {
	if clock <= 0 {
		return
	}
	i.clock = clock
	i.clockRead = received
}

// isCurrent reports whether an incarnation is the current one.
func (r *Runner) isCurrent(incarnation worker.Incarnation) bool {
	return r.worker != nil && r.worker.record.Incarnation() == incarnation
}

// handleHeartbeat applies a heartbeat. Heartbeats of ended incarnations and those older than the latest one are
// ignored. For a heartbeat of an incarnation other than the current one, the worker is asked whether it is that
// incarnation (candidate.go).
func (r *Runner) handleHeartbeat(now time.Time, record worker.Record) {
	switch {
	case r.hasEnded(record.Incarnation()):
	case r.worker == nil:
		r.beginIncarnation(now, record)
	case r.lacksStartTime(record):
	case !r.isCurrent(record.Incarnation()):
		r.handleUnknownIncarnation(record)
	case r.worker.isDescribed && !r.worker.record.SameServiceAndZone(record):
		// An incarnation never changes its service or zone, so another writer sent this heartbeat.
	case record.Sequence >= r.worker.record.Sequence:
		r.updateRecord(now, record)
	}
}

// beginIncarnation replaces the current incarnation of the worker. All runs of the old one end unless the new one has
// the same ID; see restart.go.
func (r *Runner) beginIncarnation(now time.Time, record worker.Record) {
	if r.worker != nil && record.Incarnation().IsRestartOf(r.worker.record.Incarnation()) {
		r.restart(now, newIncarnation(now, record))
		return
	}
	if r.worker != nil {
		r.rememberEnded(r.worker.record.Incarnation())
	}
	r.endIncarnation(now, endReplaced)
	r.beginWith(now, newIncarnation(now, record))
}

// beginWith makes an incarnation the current one and requests a listing. Calls to an earlier process with the same ID
// may still be in transit; the higher fencing token makes the worker reject them.
func (r *Runner) beginWith(now time.Time, w *incarnation) {
	if r.hadWorker && w.hasStartTime() {
		r.fence += checkStep
	}
	r.worker = w
	r.hadWorker = true
	r.health = health{}
	r.speed, r.sentTimeFactor = speed{}, speed{}.timeFactor()
	r.ejection.detector.Restarted(now)
	w.readClock(w.record.Clock, now)
	for _, t := range r.active() {
		r.carryOver(now, t)
	}
	r.announceWorker()
	r.renew(now)
}

// handleStoredWorker applies the record that an earlier agent process stored, unless a heartbeat arrived first. The record
// contains no clock reading, so the worker gets no tasks before it has answered a renewal.
func (r *Runner) handleStoredWorker(now time.Time, record worker.Record) {
	if r.worker == nil && !r.hasEnded(record.Incarnation()) {
		r.handleHeartbeat(now, record)
	}
}

// updateRecord applies a later heartbeat of the current incarnation.
func (r *Runner) updateRecord(now time.Time, record worker.Record) {
	w := r.worker
	changed := !w.isDescribed || record.Draining != w.record.Draining || record.Capacity != w.record.Capacity
	w.isDescribed = true
	w.record = record
	w.readClock(record.Clock, now)
	if !changed {
		return
	}
	r.announceWorker()
	if record.Draining {
		r.rejectQueued(reasonDraining, anyTask)
	}
}

// handleWorkerLeft applies a sign-off. A sign-off without a start time may come from an earlier process with the same
// ID: if the start time of the current one is known, a renewal checks whether it still exists.
func (r *Runner) handleWorkerLeft(now time.Time, e WorkerLeft) {
	incarnation := e.Incarnation
	if r.worker != nil && incarnation.StartedMillis == 0 && incarnation.IsRestartOf(r.worker.record.Incarnation()) {
		r.requestListing(now)
		return
	}
	if r.isCurrent(incarnation) {
		r.endIncarnation(now, endLeft)
	}
	r.rememberEnded(incarnation)
}

// handleWorkerState applies what the result of a call shows about the worker itself: whether it still exists and
// whether it is healthy. Other results have no effect. made is when the call was made.
func (r *Runner) handleWorkerState(now time.Time, incarnation worker.Incarnation, made time.Time, result worker.Result) {
	if !r.isCurrent(incarnation) {
		return
	}
	switch result.(type) {
	case worker.Unreachable:
		if r.worker.hasAnsweredSince(made) {
			r.requestListing(now)
			return
		}
		r.worker.refusedAt = made
		r.endIncarnation(now, endNotListening)
	case worker.WrongIncarnation:
		r.rememberEnded(incarnation)
		r.endIncarnation(now, endOtherAnswers)
	case worker.Unhealthy:
		r.worker.unhealthyUntil = now.Add(unhealthyBackoff)
		r.markLoadDue()
	}
}

// hasAnsweredSince reports whether the incarnation has answered a call that was made after the given time, zero if that is unknown. It may have
// begun to listen in between, so a refused call that was made then does not show that it has ended.
func (i *incarnation) hasAnsweredSince(made time.Time) bool {
	return !made.IsZero() && made.Before(i.lastAnsweredCall())
}

// incarnationEnd is how an incarnation ended. The texts are the reasons given in logs and to callers.
type incarnationEnd string

// How an incarnation can end.
const (
	endReplaced     incarnationEnd = "another life of the worker began"
	endOtherAnswers incarnationEnd = "another incarnation of the worker answers"
	endRestarted    incarnationEnd = "the worker started again"
	endNotListening incarnationEnd = "the worker does not listen"
	// endLeft is the only end that the worker announces.
	endLeft incarnationEnd = "the worker has left"
)

// isCrash reports whether the incarnation has crashed. A draining worker may end at any time without having crashed.
func (e incarnationEnd) isCrash(record worker.Record) bool {
	return e != endLeft && !record.Draining
}

// mayReuseID reports whether a later process with the same ID may have answered calls meant for the one that ended.
func (e incarnationEnd) mayReuseID() bool {
	return e == endRestarted || e == endNotListening
}

// endIncarnation reports all runs of the current incarnation as lost (unsettled.go), and its crash if it crashed. After
// Unreachable the incarnation may become current again with its next heartbeat; only rememberEnded prevents that.
func (r *Runner) endIncarnation(now time.Time, end incarnationEnd) {
	if r.worker == nil {
		return
	}
	ended := r.worker
	r.retainEarlierEnds(ended)
	r.dropAllReservations()
	r.worker = nil
	r.reportEnd(now, ended, end)
	r.finishLost(now, ended, end)
	r.markLoadDue()
}

// reportEnd reports the crash of an incarnation, if it crashed, and logs its end with the runs that may have been on
// it.
func (r *Runner) reportEnd(now time.Time, ended *incarnation, end incarnationEnd) {
	id, isCrash := ended.record.Incarnation(), end.isCrash(ended.record)
	evidence, active := ended.evidence(now, end), r.active()
	r.observeIncarnationEnd(now, ended, isCrash)
	if isCrash {
		r.reportCrash(now, Crash{Incarnation: id, Runs: ended.crashedRuns(active, evidence, r.maxDelay(now))})
		r.awaitStartAnswers(now, ended, active, evidence)
	}
	logged := IncarnationEnded{Incarnation: id, Reason: string(end), IsCrash: isCrash, Evidence: ended.describeEvidence(now)}
	for _, t := range active {
		logged.Runs = append(logged.Runs, EndedRun{
			RunID: t.id(), Age: evidence.ageOf(t), HasStarted: t.hasStarted, IsStopping: t.state == stateStopping,
			WasRunning: evidence.wasRunning(t), WasLikelyRunning: evidence.wasLikelyRunning(t),
		})
	}
	r.emit(logged)
}

func (r *Runner) hasEnded(incarnation worker.Incarnation) bool {
	return slices.Contains(r.endedIncarnations, incarnation)
}

func (r *Runner) rememberEnded(incarnation worker.Incarnation) {
	if r.hasEnded(incarnation) {
		return
	}
	r.endedIncarnations = append(r.endedIncarnations, incarnation)
	if len(r.endedIncarnations) > maxEndedIncarnations {
		r.endedIncarnations = r.endedIncarnations[1:]
	}
}
