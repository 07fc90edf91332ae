// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import "time"

const (
	// shorterWeight is the weight of a caller that waits less than usual in the usual patience of its kind, and
	// riseWeight that of one that waits longer: after a restart the first callers are those that come back.
	shorterWeight = 0.02
	longerWeight  = 0.3
	// retryShare is the part of its kind's usual patience below which a caller has come back.
	retryShare = 0.6
)

// callerTimes holds how long the callers of each kind usually wait. A caller that comes back after a broken
// connection has less time left than others, which tells how long ago it came first.
type callerTimes map[string]time.Duration

// hasLessThanTimeout reports whether the caller has less time left than any caller of its kind grants at first. Callers grant
// short jobs less time than long ones, so less than usual alone does not tell.
func (j *job) hasLessThanTimeout() bool {
	return j.Kind.Timeout <= 0 || j.RemainingTime < j.Kind.Timeout
}

// isLateRetry reports whether a job's caller has come back so late that its job is worth nothing any more. The
// usual patience is learned from the callers that have not come back.
func (p callerTimes) isLateRetry(j *job) bool {
	left := j.RemainingTime
	if left <= 0 {
		return false
	}
	// A caller grants a kind's time at least.
	usual := max(p[j.Kind.Name], j.Kind.Timeout)
	if float64(left) < retryShare*float64(usual) {
		return j.hasLessThanTimeout() && usual-left > expiryFactor*j.objective-j.chain()
	}
	weight := shorterWeight
	if left > usual {
		weight = longerWeight
	}
	p[j.Kind.Name] = usual + time.Duration(weight*float64(left-usual))
	return false
}
