// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package handover

import (
	"math/rand/v2"
	"time"
)

// This file decides when a connection to an entry is opened again.
//
// Inputs: how often in succession connections to the entry could not be opened or have ended.
//
// Rule: the pause begins at minRedialDelay and doubles up to maxRedialDelay; each is drawn from half to one and a half of that. It
// begins anew once the last pause has been over for maxRedialDelay.
//
// Reason: an entry that starts again is reached soon, and the others do not all come at once or all the time.

const (
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 3200 * time.Millisecond
)

// redial is the pause before the next connection to an entry. The zero value is that of an entry to which there was none.
type redial struct {
	delay time.Duration
	// at is when the pause is over.
	at time.Time
}

// after returns the pause that begins at a time. draw returns a random duration below its argument.
func (r redial) after(now time.Time, draw func(time.Duration) time.Duration) redial {
	next := redial{delay: minRedialDelay}
	if !r.isOver(now) {
		next.delay = min(2*r.delay, maxRedialDelay)
	}
	next.at = now.Add(next.delay/2 + draw(next.delay))
	return next
}

// isOver reports whether the pause does not matter any more.
func (r redial) isOver(now time.Time) bool { return r.delay == 0 || now.Sub(r.at) >= maxRedialDelay }

// ended records that the connection to an entry could not be opened or has ended, and forgets pauses that do not matter any more.
func (s *Sender) ended(now time.Time, name string) {
	s.redials[name] = s.redials[name].after(now, rand.N)
	for other, r := range s.redials {
		if r.isOver(now) {
			delete(s.redials, other)
		}
	}
}
