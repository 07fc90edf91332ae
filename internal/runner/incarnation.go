// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"slices"
	"time"

	"sailhead/internal/worker"
)

// maxEndedIncarnations is how many ended incarnations of the worker are remembered, so that their late heartbeats and
// a stale record in the store are ignored.
const maxEndedIncarnations = 32

// incarnation is what the runner knows of the current incarnation of the worker.
type incarnation struct {
	record worker.Record
	// isDescribed is set once a heartbeat or a stored record has described the incarnation; see restart.go.
	isDescribed bool
	// firstSeen is when this process learned of the incarnation.
	firstSeen time.Time
	// used is the sum of what the active tasks need.
	used worker.Resources
	// usedByKind is the CPU that the active tasks of each kind need, in thousandths of a core, without those that need none; see countUse.
	usedByKind map[string]int
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
	// lastAccepted is when the latest start that it has accepted had been sent.
	lastAccepted time.Time
	// refusedAt is when the call was made that found nobody listening, zero while none has.
	refusedAt time.Time
	// askedAt is when the first renewal after that was sent that is no long poll, zero if none was: nothing is known then.
	askedAt time.Time
	// closing is how the worker has closed its connections since then.
	closing connectionLoss
	// roundTrip is how long the latest renewal took that was answered at once or refused. Zero before the first one.
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
	// listed is the latest listing's reading of the clock. Unlike answers to other calls a listing tells which process of the ID it is from.
	listed worker.Reply
	// orphans are the stops of runs that this process did not start, by the names of the tasks.
	orphans map[string]*stop
	// isSurveyed is set once all runs that an earlier process may have left are known; see orphan.go.
	isSurveyed bool
	// reportsProgress is set once the worker has listed a run with some progress.
	reportsProgress bool
	// wasUnresponsive is whether the worker did not respond at the latest tick.
	wasUnresponsive bool
	// unhealthyUntil is when a worker that rejected a call as unhealthy accepts tasks again.
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

// tellsStart reports whether the worker tells when its process started. One that does may start again under its ID.
func (i *incarnation) tellsStart() bool { return i.record.StartedMillis != 0 }

// addUsage adds CPU, in thousandths of a core, to what the active tasks of a kind need. Kinds that need none are forgotten, as their names
// come from entries.
func (i *incarnation) addUsage(kind string, cpu int) {
	i.usedByKind[kind] += cpu
	if i.usedByKind[kind] == 0 {
		delete(i.usedByKind, kind)
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

// isCurrent reports whether the incarnation is the current one.
func (r *Runner) isCurrent(incarnation worker.Incarnation) bool {
	return r.worker != nil && r.worker.record.Incarnation() == incarnation
}

// handleHeartbeat applies a heartbeat. Those of ended incarnations and those overtaken by a later one are ignored, and those of
// another incarnation than the current one lead to a question to the worker (candidate.go).
func (r *Runner) handleHeartbeat(now time.Time, record worker.Record) {
	switch {
	case r.hasEnded(record.Incarnation()):
	case r.worker == nil:
		r.beginIncarnation(now, record)
	case r.lacksStartTime(record):
	case !r.isCurrent(record.Incarnation()):
		r.handleUnknownIncarnation(record)
	case r.worker.isDescribed && !r.worker.record.HasServiceAndZoneOf(record):
		// An incarnation keeps its service and its zone, so this heartbeat is of another writer.
	case record.Sequence >= r.worker.record.Sequence:
		r.updateRecord(now, record)
	}
}

// beginIncarnation replaces the current incarnation of the worker by a new one, which ends all runs of the old one unless it has
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

// beginWith makes an incarnation the current one and asks it for a listing. Calls to an earlier process of the same ID may still
// be on their way to the worker: the higher fencing token makes it reject them.
func (r *Runner) beginWith(now time.Time, w *incarnation) {
	if r.hadWorker && w.tellsStart() {
		r.fence += checkStep
	}
	r.worker = w
	r.hadWorker = true
	r.health = health{}
	r.speed, r.toldTimeFactor = speed{}, speed{}.timeFactor()
	r.ejection.detector.Restarted(now)
	w.readClock(w.record.Clock, now)
	for _, t := range r.active() {
		r.carryOver(now, t)
	}
	r.announceWorker()
	r.renew(now)
}

// handleRecalled applies the record that an earlier process of the agent stored, unless a heartbeat came first. The
// record has no clock, so the worker gets no task before it has answered a renewal.
func (r *Runner) handleRecalled(now time.Time, record worker.Record) {
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

// handleWorkerLeft applies a sign-off. One that does not tell which process of the ID signed off may be that of an earlier one: if the
// current one is known by its start, a renewal asks whether it is still there.
func (r *Runner) handleWorkerLeft(now time.Time, e WorkerLeft) {
	left := e.Incarnation
	if r.worker != nil && left.StartedMillis == 0 && left.IsRestartOf(r.worker.record.Incarnation()) {
		r.requestListing(now)
		return
	}
	if r.isCurrent(left) {
		r.endIncarnation(now, endLeft)
	}
	r.rememberEnded(left)
}

// handleWorkerState applies what a result of any call says about the worker itself: whether it still exists, and
// whether it is healthy. Other results change nothing. made is when the call was made.
func (r *Runner) handleWorkerState(now time.Time, incarnation worker.Incarnation, made time.Time, result worker.Result) {
	if !r.isCurrent(incarnation) {
		return
	}
	switch result.(type) {
	case worker.NotReached:
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

// incarnationEnd is how an incarnation ended. The texts are reasons of outcomes, for logs and callers.
type incarnationEnd string

// The ends of an incarnation.
const (
	endReplaced     incarnationEnd = "another life of the worker began"
	endOtherAnswers incarnationEnd = "another incarnation of the worker answers"
	endRestarted    incarnationEnd = "the worker started again"
	endNotListening incarnationEnd = "the worker does not listen"
	// endLeft is the only one that the worker announces.
	endLeft incarnationEnd = "the worker has left"
)

// isCrash reports whether the incarnation has crashed. A draining worker may end at any time without it.
func (e incarnationEnd) isCrash(record worker.Record) bool {
	return e != endLeft && !record.Draining
}

// mayKeepID reports whether a later process of the same ID may have answered calls that were meant for the one that ended.
func (e incarnationEnd) mayKeepID() bool {
	return e == endRestarted || e == endNotListening
}

// endIncarnation reports all runs of the current incarnation as lost (unsettled.go), and its crash if it was one. After NotReached it may
// begin again with the next heartbeat: only rememberEnded excludes it.
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

// reportEnd reports the crash of an incarnation, if its end was one, and logs the end with the runs that may have been there.
func (r *Runner) reportEnd(now time.Time, ended *incarnation, end incarnationEnd) {
	id, isCrash := ended.record.Incarnation(), end.isCrash(ended.record)
	evidence, active := ended.evidence(now, end), r.active()
	r.observeIncarnationEnd(now, ended, isCrash)
	if isCrash {
		r.reportCrash(now, Crash{Incarnation: id, Runs: ended.crashedRuns(active, evidence, r.lateness.maxDelay(now.Sub(r.lastTick)))})
	}
	logged := IncarnationEnded{Incarnation: id, Reason: string(end), IsCrash: isCrash, Evidence: ended.describeEvidence(now)}
	for _, t := range active {
		logged.Runs = append(logged.Runs, EndedRun{
			RunID: t.id(), Age: evidence.ageOf(t), HasStarted: t.hasBegun, IsStopping: t.state == stateStopping, WasRunning: evidence.wasRunning(t),
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
