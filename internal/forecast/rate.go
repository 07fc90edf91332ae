// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package forecast

import (
	"math"
	"time"
)

const (
	// rateTime is the time constant of the moving average: long enough to cover several placements of an entry, and shorter than a burst.
	rateTime = 400 * time.Millisecond
	// minWaited is how long tasks must have waited within the averaging time before the rate is considered known.
	minWaited = 30 * time.Millisecond
	// scarceShare is the fraction, 0 to 1, of the averaging time above which waiting tasks mean that capacity is scarce.
	scarceShare = 0.2
)

// Rate is a moving average of the rate at which tasks of one kind are placed while some of them wait. The zero value is ready to use. The
// times passed to its methods must not decrease.
type Rate struct {
	// placed is the number of placed tasks, waited the seconds during which tasks were waiting. Both decay exponentially with rateTime.
	placed, waited float64
	// isWaiting is true while tasks wait, as of updated.
	isWaiting bool
	updated   time.Time
}

// advance decays the sums up to now.
func (r *Rate) advance(now time.Time) {
	decay := math.Exp(-now.Sub(r.updated).Seconds() / rateTime.Seconds())
	r.updated = now
	r.placed *= decay
	r.waited *= decay
	if r.isWaiting {
		r.waited += rateTime.Seconds() * (1 - decay)
	}
}

// SetWaiting records whether tasks are waiting from now on.
func (r *Rate) SetWaiting(now time.Time, isWaiting bool) {
	if isWaiting != r.isWaiting {
		r.advance(now)
		r.isWaiting = isWaiting
	}
}

// Add records placed tasks, or takes back rejected ones if the number is negative. While no tasks wait it does nothing: capacity then exceeds
// demand, so the number of placements does not measure capacity.
func (r *Rate) Add(now time.Time, tasks float64) {
	if r.isWaiting {
		r.advance(now)
		r.placed = max(r.placed+tasks, 0)
	}
}

// PerSecond returns the rate in tasks per second. It is unknown until tasks have waited for minWaited.
func (r *Rate) PerSecond(now time.Time) (rate float64, isKnown bool) {
	r.advance(now)
	if r.waited < minWaited.Seconds() {
		return 0, false
	}
	return r.placed / r.waited, true
}

// highestPerSecond returns the rate that one placement more would make: the next one may come at any moment, so a short time without
// any says little.
func (r *Rate) highestPerSecond() float64 {
	return (r.placed + 1) / r.waited
}

// IsScarce reports whether tasks have waited for more than scarceShare of the recent time.
func (r *Rate) IsScarce(now time.Time) bool {
	r.advance(now)
	return r.waited > scarceShare*rateTime.Seconds()
}
