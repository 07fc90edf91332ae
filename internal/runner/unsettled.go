// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"slices"
	"time"
)

// Unanswered starts when the worker ends
//
// Inputs: the tasks whose start was unanswered when the worker stopped listening, and whether it reports its start
// time.
// Rule: such a task is reported as lost once the worker's next process has rejected or ended any run that a delayed
// start may have begun there, or after lateStartTime.
// Reason: a start call identifies the worker only by its ID, which a restarted worker may keep. The restarted worker could
// carry out the call while the task already runs elsewhere.

// lateStartTime is the longest time for which reporting a task as lost is postponed because of a delayed start. Callers
// wait for 1.5 s, so a longer postponement would leave no time to run the task elsewhere.
const lateStartTime = 600 * time.Millisecond

// unsettledTask is a task of an ended incarnation that has not been reported as lost yet.
type unsettledTask struct {
	task    *task
	reason  string
	expires time.Time
}

// hasPendingStart reports whether the worker may still carry out the start of a task.
func (t *task) hasPendingStart() bool {
	return t.state == stateStarting || t.state == stateChecking || t.state == stateRestarted
}

// finishLost reports the tasks of an ended incarnation as lost, at once or when their starts can no longer begin a run.
func (r *Runner) finishLost(now time.Time, ended *incarnation, end incarnationEnd) {
	mayStartAgain := end == endNotListening && ended.hasStartTime()
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

// finishUnsettled reports unsettled tasks as lost: all once the runs of the worker's next process are known and include no
// orphans, and before that those that have expired.
func (r *Runner) finishUnsettled(now time.Time) {
	hasSettled := r.worker != nil && r.worker.knowsAllRuns && len(r.worker.orphans) == 0
	r.unsettled = slices.DeleteFunc(r.unsettled, func(u unsettledTask) bool {
		if !hasSettled && now.Before(u.expires) {
			return false
		}
		r.finish(u.task, OutcomeLost, u.reason)
		return true
	})
}
