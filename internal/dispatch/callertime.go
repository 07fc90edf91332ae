// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import "time"

// This file derives the times of a job from how long its caller waits and how much work there is.
//
// Inputs: how long the caller waits by its own statement, the operators' time limit for the kind, the expected time of the job's longest
// chain of steps and how far actual times deviate from it (estimate.go).
//
// Rule: the caller waits for as long as it states. If it states nothing, it is assumed to wait for the limit of the kind, or for
// defaultCallerTime if there is none. The job expires when that time has elapsed. Its latest start is the time until which even a chain that
// takes unusually long would end before it expires.
//
// Reason: nobody receives an answer that comes later. Work that starts too late is wasted, and its caller does not learn whether it was done,
// while a job that is refused has certainly not run. The operators' limit does not shorten a longer time that the caller states, as the
// caller still receives the answer.

// defaultCallerTime is how long a caller is assumed to wait if neither it nor the configuration says so.
const defaultCallerTime = 5 * time.Second

// callerTime returns how long the caller waits, from the arrival of the job.
func (j *job) callerTime() time.Duration {
	switch {
	case j.RemainingTime > 0:
		return j.RemainingTime
	case j.Kind.Timeout > 0:
		return j.Kind.Timeout
	default:
		return defaultCallerTime
	}
}

// expiresAt returns the time at which a job is ended if it has not been answered.
func (j *job) expiresAt() time.Time {
	return j.arrived.Add(j.callerTime())
}

// latestStart returns the latest time at which the first task of a job may be placed after a wait. During a shutdown the job also has to end
// before the process does.
func (d *Dispatcher) latestStart(j *job) time.Time {
	end := j.expiresAt()
	if d.isShuttingDown() {
		end = earlier(end, d.shutdownAt)
	}
	return j.latestStart(end)
}

// latestStart returns the latest time at which the first task of a job may be placed so that it ends before the given time.
func (j *job) latestStart(end time.Time) time.Time {
	return later(end.Add(-j.longestWork), j.arrived)
}

// doubledAt returns the start at which the answer takes twice as long as without a wait: the job has then waited for as long as its work takes.
func (j *job) doubledAt() time.Time {
	return j.arrived.Add(j.criticalPath())
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
