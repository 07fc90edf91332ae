// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"time"

	"sailhead/internal/native/model"
)

// Limits are the settings of forwarders and tables.
type Limits struct {
	// Window is how long after its issue a key is accepted.
	Window time.Duration
	// Skew is the largest difference between any two clocks of callers and processes.
	Skew time.Duration
	// Entries is the largest number of keys in one table.
	Entries int
}

// margin is by how much the issue time of a key must be later than an event on the roster for the key to count as
// issued after it. The clock that issued the key may be ahead by Skew, and the one that timed the event behind by Skew.
func (l Limits) margin() time.Duration {
	return 2 * l.Skew
}

// FenceTimeout is the longest time that a fence waits for promises.
const FenceTimeout = time.Second

// Retention is how long after its last use the record of a key is kept: as long as a caller or a late message can bring
// the key again, and for the fence that this would begin.
func (l Limits) Retention() time.Duration {
	return l.Window + l.margin() + FenceTimeout
}

// issueTime returns when the key was issued. A key without a time counts as one Window old, the oldest that is
// accepted.
func (l Limits) issueTime(key model.Key, now time.Time) time.Time {
	if issued, ok := key.IssuedAt(); ok {
		return issued
	}
	return now.Add(-l.Window)
}

// Age is the relation of the issue time of a key to the window.
type Age int

// The ages of a key.
const (
	AgeAccepted Age = iota
	AgeExpired
	AgeFuture
)

// AgeOf returns whether the key was issued within the window, before it, or further ahead than Skew allows.
func (l Limits) AgeOf(key model.Key, now time.Time) Age {
	issued, ok := key.IssuedAt()
	switch {
	case ok && issued.After(now.Add(l.Skew)):
		return AgeFuture
	case ok && issued.Before(now.Add(-l.Window)):
		return AgeExpired
	default:
		return AgeAccepted
	}
}

// issuedAfter reports whether the key was issued after every entry had acknowledged the epoch, whatever the clocks.
func (l Limits) issuedAfter(r Roster, epoch uint64, key model.Key, now time.Time) bool {
	at, ok := r.settledAt(epoch)
	return ok && l.issueTime(key, now).After(at.Add(l.margin()))
}
