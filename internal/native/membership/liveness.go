// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package membership

import (
	"sync"
	"time"

	"sailhead/internal/native/ownership"
)

const (
	// ResponseTimeout is how long a process with a response due may send nothing before it is probed, and how long the probe waits for its
	// answer.
	ResponseTimeout = 400 * time.Millisecond
	// suspicionTimeout is how long a process that failed a probe is suspected, unless it is heard from before. After it new work goes there
	// again and is probed again.
	suspicionTimeout = 3 * time.Second
)

// Liveness records which processes were heard from lately and which failed a probe. It is safe for concurrent use.
//
// Inputs: the time of the last message of each process, and the outcome of its last probe.
//
// Rule: while a response of a process is due, the process is probed when nothing was heard from it for ResponseTimeout,
// by one probe at a time. After a failed probe it is suspected for suspicionTimeout, or until something is heard from
// it.
//
// Reason: suspicion only steers new work elsewhere. It removes nobody and moves no key, as a process that does not
// respond may continue later. A probe is sent only where somebody waits, so that idle processes cost nothing.
type Liveness struct {
	mu    sync.Mutex
	peers map[ownership.MemberID]*contact
	now   func() time.Time
}

// contact is what is known of one process.
type contact struct {
	// heard is when the process was last heard from.
	heard time.Time
	// suspectedUntil is zero while the process is not suspected.
	suspectedUntil time.Time
	isProbed       bool
}

// NewLiveness returns a Liveness without records that reads the time by calling now.
func NewLiveness(now func() time.Time) *Liveness {
	return &Liveness{peers: make(map[ownership.MemberID]*contact), now: now}
}

// of returns the contact of a process, a new one if there is none.
func (l *Liveness) of(id ownership.MemberID) *contact {
	c, ok := l.peers[id]
	if !ok {
		c = &contact{}
		l.peers[id] = c
	}
	return c
}

// Heard records a message from a process and ends its suspicion.
func (l *Liveness) Heard(id ownership.MemberID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.of(id)
	c.heard = l.now()
	c.suspectedUntil = time.Time{}
}

// BeginProbe reports whether a process should be probed now. If so, the caller must call EndProbe.
func (l *Liveness) BeginProbe(id ownership.MemberID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.of(id)
	if c.isProbed || l.now().Sub(c.heard) < ResponseTimeout {
		return false
	}
	c.isProbed = true
	return true
}

// EndProbe records the outcome of a probe.
func (l *Liveness) EndProbe(id ownership.MemberID, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.of(id)
	c.isProbed = false
	c.suspectedUntil = time.Time{}
	if answered {
		c.heard = l.now()
		return
	}
	c.suspectedUntil = l.now().Add(suspicionTimeout)
}

// Suspects returns the processes that should get no new work, in no particular order.
func (l *Liveness) Suspects() []ownership.MemberID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var suspects []ownership.MemberID
	for id, c := range l.peers {
		if l.now().Before(c.suspectedUntil) {
			suspects = append(suspects, id)
		}
	}
	return suspects
}

// Keep removes the records of processes that the roster does not list.
func (l *Liveness) Keep(roster ownership.Roster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.peers {
		if m, ok := roster.MemberByID(id); !ok || !m.IsListed() {
			delete(l.peers, id)
		}
	}
}
