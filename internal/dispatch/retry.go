// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import "time"

// This file decides which jobs are late retries, and how they are treated.
//
// A caller whose connection broke submits its job again after timing.CallerRetryDelay. The job is not marked as a retry, but the
// caller's remaining time is shorter than that of other callers, by the time since the first submission. A retry is late if an
// answer would be useless (uselessAfter) before the job could be done, counted from the first submission.

const (
	// retryShare is the fraction of the usual remaining time below which a caller may have submitted its job before.
	retryShare = 0.6
	// shorterWeight is the weight, in the average, of a caller with less remaining time than usual. It is small because the first
	// callers after a restart are those that retry.
	shorterWeight = 0.02
	// longerWeight is the weight of a caller with more remaining time than usual.
	longerWeight = 0.3
	// lateRetryFreeShare is the fraction of the CPU of a service's workers that must be free for the placement of a late retry.
	lateRetryFreeShare = 0.25
)

// callerTimes holds the usual remaining time of callers by kind name. It is learned from the callers that do not seem to retry.
type callerTimes map[string]time.Duration

// observe reports whether a job is a late retry, and otherwise learns from its remaining time.
//
// Inputs: the caller's remaining time (zero if unknown), the usual remaining time of its kind, the kind's timeout, the
// objective of the job and its longest chain of steps.
//
// Rule: a job is a late retry if its remaining time is below retryShare of the usual one and below the kind's timeout,
// and the time since its first submission plus the duration of its chain exceeds uselessAfter.
//
// Reason: after an outage all callers retry at once with jobs whose answers would be useless, and these kept the workers busy for
// a second. They are not refused, because a late answer is better than none while there are free resources. The condition on the
// timeout avoids false positives, as callers give short jobs less time than long ones.
func (c callerTimes) observe(j *job) (isLateRetry bool) {
	remaining := j.RemainingTime
	if remaining <= 0 {
		return false
	}
	usual := c.usual(j.Kind)
	if float64(remaining) >= retryShare*float64(usual) {
		c.update(j.Kind, remaining)
		return false
	}
	sinceFirst := usual - remaining
	return j.hasLessThanTimeout() && sinceFirst > j.uselessAfter()-j.criticalPath()
}

// usual returns the usual remaining time of a kind, which is at least its timeout.
func (c callerTimes) usual(kind Kind) time.Duration {
	return max(c[kind.Name], kind.Timeout)
}

// update moves the usual remaining time of a kind towards that of one caller.
func (c callerTimes) update(kind Kind, remaining time.Duration) {
	usual := c.usual(kind)
	weight := shorterWeight
	if remaining > usual {
		weight = longerWeight
	}
	c[kind.Name] = usual + time.Duration(weight*float64(remaining-usual))
}

// hasLessThanTimeout reports whether the remaining time is below the timeout of the kind, or the kind has no timeout.
func (j *job) hasLessThanTimeout() bool {
	return j.Kind.Timeout <= 0 || j.RemainingTime < j.Kind.Timeout
}

// hasSpareCapacity reports whether enough resources are free to place a late retry.
//
// Inputs: the free CPU and the CPU capacity, in thousandths of a core, of the workers that accept tasks of the service.
//
// Rule: at least lateRetryFreeShare of the CPU is free.
//
// Reason: see observe.
func (d *Dispatcher) hasSpareCapacity(service string) bool {
	return d.freeShare(service) >= lateRetryFreeShare
}

// freeShare returns the free fraction, 0 to 1, of the CPU of the workers that accept tasks of a service.
func (d *Dispatcher) freeShare(service string) float64 {
	var free, capacity int
	for _, a := range d.agents {
		if a.accepts(service) {
			free += max(a.free().CPU, 0)
			capacity += a.record.Capacity.CPU
		}
	}
	if capacity == 0 {
		return 0
	}
	return float64(free) / float64(capacity)
}
