// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

// Evacuated availability zones
//
// Inputs: what entries have told of the evacuated zones, the zone of the worker's record.
// Rule: while the worker's zone is evacuated, no task starts: queued ones, also those that wait for a second attempt, are
// reported as not started, and reservations and offers are dropped. Runs go on to their end. The newest revision of a zone
// counts, whichever entry told it, and the agent keeps it when the entry's session ends.
// Reason: entries place nothing in an evacuated zone, but a start may be on its way, and an entry that neither the store nor
// another entry reaches does not know. It does not count against the worker's health, and the task runs elsewhere at once.

// applyEvacuation applies a change of the evacuated zones, or of the worker to one in another zone.
func (r *Runner) applyEvacuation() {
	is := r.worker != nil && r.evacuations.Has(r.worker.record.Zone)
	if is == r.isEvacuated {
		if is {
			r.rejectQueued(reasonEvacuated, anyTask)
		}
		return
	}
	r.isEvacuated = is
	r.markLoadDue()
	if is {
		r.dropAllReservations()
		r.rejectQueued(reasonEvacuated, anyTask)
	}
	if r.worker != nil {
		_, _, active := r.Counts()
		r.emit(EvacuationChanged{Zone: r.worker.record.Zone, IsEvacuated: is, Runs: active})
	}
}
