// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

// Evacuated availability zones
//
// Inputs: the evacuated zones as reported by entries, and the zone in the worker's record.
// Rule: while the worker's zone is evacuated, no task starts. Queued tasks, including those waiting for a second
// attempt, are reported as not started, and reservations and offers are dropped. Active runs continue to their end. The
// newest revision for a zone applies, whichever entry sent it, and the agent keeps it when that entry's session ends.
// Reason: entries place no tasks in an evacuated zone, but a start may already be in transit, and an entry that can
// reach neither the store nor another entry does not know of the evacuation. The rejection does not count against the
// worker's health, and the task runs elsewhere at once.

// applyEvacuation applies a change of the evacuated zones, or the replacement of the worker by one in another zone.
func (r *Runner) applyEvacuation() {
	isEvacuated := r.worker != nil && r.evacuations.IsEvacuated(r.worker.record.Zone)
	if isEvacuated == r.isEvacuated {
		if isEvacuated {
			r.rejectQueued(reasonEvacuated, anyTask)
		}
		return
	}
	r.isEvacuated = isEvacuated
	r.markLoadDue()
	if isEvacuated {
		r.dropAllReservations()
		r.rejectQueued(reasonEvacuated, anyTask)
	}
	if r.worker != nil {
		_, _, active := r.Counts()
		r.emit(EvacuationChanged{Zone: r.worker.record.Zone, IsEvacuated: isEvacuated, Runs: active})
	}
}
