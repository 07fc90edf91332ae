// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"maps"
	"slices"
	"time"
)

// session is a session with an entry. The agent sends pings to the entry; each echo extends the session's lease, and the
// tasks of the entry run while the lease is valid. Package timing explains the durations.
type session struct {
	id       SessionID
	entry    string
	zone     string
	lastPing time.Time
	// validUntil is the end of the session's lease.
	validUntil time.Time
	// roundTrip is the round-trip time of the latest echoed ping.
	roundTrip time.Duration
	// lastHandledStart is the number of the session's latest start that the load includes.
	lastHandledStart uint64
	// loadDue is set if the load has changed since it was last sent, and ownLoadDue if tasks or reservations of this session
	// have changed.
	loadDue    bool
	ownLoadDue bool
	loadSent   time.Time
	// missedOffer is set if the entry has not answered an offer in time and has sent nothing since.
	missedOffer bool
	// lastStart is when the entry last sent a start, and probeUnusedAt when it last left a probe unused; see probe.go.
	lastStart     time.Time
	probeUnusedAt time.Time
	// probeOfferedAt is when a probe was last offered to the entry.
	probeOfferedAt time.Time
}

// openSession adds a session. An earlier session of the same entry ends and its tasks are stopped, as the entry has lost
// the connection or has restarted.
func (r *Runner) openSession(now time.Time, e SessionOpened) {
	for _, other := range r.sessionsInOrder() {
		if other.entry == e.Entry {
			r.endSession(now, other.id, "the entry has opened another session")
		}
	}
	s := &session{id: e.Session, entry: e.Entry, zone: e.Zone, validUntil: now.Add(r.limits.Session), loadDue: true}
	r.sessions[e.Session] = s
	r.sortSessions()
	if r.worker != nil {
		r.emit(SendWorker{Session: s.id, Record: r.worker.record})
	}
	r.sendCrashes(now, s)
	r.sendUnacknowledged(s)
	r.ping(now, s)
}

// sessionsInOrder returns the sessions in the order in which they were opened. The returned slice does not change when
// sessions open or end, so callers may end sessions while they iterate over it.
func (r *Runner) sessionsInOrder() []*session {
	return r.orderedSessions
}

// sortSessions rebuilds orderedSessions in a new slice, after a session was added or removed.
func (r *Runner) sortSessions() {
	r.orderedSessions = make([]*session, 0, len(r.sessions))
	for _, id := range slices.Sorted(maps.Keys(r.sessions)) {
		r.orderedSessions = append(r.orderedSessions, r.sessions[id])
	}
}

// closeSession removes a session and stops its tasks.
func (r *Runner) closeSession(now time.Time, id SessionID) {
	ended, ok := r.sessions[id]
	if !ok {
		return
	}
	r.dropReservations(id)
	delete(r.sessions, id)
	r.sortSessions()
	r.stopTasksOf(now, ended)
}

// endSession closes the connection of a session and removes it.
func (r *Runner) endSession(now time.Time, id SessionID, reason string) {
	r.emit(CloseSession{Session: id, Reason: reason})
	r.closeSession(now, id)
}

// handlePong extends the lease of a session. The lease is counted from the sending of the ping, not from the arrival of
// the echo: the entry starts to count timing.RerunDelay no earlier than it sends the echo.
func (r *Runner) handlePong(now time.Time, e PongReceived) {
	s, ok := r.sessions[e.Session]
	if !ok {
		return
	}
	if valid := e.Sent.Add(r.limits.Session); valid.After(s.validUntil) {
		s.validUntil = valid
		s.roundTrip = now.Sub(e.Sent)
	}
}

// tickSessions sends the pings that are due and ends the sessions whose leases have expired. docs/OPERATIONS.md and package
// timeline quote the reason.
func (r *Runner) tickSessions(now time.Time) {
	for _, s := range r.sessionsInOrder() {
		switch {
		case now.After(s.validUntil):
			r.endSession(now, s.id, "the entry is silent")
		case now.Sub(s.lastPing) >= r.limits.IdlePing, now.Sub(s.lastPing) >= r.limits.Ping && r.hasTasks(s.id):
			r.ping(now, s)
		}
	}
}

// hasTasks reports whether a task of a session is queued or active.
func (r *Runner) hasTasks(id SessionID) bool {
	for _, t := range r.tasks {
		if t.session == id {
			return true
		}
	}
	return false
}

// ping sends a ping, and with it the load if that has changed, so that both are sent in one packet.
func (r *Runner) ping(now time.Time, s *session) {
	s.lastPing = now
	s.ownLoadDue = true
	r.emit(SendPing{Session: s.id, Time: now})
}

// isSessionValid reports whether a session exists and its lease has not expired.
func (r *Runner) isSessionValid(now time.Time, id SessionID) bool {
	s, ok := r.sessions[id]
	return ok && !now.After(s.validUntil)
}

// announceWorker sends the worker's record and the load to every entry.
func (r *Runner) announceWorker() {
	for _, s := range r.sessionsInOrder() {
		r.emit(SendWorker{Session: s.id, Record: r.worker.record})
	}
	r.markLoadDue()
}

// sendUpdate sends an update on a session, if it still exists.
func (r *Runner) sendUpdate(id SessionID, update Update) {
	if s, ok := r.sessions[id]; ok {
		s.ownLoadDue = true
		r.emit(SendUpdate{Session: id, Update: update})
	}
}

func (r *Runner) sendUpdateToAll(update Update) {
	for _, s := range r.sessionsInOrder() {
		r.sendUpdate(s.id, update)
	}
}
