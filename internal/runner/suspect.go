// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/worker"
)

// Suspects
//
// Inputs: whether a worker has crashed under a task before (Task.IsSuspect), when its run was started.
// Rule: for suspectTime after the start of a suspect's run, or until the run ends, no other run is started beside it. Runs that
// were there before go on.
// Reason: all tasks on a worker that crashes are suspects, and most are innocent. A second crash tells which one it was only if
// nothing else began in the meantime: a task that crashes its worker does so soon after its start.

// suspectTime is how long nothing else is started beside a suspect.
const suspectTime = 100 * time.Millisecond

// isolate begins the time in which nothing is started beside a suspect.
func (r *Runner) isolate(t *task) {
	if t.IsSuspect {
		r.worker.suspect = t
	}
}

// endIsolation ends that time if the task is the suspect.
func (r *Runner) endIsolation(t *task) {
	if r.worker != nil && r.worker.suspect == t {
		r.worker.suspect = nil
		r.markLoadDue()
	}
}

// expireIsolation ends that time suspectTime after the start.
func (r *Runner) expireIsolation(now time.Time) {
	r.expireContained(now)
	if t := r.worker.suspect; t != nil && now.Sub(t.began) > suspectTime {
		r.endIsolation(t)
	}
}

// unavailable returns the resources of the worker that cannot be used: those of the active tasks, or all beside a suspect or a
// contained job.
func (i *incarnation) unavailable() worker.Resources {
	if i.suspect != nil || i.contained.isIsolated {
		return i.record.Capacity
	}
	return i.used
}
