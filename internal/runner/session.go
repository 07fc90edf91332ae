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
	id      SessionID
	entry   string
	pinged  time.Time
	valid   time.Time
	handled uint64
	// loadDue is set while the entry has not been told the present load.
	loadDue bool
	loaded  time.Time
}

func (r *Runner) openSession(now time.Time, e SessionOpened) {
	for _, other := range r.inOrder() {
		if other.entry == e.Entry {
			r.endSession(now, other.id, "the entry has opened another session")
		}
	}
	s := &session{id: e.Session, entry: e.Entry, valid: now.Add(r.limits.Session), loadDue: true}
	r.sessions[e.Session] = s
	if r.life != nil {
		r.emit(SendWorker{Session: s.id, Record: r.life.record})
	}
	r.tellUnnoted(s)
	r.ping(now, s)
}

// inOrder returns the sessions in the order of their opening.
func (r *Runner) inOrder() []*session {
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

func (r *Runner) hearPong(e PongHeard) {
	s, ok := r.sessions[e.Session]
	if !ok {
		return
	}
	if valid := e.Sent.Add(r.limits.Session); valid.After(s.valid) {
		s.valid = valid
	}
}

// tickSessions pings the entries and ends the sessions of those that are silent.
func (r *Runner) tickSessions(now time.Time) {
	for _, s := range r.inOrder() {
		switch {
		case now.After(s.valid):
			r.endSession(now, s.id, "the entry is silent")
		case now.Sub(s.pinged) >= r.limits.Ping:
			r.ping(now, s)
		}
	}
}

func (r *Runner) ping(now time.Time, s *session) {
	s.pinged = now
	r.emit(SendPing{Session: s.id, Time: now})
}

// isValid reports whether the tasks of a session may run.
func (r *Runner) isValid(now time.Time, id SessionID) bool {
	s, ok := r.sessions[id]
	return ok && !now.After(s.valid)
}

// describeWorker tells every entry about the worker.
func (r *Runner) describeWorker() {
	for _, s := range r.inOrder() {
		r.emit(SendWorker{Session: s.id, Record: r.life.record})
	}
	r.markLoad()
}

// markLoad makes every entry due to be told the load.
func (r *Runner) markLoad() {
	for _, s := range r.sessions {
		s.loadDue = true
	}
}

// sendLoads tells the load to the entries that are due.
func (r *Runner) sendLoads(now time.Time) {
	for _, s := range r.inOrder() {
		if s.loadDue && now.Sub(s.loaded) >= loadPause {
			s.loadDue = false
			s.loaded = now
			r.emit(SendLoad{Session: s.id, Handled: s.handled, Load: r.load(now)})
		}
	}
}

// load returns what entries are told of the worker.
func (r *Runner) load(now time.Time) Load {
	load := Load{Leaving: r.leaving, Slowness: r.health.slowness(), FailureRate: r.health.failureRate()}
	if r.life == nil {
		return load
	}
	load.Used = r.life.used
	for _, t := range r.queue {
		load.Used = load.Used.Plus(t.Needs)
	}
	load.Accepts = r.refusal(now) == ""
	return load
}

// refusal says why the worker gets no new tasks; nothing means that it does.
func (r *Runner) refusal(now time.Time) string {
	switch {
	case r.leaving:
		return "the agent is leaving"
	case r.life == nil:
		return "the worker is down"
	case r.life.record.Draining:
		return "the worker is draining"
	case r.life.isSilent(now):
		return "the worker is silent"
	case r.life.clock == 0:
		return "the worker's clock is unknown"
	case now.Before(r.life.unhealthyUntil):
		return "the worker is unhealthy"
	case len(r.life.unnoted) >= mostUnnoted:
		return "too many ends wait for being noted"
	case len(r.life.foreign) > 0:
		return "the worker still runs tasks of an earlier agent"
	default:
		return ""
	}
}
