// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/clock"
	"sailhead/internal/cluster"
	"sailhead/internal/dispatch"
	"sailhead/internal/session"
)

const (
	// minRedialDelay is the pause after a session ended or could not be opened. It doubles with each failure up to maxRedialDelay.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 800 * time.Millisecond
	// forgetAfter is how long an agent cannot be reached before its record is removed: its VM has been replaced. An agent that was only cut
	// off announces itself again.
	forgetAfter = 10 * time.Minute
)

// dial is the goroutine that keeps the session with one agent.
type dial struct {
	agent cluster.Member
	stop  context.CancelFunc
	// unwantedSince is when the agent was left out of the subset, zero while it is in it.
	unwantedSince time.Time
}

// dials are the goroutines of all sessions by the name of the agent. Only the duty connect uses them.
type dials map[string]*dial

// connect runs a goroutine for each agent in the subset (package subset), which keeps a session with it.
func (e *Entry) connect() {
	if !e.awaitMembers() {
		return
	}
	dials := make(dials)
	ticker := time.NewTicker(releaseInterval)
	defer ticker.Stop()
	for {
		changed := e.directory.Changed()
		agents := e.knownAgents()
		wanted := e.chooseAgents(agents)
		e.stopOutdated(dials, agents)
		e.dialMissing(dials, wanted)
		e.releaseUnwanted(dials, wanted)
		select {
		case <-e.context.Done():
			return
		case <-changed:
		case <-e.choice.changed:
		case <-ticker.C:
		case id := <-e.idleAgents:
			dials.close(id)
		}
	}
}

// knownAgents returns the registered agents by name.
func (e *Entry) knownAgents() map[string]cluster.Member {
	agents := make(map[string]cluster.Member)
	for _, agent := range e.directory.Members(cluster.RoleAgent) {
		agents[agent.Name] = agent
	}
	return agents
}

// stopOutdated ends the sessions with agents that are gone, or have moved or restarted. A newer process is dialed at
// once, as its predecessor's session is over.
func (e *Entry) stopOutdated(dials dials, agents map[string]cluster.Member) {
	for name, d := range dials {
		if e.isOutdated(d.agent, agents[name]) {
			d.stop()
			delete(dials, name)
		}
	}
}

// dialMissing starts a goroutine for each wanted agent that has none.
func (e *Entry) dialMissing(dials dials, wanted map[string]cluster.Member) {
	for name, agent := range wanted {
		if _, ok := dials[name]; ok {
			continue
		}
		ctx, stop := context.WithCancel(e.context)
		dials[name] = &dial{agent: agent, stop: stop}
		e.duties.Go(func() { e.keepSession(ctx, agent) })
	}
}

// isOutdated reports whether an agent has to be dialed again because of a later record. The record of a restarted agent
// may come after the entry has reached the new process at the same address: that session is kept, since its tasks
// would be lost with it.
func (e *Entry) isOutdated(dialed, current cluster.Member) bool {
	switch {
	case current.Address != dialed.Address:
		return true
	case current.Incarnation == dialed.Incarnation:
		return false
	}
	s, ok := e.sessions.get(dispatch.AgentID(dialed.Name))
	return !ok || s.incarnation.Load() != current.Incarnation
}

// keepSession opens a session with an agent again whenever it ends, until the context ends or the agent was not reached
// for forgetAfter.
func (e *Entry) keepSession(ctx context.Context, agent cluster.Member) {
	delay := minRedialDelay
	reached := clock.Now()
	defer e.choice.setLost(agent.Name, false)
	for ctx.Err() == nil {
		conn, err := session.Dial(ctx, agent.Address, session.Entry{Name: e.self.Name, Zone: e.self.Zone}, e.traffic)
		if err == nil {
			delay = minRedialDelay
			e.choice.setLost(agent.Name, false)
			err = e.serveSession(ctx, agent, conn)
			reached = clock.Now()
		}
		if clock.Since(reached) > lostAfter {
			e.choice.setLost(agent.Name, true)
		}
		if clock.Since(reached) > forgetAfter {
			e.forgetAgent(agent)
			return
		}
		_ = level.Debug(e.logger).Log("msg", "no session", "agent", agent.Name, "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// forgetAgent removes the record of an agent that was not reached for forgetAfter.
func (e *Entry) forgetAgent(agent cluster.Member) {
	_ = level.Info(e.logger).Log("msg", "agent given up", "agent", agent.Name, "address", agent.Address, "not_reached_for", forgetAfter)
	if err := e.store.RemoveMember(agent); err != nil {
		_ = level.Warn(e.logger).Log("msg", "unable to remove the agent's record", "agent", agent.Name, "err", err)
	}
	e.directory.ForgetMember(clock.Now(), agent)
}
