// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"maps"
	"slices"
	"time"
)

// session is one connection of an entry. Its tasks run while it is valid.
type session struct {
	id            SessionID
	entry         string
	lastPing      time.Time
	validUntil    time.Time
	handledStarts uint64
	// loadDue is set while the entry has not been told the present load.
	loadDue  bool
	loadSent time.Time
}

func (r *Runner) openSession(now time.Time, e SessionOpened) {
	for _, other := range r.sessionsInOrder() {
		if other.entry == e.Entry {
			r.endSession(now, other.id, "the entry has opened another session")
		}
	}
	s := &session{id: e.Session, entry: e.Entry, validUntil: now.Add(r.limits.Session), loadDue: true}
	r.sessions[e.Session] = s
	if r.worker != nil {
		r.emit(SendWorker{Session: s.id, Record: r.worker.record})
	}
	r.sendUnacknowledged(s)
	r.ping(now, s)
}

// sessionsInOrder returns the sessions in the order of their opening.
func (r *Runner) sessionsInOrder() []*session {
	sessions := make([]*session, 0, len(r.sessions))
	for _, id := range slices.Sorted(maps.Keys(r.sessions)) {
		sessions = append(sessions, r.sessions[id])
	}
	return sessions
}

func (r *Runner) closeSession(now time.Time, id SessionID) {
	delete(r.sessions, id)
	r.stopTasksOf(now, id)
}

// endSession ends a session from this side.
func (r *Runner) endSession(now time.Time, id SessionID, reason string) {
	r.emit(CloseSession{Session: id, Reason: reason})
	r.closeSession(now, id)
}

func (r *Runner) handlePong(e PongReceived) {
	s, ok := r.sessions[e.Session]
	if !ok {
		return
	}
	if valid := e.Sent.Add(r.limits.Session); valid.After(s.validUntil) {
		s.validUntil = valid
	}
}

// tickSessions pings the entries and ends the sessions of those that are silent.
func (r *Runner) tickSessions(now time.Time) {
	for _, s := range r.sessionsInOrder() {
		switch {
		case now.After(s.validUntil):
			r.endSession(now, s.id, "the entry is silent")
		case now.Sub(s.lastPing) >= r.limits.Ping:
			r.ping(now, s)
		}
	}
}

func (r *Runner) ping(now time.Time, s *session) {
	s.lastPing = now
	r.emit(SendPing{Session: s.id, Time: now})
}

// isSessionValid reports whether the tasks of a session may run.
func (r *Runner) isSessionValid(now time.Time, id SessionID) bool {
	s, ok := r.sessions[id]
	return ok && !now.After(s.validUntil)
}

// announceWorker tells every entry about the worker.
func (r *Runner) announceWorker() {
	for _, s := range r.sessionsInOrder() {
		r.emit(SendWorker{Session: s.id, Record: r.worker.record})
	}
	r.markLoadDue()
}

// markLoadDue makes every entry due to be told the load.
func (r *Runner) markLoadDue() {
	for _, s := range r.sessions {
		s.loadDue = true
	}
}

// sendLoads tells the load to the entries that are due.
func (r *Runner) sendLoads(now time.Time) {
	for _, s := range r.sessionsInOrder() {
		if s.loadDue && now.Sub(s.loadSent) >= loadInterval {
			s.loadDue = false
			s.loadSent = now
			r.emit(SendLoad{Session: s.id, Handled: s.handledStarts, Load: r.currentLoad(now)})
		}
	}
}

// currentLoad returns what entries are told of the worker.
func (r *Runner) currentLoad(now time.Time) Load {
	load := Load{ShuttingDown: r.shuttingDown, Slowness: r.health.slowness(), FailureRate: r.health.failureRate()}
	if r.worker == nil {
		return load
	}
	load.Used = r.worker.used
	for _, t := range r.queue {
		load.Used = load.Used.Plus(t.Needs)
	}
	load.Accepts = r.refusalReason(now) == ""
	return load
}

// refusalReason says why the worker gets no new tasks; nothing means that it does.
func (r *Runner) refusalReason(now time.Time) string {
	switch {
	case r.shuttingDown:
		return "the agent is leaving"
	case r.worker == nil:
		return "the worker is down"
	case r.worker.record.Draining:
		return "the worker is draining"
	case r.worker.isUnresponsive(now):
		return "the worker is silent"
	case r.worker.clock == 0:
		return "the worker's clock is unknown"
	case now.Before(r.worker.unhealthyUntil):
		return "the worker is unhealthy"
	case len(r.worker.unacknowledged) >= maxUnacknowledged:
		return "too many ends wait for being noted"
	case len(r.worker.orphans) > 0:
		return "the worker still runs tasks of an earlier agent"
	default:
		return ""
	}
}
