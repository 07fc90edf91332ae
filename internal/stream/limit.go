// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package stream

import (
	"net"
	"sync"
	"time"
)

// writeLimit limits how long the writes of a connection wait for its peer: each one for writeTimeout, and together for finishTimeout once finish
// was called. It is safe for concurrent use.
type writeLimit struct {
	conn net.Conn

	mu sync.Mutex
	// finishedAt is when finish was called, zero before that, and waited is how long writes have lasted since.
	finishedAt time.Time
	waited     time.Duration
}

// begin sets the deadline of a write that begins now.
func (l *writeLimit) begin(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := writeTimeout
	if !l.finishedAt.IsZero() {
		limit = finishTimeout - l.waited
	}
	l.set(now.Add(limit))
}

// end records the duration of a write.
func (l *writeLimit) end(began, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.finishedAt.IsZero() {
		return
	}
	if began.Before(l.finishedAt) {
		began = l.finishedAt
	}
	l.waited += now.Sub(began)
}

// finish limits the write in progress and all later ones together.
func (l *writeLimit) finish(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finishedAt = now
	l.set(now.Add(finishTimeout))
}

func (l *writeLimit) set(deadline time.Time) {
	// An error is ignored, as it occurs only on a closed connection, which the write reports too.
	_ = l.conn.SetWriteDeadline(deadline)
}
