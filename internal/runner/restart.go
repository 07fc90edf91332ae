// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/worker"
)

// Restarts under the same ID
//
// Inputs: the start that a listing tells, heartbeats of another start, and the runs that may have been on the worker.
// Rule: if a listing comes from another process than the one that was asked, the one that was asked has ended. Calls name the ID only,
// so those under way may have reached either. The fencing token is raised, and a listing of the new process that was requested with the
// raised token decides on each run: one that is listed goes on there, one that is not was lost. The new process gets no tasks before
// a heartbeat has described it, as it may have other labels and another capacity.
// Reason: a run that a late start began on the new process would go on beside the one that replaces it elsewhere.

// restart replaces the current incarnation by a later process of the same ID. Its runs are carried over until a listing
// decides on them.
func (r *Runner) restart(now time.Time, w *incarnation) {
	earlier := r.worker
	r.rememberEnded(earlier.record.Incarnation())
	r.retainEarlierEnds(earlier)
	r.dropAllReservations()
	r.reportEnd(now, earlier, endRestarted)
	r.beginWith(now, w)
}

// noteRestart begins the incarnation from which a listing comes if it is not the current one. It reports whether it did so.
func (r *Runner) noteRestart(now time.Time, result worker.RenewResult) bool {
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

// setStartTime completes the current incarnation, whose record did not tell its start: an earlier version of the agent may have stored it.
// Answers to calls that are under way will not be taken for those of the current incarnation, so their starts are checked.
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

// carryOver makes an active task of the earlier process wait for the listing that decides on it, or sends its stop again.
func (r *Runner) carryOver(now time.Time, t *task) {
	t.acceptedAt, t.listedAt = 0, 0
	t.progress = 0
	t.hasBegun, t.isOnClock = false, false
	r.occupy(now, t)
	if t.state == stateStopping {
		r.beginStop(now, t)
		return
	}
	t.state = stateRestarted
	t.fence = r.fence - checkStep
}

// resolveRestarted decides on a run by a listing of the new process that was requested with the raised fencing token.
func (r *Runner) resolveRestarted(now time.Time, t *task, listing worker.Listing, isListed bool) {
	if isListed {
		r.markStarted(now, t, listing.Clock)
		return
	}
	r.finish(t, OutcomeLost, string(endRestarted))
}

// lacksStartTime reports whether a heartbeat does not tell the start of its process although the current incarnation of that ID does: it
// comes from another writer.
func (r *Runner) lacksStartTime(record worker.Record) bool {
	current := r.worker.record
	return record.StartedMillis == 0 && record.Incarnation().IsRestartOf(current.Incarnation())
}
