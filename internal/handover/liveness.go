// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package handover

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/timing"
)

// pingInterval is the time between two pings of each end while jobs are under way: two lost pings are not yet timing.SessionCloseTimeout.
const pingInterval = timing.IdlePingInterval

// errSilent ends a connection whose peer was silent for too long.
var errSilent = errors.New("handover: the peer is silent")

// liveness tells whether the peer of a connection is silent. Only time in which jobs are under way counts, as pings are sent only then. It is safe
// for concurrent use.
type liveness struct {
	mu sync.Mutex
	// jobs is how many are under way, and heard when the peer was heard last or the first of them began, if that was later.
	jobs  int
	heard time.Time
}

// began records that a job is under way.
func (l *liveness) began(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.jobs == 0 {
		l.heard = now
	}
	l.jobs++
}

// ended records that a job is not under way any more.
func (l *liveness) ended() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs--
}

// received records that the peer was heard.
func (l *liveness) received(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = now
}

// check reports whether jobs are under way and whether the peer is silent.
func (l *liveness) check(now time.Time) (isActive, isSilent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isActive = l.jobs > 0
	return isActive, isActive && now.Sub(l.heard) > timing.SessionCloseTimeout
}
