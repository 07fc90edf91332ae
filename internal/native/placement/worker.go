// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package placement

import (
	"time"

	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
)

// worker is what one owner knows of a worker.
type worker struct {
	id   ownership.MemberID
	load model.Load
	// draining is set by operators or by the platform; the load has what the agent says itself.
	draining bool
	// outstanding counts this owner's tasks there that have no outcome.
	outstanding int
	// reported is outstanding at the time of the load: these tasks are a part of the load.
	reported int
	// suspendedUntil is until when the worker gets no tasks, or zero.
	suspendedUntil time.Time
	// isLocal is set for the worker of the owner's own agent, isNear for workers in its availability zone.
	isLocal bool
	isNear  bool
}

// isOpen reports whether the worker accepts tasks as far as the owner knows.
func (w *worker) isOpen(now time.Time) bool {
	return !w.draining && !w.load.Leaving && !now.Before(w.suspendedUntil)
}

// unreported counts this owner's tasks there that the load does not contain.
func (w *worker) unreported() int {
	return w.outstanding - w.reported
}

// ahead estimates how many tasks a new one of the urgency would wait for.
func (w *worker) ahead(urgency int) int {
	return w.load.Ahead(urgency) + w.unreported()
}

// hasFreeSlot reports whether a new task of the urgency would start at once.
func (w *worker) hasFreeSlot(urgency int) bool {
	return w.ahead(urgency) < w.load.Slots
}
