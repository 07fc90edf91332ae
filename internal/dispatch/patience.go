// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import "time"

const (
	// fallWeight is the weight of a caller that waits less than usual in the usual patience of its kind, and
	// riseWeight that of one that waits longer: after a restart the first callers are those that come back.
	fallWeight = 0.02
	riseWeight = 0.3
	// returnedShare is the part of its kind's usual patience below which a caller has come back.
	returnedShare = 0.6
)

// patience holds how long the callers of each kind usually wait. A caller that comes back after a broken
// connection has less time left than others, which tells how long ago it came first.
type patience map[string]time.Duration

// grantsLess reports whether the caller has less time left than any caller of its kind grants at first. Callers grant
// short jobs less time than long ones, so less than usual alone does not tell.
func (j *job) grantsLess() bool {
	return j.Kind.Timeout <= 0 || j.Patience < j.Kind.Timeout
}

// isOverdue reports whether a job's caller has come back so late that its job is worth nothing any more. The
// usual patience is learned from the callers that have not come back.
func (p patience) isOverdue(j *job) bool {
	left := j.Patience
	if left <= 0 {
		return false
	}
	// A caller grants a kind's time at least.
	usual := max(p[j.Kind.Name], j.Kind.Timeout)
	if float64(left) < returnedShare*float64(usual) {
		return j.grantsLess() && usual-left > finalFactor*j.objective-j.chain()
	}
	weight := fallWeight
	if left > usual {
		weight = riseWeight
	}
	p[j.Kind.Name] = usual + time.Duration(weight*float64(left-usual))
	return false
}
