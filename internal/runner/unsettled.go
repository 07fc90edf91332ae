// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"slices"
	"time"
)

// Starts without an answer when the worker ends
//
// Inputs: the tasks whose start was not answered when the worker stopped to listen, and whether it tells its start.
// Rule: such a task is reported as lost once the next process of the worker has rejected or ended what a late start may have begun
// there, or after lateStartTime.
// Reason: the call names the worker's ID only. The worker may carry it out after it has started again, while the task runs elsewhere.

// lateStartTime is how long a task is not reported as lost for the sake of a late start. Callers wait for 1.5 s, so that a longer one
// would leave no time to run the task elsewhere.
const lateStartTime = 600 * time.Millisecond

// unsettledTask is a task of an ended incarnation that is not reported as lost yet.
type unsettledTask struct {
	task    *task
	reason  string
	expires time.Time
}

// hasPendingStart reports whether the worker may carry out the start of a task later.
func (t *task) hasPendingStart() bool {
	return t.state == stateStarting || t.state == stateChecking || t.state == stateRestarted
}

// finishLost reports the tasks of an incarnation that has ended as lost, at once or when their starts cannot begin a run any more.
func (r *Runner) finishLost(now time.Time, ended *incarnation, end incarnationEnd) {
	mayStartAgain := end == endNotListening && ended.tellsStart()
	for _, t := range r.active() {
		r.settleCharge(now, t)
		if !mayStartAgain || !t.hasPendingStart() {
			r.finish(t, OutcomeLost, string(end))
			continue
		}
		r.rejectSuperseding(t, string(end))
		delete(r.tasks, t.Name)
		r.unsettled = append(r.unsettled, unsettledTask{task: t, reason: string(end), expires: now.Add(lateStartTime)})
	}
}

// settle reports the unsettled tasks as lost for which that is due.
func (r *Runner) settle(now time.Time) {
	hasSettled := r.worker != nil && r.worker.isSurveyed && len(r.worker.orphans) == 0
	r.unsettled = slices.DeleteFunc(r.unsettled, func(u unsettledTask) bool {
		if !hasSettled && now.Before(u.expires) {
			return false
		}
		r.finish(u.task, OutcomeLost, u.reason)
		return true
	})
}
