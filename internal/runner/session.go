// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"maps"
	"slices"
	"time"
)

// session is a session with an entry. The agent pings the entry on it; each echo extends the session's lease, and the
// tasks of the entry run while that lease is valid. The times are those of package timing.
type session struct {
	id       SessionID
	entry    string
	zone     string
	lastPing time.Time
	// validUntil is the end of the session's lease.
	validUntil time.Time
	// roundTrip is how long the latest ping and its echo took.
	roundTrip time.Duration
	// lastHandledStart is the number of the session's latest start that the load counts.
	lastHandledStart uint64
	// loadDue is set while the load has changed since it was last sent, and ownLoadDue while that concerns tasks or
	// reservations of this session.
	loadDue    bool
	ownLoadDue bool
	loadSent   time.Time
	// missedOffer is set while the entry has not answered an offer in time and has sent nothing since.
	missedOffer bool
	// lastStart is when the entry last sent a start, and probeUnusedAt when it last left a probe unused; see probe.go.
	lastStart     time.Time
	probeUnusedAt time.Time
	// probeOfferedAt is when it was last offered a probe.
	probeOfferedAt time.Time
}

// openSession adds a session. It ends an earlier session of the same entry, whose tasks are stopped: the entry has lost
// the connection or is a new process.
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

// sessionsInOrder returns the sessions in the order in which they were opened. The result stays as it is when sessions open
// or end.
func (r *Runner) sessionsInOrder() []*session {
	return r.orderedSessions
}

// sortSessions makes the slice of sessionsInOrder anew, after a session was added or removed.
func (r *Runner) sortSessions() {
	r.orderedSessions = make([]*session, 0, len(r.sessions))
	for _, id := range slices.Sorted(maps.Keys(r.sessions)) {
		r.orderedSessions = append(r.orderedSessions, r.sessions[id])
	}
}

// closeSession removes a session and stops its tasks.
func (r *Runner) closeSession(now time.Time, id SessionID) {
	r.dropReservations(id)
	delete(r.sessions, id)
	r.sortSessions()
	r.stopTasksOf(now, id)
}

// endSession closes the connection of a session and removes it.
func (r *Runner) endSession(now time.Time, id SessionID, reason string) {
	r.emit(CloseSession{Session: id, Reason: reason})
	r.closeSession(now, id)
}

// handlePong extends the lease of a session. It counts from when the ping was sent, not from the echo: the entry's
// count of RerunDelay begins no earlier than its echo.
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

// tickSessions pings the entries and ends the sessions whose leases have expired. docs/OPERATIONS.md and package timeline
// quote the reason.
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

// ping sends a ping, and with it the load if that has changed: both go in one packet.
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

// announceWorker sends the worker's record, and with it the load, to every entry.
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
