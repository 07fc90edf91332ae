// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package forecast

import (
	"math"
	"time"
)

const (
	// rateTime is the time over which a rate is averaged: some placements of an entry, and less than a burst lasts.
	rateTime = 400 * time.Millisecond
	// minWaited is for how long of it tasks have waited before the rate is known.
	minWaited = 30 * time.Millisecond
	// scarceShare is the part, 0 to 1, of it in which tasks have waited while room is scarce.
	scarceShare = 0.2
)

// Rate is the rate at which tasks of one kind are placed while some of them wait. The zero value has seen none. The times that its methods
// get must not decrease.
type Rate struct {
	// placed is the number of tasks that were placed, waited the seconds in which some waited. In both, what is older counts less.
	placed, waited float64
	// isWaiting is set while tasks wait, as of updated.
	isWaiting bool
	updated   time.Time
}

// advance brings the sums up to a time.
func (r *Rate) advance(now time.Time) {
	remains := math.Exp(-now.Sub(r.updated).Seconds() / rateTime.Seconds())
	r.updated = now
	r.placed *= remains
	r.waited *= remains
	if r.isWaiting {
		r.waited += rateTime.Seconds() * (1 - remains)
	}
}

// SetWaiting tells whether tasks wait from now on.
func (r *Rate) SetWaiting(now time.Time, isWaiting bool) {
	if isWaiting != r.isWaiting {
		r.advance(now)
		r.isWaiting = isWaiting
	}
}

// Add adds tasks that were placed, or takes some back if the number is negative. It does nothing while no tasks wait: there is more room
// then than tasks, and their number says nothing of it.
func (r *Rate) Add(now time.Time, tasks float64) {
	if r.isWaiting {
		r.advance(now)
		r.placed = max(r.placed+tasks, 0)
	}
}

// PerSecond returns the rate in tasks a second. It is not known until tasks have waited for a while.
func (r *Rate) PerSecond(now time.Time) (rate float64, isKnown bool) {
	r.advance(now)
	if r.waited < minWaited.Seconds() {
		return 0, false
	}
	return r.placed / r.waited, true
}

// IsScarce reports whether tasks have waited for a good part of the time lately.
func (r *Rate) IsScarce(now time.Time) bool {
	r.advance(now)
	return r.waited > scarceShare*rateTime.Seconds()
}
