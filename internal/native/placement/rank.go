// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package placement

import "time"

// rank has the inputs of a comparison of workers that are the same for all of them.
type rank struct {
	urgency int
	// typical is the mean service time over all workers; see View.observeMean.
	typical time.Duration
}

// isBetter reports whether the worker is preferred over another for a task.
//
// Inputs: the loads of both workers with this owner's tasks since then, the typical mean service time, and the
// availability zone of the owner.
//
// Rule: the worker where the task is expected to end first (finish), then one in the zone of the owner, then the one
// with fewer tasks ahead for each slot.
//
// Reason: expected work tells more than a number of tasks, as kinds differ in service time. Between equal ends the near
// worker saves a hop between zones.
func (w *worker) isBetter(other *worker, by rank) bool {
	own, others := w.finish(by), other.finish(by)
	if own != others {
		return own < others
	}
	if w.isNear != other.isNear {
		return w.isNear
	}
	return w.ahead(by.urgency)*other.load.Slots < other.ahead(by.urgency)*w.load.Slots
}

// finish estimates when a new task would end, in typical service times from now.
//
// Rule: the slowness of the worker, and if no slot is free, the expected work ahead divided by the slots. A task of
// this owner that the load does not contain counts as one typical service time. Workers with a free slot that are not
// slow are equal.
func (w *worker) finish(by rank) float64 {
	slowness := w.slowness(by.typical)
	if w.hasFreeSlot(by.urgency) || by.typical == 0 {
		return slowness
	}
	work := w.load.WorkAhead(by.urgency) + time.Duration(w.unreported())*by.typical
	return slowness + float64(work)/float64(by.typical)/float64(max(w.load.Slots, 1))
}

// slowFactor is the ratio of a worker's mean service time to the typical one above which the worker counts as slow.
const slowFactor = 1.5

// slowness returns how many times longer than typical tasks take at the worker.
//
// Rule: the ratio of the mean service times if it is above slowFactor, otherwise 1; also 1 while a mean is unknown.
//
// Reason: means differ by chance and by the mix of kinds. A slow worker is not excluded, as its slots are needed under
// high load.
func (w *worker) slowness(typical time.Duration) float64 {
	if typical == 0 || w.load.Mean == 0 {
		return 1
	}
	if slowness := float64(w.load.Mean) / float64(typical); slowness > slowFactor {
		return slowness
	}
	return 1
}

// isSlow reports whether the worker is slower than typical by more than slowFactor.
func (w *worker) isSlow(typical time.Duration) bool {
	return w.slowness(typical) != 1
}
