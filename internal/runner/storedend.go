// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"slices"
	"time"

	"sailhead/internal/timing"
)

// Stored ends
//
// Inputs: the unacknowledged ends and since when each is known.
// Rule: the ends that no owner has acknowledged for timing.EndStoreDelay are kept in the platform's store until they are acknowledged. The
// agent is told of all of them when they change, at most every timing.EndStoreInterval.
// Reason: the agent and the owner may be unable to reach each other for longer than an owner waits, while both reach the store. An owner reads
// the stored ends before it runs a task again whose run was not reported to it.

// updateStoredEnds emits the ends to be stored if they have changed.
func (r *Runner) updateStoredEnds(now time.Time) {
	if now.Sub(r.endsStoredAt) < timing.EndStoreInterval {
		return
	}
	ends := r.endsToStore(now)
	if slices.Equal(ends, r.storedEnds) {
		return
	}
	r.storedEnds, r.endsStoredAt = ends, now
	r.emit(StoreEnds{Ends: ends})
}

// endsToStore returns the ends that are to be stored, those of ended incarnations first, in the order in which the runs ended.
func (r *Runner) endsToStore(now time.Time) []Update {
	var ends []Update
	add := func(e *unacknowledgedEnd) {
		if now.Sub(e.since) >= timing.EndStoreDelay {
			ends = append(ends, e.update)
		}
	}
	for _, e := range r.earlierEnds {
		add(e)
	}
	if r.worker == nil {
		return ends
	}
	for _, number := range r.worker.unacknowledgedNumbers() {
		add(r.worker.unacknowledged[number])
	}
	return ends
}
