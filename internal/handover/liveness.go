// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package handover

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/timing"
)

// pingInterval is the time between pings of each end while jobs are outstanding. Two lost pings stay within timing.SessionCloseTimeout.
const pingInterval = timing.IdlePingInterval

// errSilent closes a connection whose peer was silent for timing.SessionCloseTimeout.
var errSilent = errors.New("handover: the peer has shown nothing of itself within the session close timeout")

// liveness detects a silent peer of a connection. Only time with outstanding jobs counts, as pings are sent only then. It is safe for
// concurrent use.
//
// The sender of jobs counts silence from the arrival of messages. Their receiver counts it from when it sent the latest ping that the sender has
// echoed: a connection may deliver messages late without a pause, and the withdrawal of a job is as late as the others.
type liveness struct {
	mu sync.Mutex
	// jobs is the number of outstanding jobs.
	jobs int
	// lastHeard is the latest time at which the peer is known to have been alive, or the arrival of the first outstanding job if that is later.
	lastHeard time.Time
}

// began records an additional outstanding job, at a time at which its sender is known to have been alive: that of its arrival, or that of the
// ping whose echo confirms it.
func (l *liveness) began(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.jobs == 0 {
		l.lastHeard = at
	}
	l.jobs++
}

// ended records that a job is no longer outstanding.
func (l *liveness) ended() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs--
}

// received records that the peer was alive at a time.
func (l *liveness) received(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.lastHeard) {
		l.lastHeard = at
	}
}

// check reports whether jobs are outstanding and, if so, whether the peer has been silent for timing.SessionCloseTimeout, and when to check
// again: after pingInterval, or when the peer will have been silent for that long if that is earlier.
func (l *liveness) check(now time.Time) (isActive, isSilent bool, next time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isActive = l.jobs > 0
	if !isActive {
		return false, false, pingInterval
	}
	remaining := timing.SessionCloseTimeout - now.Sub(l.lastHeard)
	return true, remaining <= 0, min(pingInterval, remaining)
}
