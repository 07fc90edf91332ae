// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package placement

import (
	"slices"
	"time"

	"sailhead/internal/native/admission"
	"sailhead/internal/native/ownership"
)

// Place chooses the worker for a task. It returns false if no worker is left.
//
// Inputs: the workers that are not draining, leaving or suspended; those where the task was tried; the urgency of the
// task; the policy.
//
// Rule: the owner's own worker if it has a free slot and is not slow, otherwise what the policy chooses among the
// workers where the task was not tried.
//
// Reason: a start at the owner's own worker needs no message. For the policies see policy.go.
func (v *View) Place(now time.Time, urgency int, tried []ownership.MemberID) (ownership.MemberID, bool) {
	candidates := make([]*worker, 0, len(v.order))
	for _, w := range v.order {
		if !w.isOpen(now) || slices.Contains(tried, w.id) {
			continue
		}
		if w.isLocal && w.hasFreeSlot(urgency) && !w.isSlow(v.typical) {
			return w.id, true
		}
		candidates = append(candidates, w)
	}
	if len(candidates) == 0 {
		return "", false
	}
	return choose(v.policy, v.random, candidates, rank{urgency: urgency, typical: v.typical}).id, true
}

// HasFree reports whether a worker where the task was not tried has a free slot, as far as the owner knows.
func (v *View) HasFree(now time.Time, urgency int, tried []ownership.MemberID) bool {
	for _, w := range v.order {
		if w.isOpen(now) && w.hasFreeSlot(urgency) && !slices.Contains(tried, w.id) {
			return true
		}
	}
	return false
}

// waitFactor is the factor by which Finish lengthens the estimated wait.
const waitFactor = 2.0

// Finish estimates how long the last of a number of new tasks takes to end. It returns false if no worker accepts
// tasks.
//
// Inputs: the loads of the workers that accept tasks, with this owner's tasks since then; the number and the urgency of
// the tasks; the service times of their kind.
//
// Rule: the wait over all workers together (admission.Demand.Wait) times waitFactor, and a high quantile of the service
// time.
//
// Reason: the owner may place the tasks on any worker. The factor is there because other owners admit jobs at the same
// time on the same view, and because a job of which one task comes too late has wasted all the others.
func (v *View) Finish(now time.Time, tasks, urgency int, estimate admission.Estimate) (time.Duration, bool) {
	var total admission.Demand
	for _, w := range v.order {
		if w.isOpen(now) {
			total = total.With(w.load, urgency)
			total = total.WithTasks(w.unreported(), estimate.Mean)
		}
	}
	if total.Slots == 0 {
		return 0, false
	}
	wait := total.WithTasks(tasks, estimate.Mean).Wait()
	return time.Duration(waitFactor*float64(wait)) + estimate.High, true
}
