// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package membership

import (
	"sync"
	"time"

	"sailhead/internal/native/ownership"
)

const (
	// Silence is how long a process that owes an answer may say nothing before it is probed.
	Silence = 400 * time.Millisecond
	// suspicionTime is how long a process that failed a probe is avoided unless it is heard again.
	suspicionTime = 3 * time.Second
)

// Liveness remembers which processes have been heard lately and which failed a probe. Suspicion only
// steers new work away; it is never taken as proof of death. It is safe for concurrent use.
type Liveness struct {
	mu    sync.Mutex
	peers map[ownership.MemberID]*contact
	now   func() time.Time
}

type contact struct {
	heard     time.Time
	suspected time.Time
	isProbed  bool
}

// NewLiveness returns a liveness that has heard nobody and reads the time from the clock.
func NewLiveness(now func() time.Time) *Liveness {
	return &Liveness{peers: make(map[ownership.MemberID]*contact), now: now}
}

func (l *Liveness) of(id ownership.MemberID) *contact {
	c, ok := l.peers[id]
	if !ok {
		c = &contact{}
		l.peers[id] = c
	}
	return c
}

// Heard notes a word of a process and ends its suspicion.
func (l *Liveness) Heard(id ownership.MemberID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.of(id)
	c.heard = l.now()
	c.suspected = time.Time{}
}

// BeginProbe reports whether a silent process should be probed now; only one probe runs at a time.
func (l *Liveness) BeginProbe(id ownership.MemberID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.of(id)
	if c.isProbed || l.now().Sub(c.heard) < Silence {
		return false
	}
	c.isProbed = true
	return true
}

// EndProbe notes the outcome of a probe.
func (l *Liveness) EndProbe(id ownership.MemberID, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.of(id)
	c.isProbed = false
	c.suspected = time.Time{}
	if answered {
		c.heard = l.now()
		return
	}
	c.suspected = l.now().Add(suspicionTime)
}

// Suspects returns the processes to avoid for new work.
func (l *Liveness) Suspects() []ownership.MemberID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var suspects []ownership.MemberID
	for id, c := range l.peers {
		if l.now().Before(c.suspected) {
			suspects = append(suspects, id)
		}
	}
	return suspects
}

// Keep forgets the processes that the roster does not list.
func (l *Liveness) Keep(roster ownership.Roster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.peers {
		if m, ok := roster.MemberByID(id); !ok || !m.IsListed() {
			delete(l.peers, id)
		}
	}
}
