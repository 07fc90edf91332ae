// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"time"

	"sailhead/internal/worker"
)

// Suspects
//
// Inputs: whether a worker has crashed during a task before (Task.IsSuspect), and when its run was started.
// Rule: for suspectTime after the start of a suspect's run, or until the run ends, no other run is started beside it.
// Runs that were already active continue.
// Reason: all tasks on a worker that crashes become suspects, and most are innocent. A second crash identifies the
// cause only if nothing else was started in the meantime: a task that crashes its worker does so soon after its start.

// suspectTime is how long a suspect is isolated, so that nothing else is started beside it.
const suspectTime = 100 * time.Millisecond

// isolate begins the isolation of a task if it is a suspect.
func (r *Runner) isolate(t *task) {
	if t.IsSuspect {
		r.worker.suspect = t
	}
}

// endIsolation ends the isolation if the task is the isolated one.
func (r *Runner) endIsolation(t *task) {
	if r.worker != nil && r.worker.suspect == t {
		r.worker.suspect = nil
		r.markLoadDue()
	}
}

// expireIsolation ends the isolation suspectTime after the start.
func (r *Runner) expireIsolation(now time.Time) {
	r.expireContained(now)
	if t := r.worker.suspect; t != nil && now.Sub(t.startEmittedAt) > suspectTime {
		r.endIsolation(t)
	}
}

// unavailable returns the resources of the worker that cannot be used: those of the active tasks, or all while a
// suspect or a contained job is isolated.
func (i *incarnation) unavailable() worker.Resources {
	if i.suspect != nil || i.contained.isIsolated {
		return i.record.Capacity
	}
	return i.used
}
