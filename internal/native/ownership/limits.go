// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"time"

	"sailhead/internal/native/model"
)

// Limits bound how long keys are accepted and how much is remembered.
type Limits struct {
	// Window is how long after its issue a key is accepted and remembered.
	Window time.Duration
	// Skew bounds the difference between any two clocks of callers and processes.
	Skew time.Duration
	// Entries is the largest number of keys that one table holds.
	Entries int
}

// margin is the time that must lie between a settlement and the issue of a settled key.
// A key's claimed issue may be ahead of the truth by Skew, and the settlement's clock behind by Skew.
func (l Limits) margin() time.Duration {
	return 2 * l.Skew
}

// FenceTimeout is how long a fence may last; promises that come later do not count.
const FenceTimeout = time.Second

// Retention is how long a table remembers a key after it was last touched: as long as the key is accepted,
// and a fence that began then lasts.
func (l Limits) Retention() time.Duration {
	return l.Window + l.margin() + FenceTimeout
}

// issueTime returns when the key counts as issued; one that carries no time counts as one window old.
func (l Limits) issueTime(key model.Key, now time.Time) time.Time {
	if issued, ok := key.IssuedAt(); ok {
		return issued
	}
	return now.Add(-l.Window)
}

// Age says whether a key's issue time can be accepted.
type Age int

// The ages of a key.
const (
	AgeAccepted Age = iota
	AgeExpired
	AgeFuture
)

// AgeOf tells whether the key lies within the window.
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

// issuedAfter reports whether the key was certainly issued after the epoch had settled.
func (l Limits) issuedAfter(r Roster, epoch uint64, key model.Key, now time.Time) bool {
	at, ok := r.settledAt(epoch)
	return ok && l.issueTime(key, now).After(at.Add(l.margin()))
}
