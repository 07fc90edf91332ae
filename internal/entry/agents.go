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
	// minRedialDelay is the delay before redialing after a session ended or could not be opened. It doubles with each
	// failure up to maxRedialDelay.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 800 * time.Millisecond
	// recordExpiry is how long an agent must be unreachable before its record is removed, as that of a replaced VM. An agent
	// that was only disconnected announces itself again.
	recordExpiry = 10 * time.Minute
)

// agentDialer controls the goroutine that keeps a session with one agent open.
type agentDialer struct {
	agent cluster.Member
	stop  context.CancelFunc
	// deselectedSince is when the agent left the subset; zero while it is in the subset.
	deselectedSince time.Time
}

// agentDialers holds the dialers by agent name. Only the connect goroutine uses it.
type agentDialers map[string]*agentDialer

// connect runs one goroutine per agent in the subset (package subset), which keeps a session with that agent open.
func (e *Entry) connect() {
	if !e.awaitMembers() {
		return
	}
	dials := make(agentDialers)
	ticker := time.NewTicker(releaseInterval)
	defer ticker.Stop()
	for {
		changed := e.directory.Changed()
		agents := e.knownAgents()
		selected := e.chooseAgents(agents)
		e.stopOutdated(dials, agents)
		e.dialMissing(dials, selected)
		e.releaseDeselected(dials, selected)
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

// stopOutdated ends the sessions with agents that are gone, have moved or have restarted.
func (e *Entry) stopOutdated(dials agentDialers, agents map[string]cluster.Member) {
	for name, d := range dials {
		if e.isOutdated(d.agent, agents[name]) {
			d.stop()
			delete(dials, name)
		}
	}
}

// dialMissing starts a goroutine for each selected agent that has none.
func (e *Entry) dialMissing(dials agentDialers, selected map[string]cluster.Member) {
	for name, agent := range selected {
		if _, ok := dials[name]; ok {
			continue
		}
		ctx, stop := context.WithCancel(e.context)
		dials[name] = &agentDialer{agent: agent, stop: stop}
		e.goroutines.Go(func() { e.keepSession(ctx, agent) })
	}
}

// isOutdated reports whether an agent must be redialed because its record changed. The record of a restarted agent may
// arrive after the entry has already connected to the new process at the same address. That session is kept, because
// closing it would lose its tasks.
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

// keepSession opens a session with an agent and reopens it whenever it ends, until the context is cancelled or the agent
// was unreachable for recordExpiry. It first waits for the end of an earlier keepSession for this agent.
func (e *Entry) keepSession(ctx context.Context, agent cluster.Member) {
	release, ok := e.sessions.reserve(ctx, dispatch.AgentID(agent.Name))
	if !ok {
		return
	}
	defer release()
	delay := minRedialDelay
	reached := clock.Now()
	defer e.choice.setUnreachable(agent.Name, false)
	for ctx.Err() == nil {
		conn, err := session.Dial(ctx, agent.Address, session.Entry{Name: e.self.Name, Zone: e.self.Zone}, e.traffic)
		if err == nil {
			delay = minRedialDelay
			e.choice.setUnreachable(agent.Name, false)
			err = e.serveSession(ctx, agent, conn)
			reached = clock.Now()
		}
		if clock.Since(reached) > unreachableAfter {
			e.choice.setUnreachable(agent.Name, true)
		}
		if clock.Since(reached) > recordExpiry {
			e.removeAgent(agent)
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

// removeAgent removes the record of an agent that was unreachable for recordExpiry.
func (e *Entry) removeAgent(agent cluster.Member) {
	_ = level.Info(e.logger).Log("msg", "removing unreachable agent", "agent", agent.Name, "address", agent.Address, "not_reached_for", recordExpiry)
	if err := e.store.RemoveMember(agent); err != nil {
		_ = level.Warn(e.logger).Log("msg", "unable to remove the agent's record", "agent", agent.Name, "err", err)
	}
	e.directory.RemoveMember(clock.Now(), agent)
}
