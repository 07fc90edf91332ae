// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/worker"
)

// Restarts under the same ID
//
// Inputs: the start time in a listing, heartbeats with another start time, and the runs that may have been on the
// worker.
// Rule: if a listing comes from another process than the one that was called, the latter has ended. Calls contain only
// the ID, so those in transit may have reached either process. The fencing token is raised, and a listing of the new
// process requested with the raised token decides each run: a listed run continues there, any other was lost. The new
// process gets no tasks before a heartbeat has described it, because its labels and capacity may differ.
// Reason: otherwise a run that a delayed start began on the new process would continue beside the run that replaces it
// elsewhere.

// restart replaces the current incarnation by a later process with the same ID. Its runs are carried over until a
// listing decides them.
func (r *Runner) restart(now time.Time, w *incarnation) {
	earlier := r.worker
	r.rememberEnded(earlier.record.Incarnation())
	r.retainEarlierEnds(earlier)
	r.dropAllReservations()
	r.reportEnd(now, earlier, endRestarted)
	// A delayed start may have begun a run of the new process, which ends with the lease that the start named.
	w.leasedFrom = now
	r.beginWith(now, w)
}

// detectRestart makes the incarnation that sent a listing the current one if it is another process. It reports whether it
// did so.
func (r *Runner) detectRestart(now time.Time, result worker.RenewResult) bool {
	listing, ok := result.(worker.Listing)
	current := r.worker.record.StartedMillis
	switch {
	case !ok, listing.StartedMillis == 0, listing.StartedMillis == current:
		return false
	case current == 0:
		r.setStartTime(now, listing.StartedMillis)
		return false
	}
	record := r.worker.record
	record.StartedMillis = listing.StartedMillis
	record.Sequence = 0
	record.Clock = 0
	w := newIncarnation(now, record)
	w.isDescribed = false
	w.readClock(listing.Clock, listing.Received)
	r.restart(now, w)
	return true
}

// setStartTime adds the start time to the current incarnation, whose record lacks it: an earlier version of the agent
// may have stored that record. Answers to calls in progress will no longer be attributed to the current incarnation, so
// the starts among them are checked by a listing.
func (r *Runner) setStartTime(now time.Time, started int64) {
	w := r.worker
	w.record.StartedMillis = started
	w.record.Sequence = 0
	w.isDescribed = false
	w.longPolling = false
	for _, t := range r.active() {
		if t.state == stateStarting {
			r.checkStart(now, t)
		}
	}
	r.markLoadDue()
}

// carryOver makes an active task of the earlier process wait for the listing that decides it, or sends its stop again.
func (r *Runner) carryOver(now time.Time, t *task) {
	t.acceptedAt, t.listedAt = 0, 0
	t.progress = 0
	t.hasStarted, t.isOnClock = false, false
	r.allocate(now, t)
	if t.state == stateStopping {
		r.beginStop(now, t, r.extendableUntil(t))
		return
	}
	t.state = stateRestarted
	t.fence = r.fence - checkStep
}

// resolveRestarted decides a run by a listing of the new process that was requested with the raised fencing token.
func (r *Runner) resolveRestarted(now time.Time, t *task, listing worker.Listing, isListed bool) {
	if isListed {
		r.markStarted(now, t, listing.Clock)
		return
	}
	r.finish(t, OutcomeLost, string(endRestarted))
}

// lacksStartTime reports whether a heartbeat lacks the start time although the current incarnation with its ID has one:
// such a heartbeat comes from another writer.
func (r *Runner) lacksStartTime(record worker.Record) bool {
	current := r.worker.record
	return record.StartedMillis == 0 && record.Incarnation().IsRestartOf(current.Incarnation())
}
