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
	"sailhead/internal/worker"
)

const (
	// redialPause lies between two tries to reach an agent, and grows to redialLimit.
	redialPause = 100 * time.Millisecond
	redialLimit = 800 * time.Millisecond
	// giveUpAfter is how long an agent is not reached before it is given up.
	giveUpAfter = 10 * time.Minute
	// silenceInterval is the time between two looks for silent agents.
	silenceInterval = 50 * time.Millisecond
	// suspectAfter is the silence from which an agent gets no new tasks.
	suspectAfter = 300 * time.Millisecond
	// closeAfter is the silence from which a session is ended.
	closeAfter = 560 * time.Millisecond
)

// agentSession is the session with one agent; it hands what the agent says to the dispatcher.
type agentSession struct {
	entry   *Frontend
	id      dispatch.AgentID
	toAgent *session.ToAgent
	// heard is when the agent was last heard, in nanoseconds since the epoch of the process's steady clock.
	heard atomic.Int64
	// incarnation is that of the agent's process; 0 until it says so.
	incarnation atomic.Int64
	silent      bool
}

// epoch is the origin of the times in agentSession.
var epoch = time.Now()

// Heard notes that the agent lives.
func (s *agentSession) Heard() {
	s.heard.Store(int64(time.Since(epoch)))
}

// Incarnation notes which process of the agent the session is with.
func (s *agentSession) Incarnation(incarnation int64) {
	s.incarnation.Store(incarnation)
}

// Worker hands on the description of the worker.
func (s *agentSession) Worker(record worker.Record) {
	s.entry.post(dispatch.WorkerSeen{Agent: s.id, Record: record})
}

// Load hands on the load of the worker.
func (s *agentSession) Load(handled uint64, load runner.Load) {
	s.entry.post(dispatch.LoadSeen{Agent: s.id, Handled: handled, Load: load})
}

// Update hands on what became of a run.
func (s *agentSession) Update(update runner.Update) {
	if update.Unnoted {
		s.entry.postKeep(durable.TaskEnded{Agent: s.id, Update: update})
		return
	}
	s.entry.post(dispatch.RunUpdated{Agent: s.id, Update: update})
}

// connect keeps a goroutine for each agent in the directory.
func (f *Frontend) connect() {
	type dial struct {
		member cluster.Member
		stop   context.CancelFunc
	}
	// A newer incarnation is dialed at once: its predecessor's session is over.
	dials := make(map[string]dial)
	for {
		changed := f.directory.Changed()
		current := make(map[string]cluster.Member)
		for _, m := range f.directory.Members(cluster.RoleAgent) {
			current[m.Name] = m
		}
		f.post(dispatch.AgentsKnown{Agents: len(current)})
		for name, d := range dials {
			if f.isOutdated(d.member, current[name]) {
				d.stop()
				delete(dials, name)
			}
		}
		for name, m := range current {
			if _, ok := dials[name]; ok {
				continue
			}
			ctx, stop := context.WithCancel(f.context)
			dials[name] = dial{member: m, stop: stop}
			f.duties.Go(func() { f.keepSession(ctx, m) })
		}
		select {
		case <-f.context.Done():
			return
		case <-changed:
		}
	}
}

// isOutdated reports whether the session with an agent must be opened anew for a later record of it. After a restart the
// earlier record may have led to the new process already: its tasks would be lost with the session.
func (f *Frontend) isOutdated(dialed, current cluster.Member) bool {
	switch {
	case current.Address != dialed.Address:
		return true
	case current.Incarnation == dialed.Incarnation:
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.sessions[dispatch.AgentID(dialed.Name)]
	return !ok || s.incarnation.Load() != current.Incarnation
}

// keepSession opens a session with an agent, again and again.
func (f *Frontend) keepSession(ctx context.Context, m cluster.Member) {
	pause := redialPause
	reached := time.Now()
	for ctx.Err() == nil {
		toAgent, err := session.Dial(ctx, m.Address, f.self.Name)
		if err == nil {
			pause = redialPause
			err = f.serveSession(ctx, m, toAgent)
			reached = time.Now()
		}
		if time.Since(reached) > giveUpAfter {
			f.forgetAgent(m)
			return
		}
		_ = level.Debug(f.logger).Log("msg", "no session", "agent", m.Name, "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, redialLimit)
	}
}

// forgetAgent gives up an agent that was not reached for long: its machine is gone. One that lives announces itself.
func (f *Frontend) forgetAgent(m cluster.Member) {
	_ = level.Info(f.logger).Log("msg", "agent given up", "agent", m.Name, "address", m.Address, "not_reached_for", giveUpAfter)
	if err := f.store.RemoveMember(m); err != nil {
		_ = level.Warn(f.logger).Log("msg", "unable to remove the agent's record", "agent", m.Name, "err", err)
	}
	f.directory.ForgetMember(time.Now(), m)
}

func (f *Frontend) serveSession(ctx context.Context, m cluster.Member, toAgent *session.ToAgent) error {
	s := &agentSession{entry: f, id: dispatch.AgentID(m.Name), toAgent: toAgent}
	s.Heard()
	stop := context.AfterFunc(ctx, toAgent.Close)
	defer stop()
	f.mu.Lock()
	f.sessions[s.id] = s
	f.mu.Unlock()
	f.post(dispatch.AgentUp{Agent: s.id})
	err := toAgent.Serve(s)
	f.mu.Lock()
	delete(f.sessions, s.id)
	f.mu.Unlock()
	f.post(dispatch.AgentDown{Agent: s.id})
	return err
}

// watchSilence suspects silent agents and ends the sessions of those that stay silent.
func (f *Frontend) watchSilence() {
	ticker := time.NewTicker(silenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.context.Done():
			return
		case <-ticker.C:
			for _, s := range f.openSessions() {
				f.checkSilence(s)
			}
		}
	}
}

func (f *Frontend) openSessions() []*agentSession {
	f.mu.Lock()
	defer f.mu.Unlock()
	sessions := make([]*agentSession, 0, len(f.sessions))
	for _, s := range f.sessions {
		sessions = append(sessions, s)
	}
	return sessions
}

func (f *Frontend) checkSilence(s *agentSession) {
	silence := time.Since(epoch) - time.Duration(s.heard.Load())
	switch {
	case silence > closeAfter:
		s.toAgent.Close()
	case silence > suspectAfter && !s.silent:
		s.silent = true
		f.post(dispatch.AgentSilent{Agent: s.id})
	case silence <= suspectAfter && s.silent:
		s.silent = false
		f.post(dispatch.AgentHeard{Agent: s.id})
	}
}
