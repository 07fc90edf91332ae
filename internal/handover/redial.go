// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package handover

import (
	"math/rand/v2"
	"time"
)

// This file decides when to reconnect to an entry.
//
// Inputs: the number of successive connections to the entry that failed to open or ended.
//
// Rule: exponential backoff with jitter. The delay starts at minRedialDelay and doubles up to maxRedialDelay; the actual delay is random
// between 0.5 and 1.5 times that. The backoff is reset once maxRedialDelay has passed since the end of the last delay.
//
// Reason: a restarted entry is reached quickly, and the other entries neither reconnect all at once nor continuously.

const (
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 3200 * time.Millisecond
)

// redial is the backoff state for connections to one entry. The zero value is that of an entry without earlier connections.
type redial struct {
	delay time.Duration
	// at is when the delay ends.
	at time.Time
}

// after returns the state with the delay that starts at the given time. draw returns a random duration below its argument.
func (r redial) after(now time.Time, draw func(time.Duration) time.Duration) redial {
	next := redial{delay: minRedialDelay}
	if !r.isOver(now) {
		next.delay = min(2*r.delay, maxRedialDelay)
	}
	next.at = now.Add(next.delay/2 + draw(next.delay))
	return next
}

// isOver reports whether the backoff is reset.
func (r redial) isOver(now time.Time) bool { return r.delay == 0 || now.Sub(r.at) >= maxRedialDelay }

// recordDisconnect records that a connection to an entry failed to open or ended, and removes the state of entries whose backoff is reset.
// The caller holds mu.
func (s *Sender) recordDisconnect(now time.Time, name string) {
	s.redials[name] = s.redials[name].after(now, rand.N)
	for other, r := range s.redials {
		if r.isOver(now) {
			delete(s.redials, other)
		}
	}
}
