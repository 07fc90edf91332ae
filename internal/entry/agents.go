// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/cluster"
	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/runner"
	"sailhead/internal/session"
	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

const (
	// redialPause lies between two tries to reach an agent, and grows to redialLimit.
	redialPause = 100 * time.Millisecond
	redialLimit = 800 * time.Millisecond
	// forgetAfter is how long an agent is not reached before it is given up.
	forgetAfter = 10 * time.Minute
	// livenessInterval is the time between two looks for silent agents.
	livenessInterval = 50 * time.Millisecond
)

// agentSession is the session with one agent; it hands what the agent says to the dispatcher.
type agentSession struct {
	entry   *Entry
	id      dispatch.AgentID
	toAgent *session.AgentConn
	// lastMessage is when the agent was last heard, in nanoseconds since the epoch of the process's steady clock.
	lastMessage atomic.Int64
	// incarnation is that of the agent's process; 0 until it says so.
	incarnation  atomic.Int64
	unresponsive bool
}

// epoch is the origin of the times in agentSession.
var epoch = time.Now()

// MessageReceived notes that the agent lives.
func (s *agentSession) MessageReceived() {
	s.lastMessage.Store(int64(time.Since(epoch)))
}

// Incarnation notes which process of the agent the session is with.
func (s *agentSession) Incarnation(incarnation int64) {
	s.incarnation.Store(incarnation)
}

// Worker hands on the description of the worker.
func (s *agentSession) Worker(record worker.Record) {
	s.entry.post(dispatch.WorkerDescribed{Agent: s.id, Record: record})
}

// Load hands on the load of the worker.
func (s *agentSession) Load(handled uint64, load runner.Load) {
	s.entry.post(dispatch.LoadReceived{Agent: s.id, Handled: handled, Load: load})
}

// Update hands on what became of a run.
func (s *agentSession) Update(update runner.Update) {
	if update.Unacknowledged {
		s.entry.postDurable(durable.TaskEnded{Agent: s.id, Update: update})
		return
	}
	s.entry.post(dispatch.RunUpdated{Agent: s.id, Update: update})
}

// connect keeps a goroutine for each agent in the directory.
func (e *Entry) connect() {
	type dial struct {
		member cluster.Member
		stop   context.CancelFunc
	}
	// A newer incarnation is dialed at once: its predecessor's session is over.
	dials := make(map[string]dial)
	for {
		changed := e.directory.Changed()
		current := make(map[string]cluster.Member)
		for _, m := range e.directory.Members(cluster.RoleAgent) {
			current[m.Name] = m
		}
		e.post(dispatch.AgentsCounted{Agents: len(current)})
		for name, d := range dials {
			if e.isOutdated(d.member, current[name]) {
				d.stop()
				delete(dials, name)
			}
		}
		for name, m := range current {
			if _, ok := dials[name]; ok {
				continue
			}
			ctx, stop := context.WithCancel(e.context)
			dials[name] = dial{member: m, stop: stop}
			e.duties.Go(func() { e.keepSession(ctx, m) })
		}
		select {
		case <-e.context.Done():
			return
		case <-changed:
		}
	}
}

// isOutdated reports whether the session with an agent must be opened anew for a later record of it. After a restart the
// earlier record may have led to the new process already: its tasks would be lost with the session.
func (e *Entry) isOutdated(dialed, current cluster.Member) bool {
	switch {
	case current.Address != dialed.Address:
		return true
	case current.Incarnation == dialed.Incarnation:
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sessions[dispatch.AgentID(dialed.Name)]
	return !ok || s.incarnation.Load() != current.Incarnation
}

// keepSession opens a session with an agent, again and again.
func (e *Entry) keepSession(ctx context.Context, m cluster.Member) {
	pause := redialPause
	reached := time.Now()
	for ctx.Err() == nil {
		toAgent, err := session.Dial(ctx, m.Address, e.self.Name)
		if err == nil {
			pause = redialPause
			err = e.serveSession(ctx, m, toAgent)
			reached = time.Now()
		}
		if time.Since(reached) > forgetAfter {
			e.forgetAgent(m)
			return
		}
		_ = level.Debug(e.logger).Log("msg", "no session", "agent", m.Name, "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, redialLimit)
	}
}

// forgetAgent gives up an agent that was not reached for long: its machine is gone. One that lives announces itself.
func (e *Entry) forgetAgent(m cluster.Member) {
	_ = level.Info(e.logger).Log("msg", "agent given up", "agent", m.Name, "address", m.Address, "not_reached_for", forgetAfter)
	if err := e.store.RemoveMember(m); err != nil {
		_ = level.Warn(e.logger).Log("msg", "unable to remove the agent's record", "agent", m.Name, "err", err)
	}
	e.directory.ForgetMember(time.Now(), m)
}

func (e *Entry) serveSession(ctx context.Context, m cluster.Member, toAgent *session.AgentConn) error {
	s := &agentSession{entry: e, id: dispatch.AgentID(m.Name), toAgent: toAgent}
	s.MessageReceived()
	stop := context.AfterFunc(ctx, toAgent.Close)
	defer stop()
	e.mu.Lock()
	e.sessions[s.id] = s
	e.mu.Unlock()
	e.post(dispatch.AgentUp{Agent: s.id})
	err := toAgent.Serve(s)
	e.mu.Lock()
	delete(e.sessions, s.id)
	e.mu.Unlock()
	e.post(dispatch.AgentDown{Agent: s.id})
	return err
}

// watchLiveness suspects silent agents and ends the sessions of those that stay silent.
func (e *Entry) watchLiveness() {
	ticker := time.NewTicker(livenessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.context.Done():
			return
		case <-ticker.C:
			for _, s := range e.openSessions() {
				e.checkLiveness(s)
			}
		}
	}
}

func (e *Entry) openSessions() []*agentSession {
	e.mu.Lock()
	defer e.mu.Unlock()
	sessions := make([]*agentSession, 0, len(e.sessions))
	for _, s := range e.sessions {
		sessions = append(sessions, s)
	}
	return sessions
}

func (e *Entry) checkLiveness(s *agentSession) {
	silence := time.Since(epoch) - time.Duration(s.lastMessage.Load())
	switch {
	case silence > timing.CloseAfter:
		s.toAgent.Close()
	case silence > timing.SuspectAfter && !s.unresponsive:
		s.unresponsive = true
		e.post(dispatch.AgentUnresponsive{Agent: s.id})
	case silence <= timing.SuspectAfter && s.unresponsive:
		s.unresponsive = false
		e.post(dispatch.AgentResponsive{Agent: s.id})
	}
}
