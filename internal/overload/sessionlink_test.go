// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/runner"
	"sailhead/internal/timing"
)

// livenessInterval is the interval at which an entry checks its sessions, as in package entry.
const livenessInterval = 50 * time.Millisecond

// networkPath is the network path from an entry to an agent or to another entry. While it is silent, nothing gets through, and what was sent
// arrives later.
type networkPath struct {
	clock *scheduler
	// forthFrom and backFrom are when each direction carries messages again. Those of an entry to an agent go forth.
	forthFrom, backFrom time.Time
	// forthDelay and backDelay are how much later than usual messages arrive that are sent in each direction.
	forthDelay, backDelay time.Duration
}

// silence makes both directions silent for a time.
func (p *networkPath) silence(span time.Duration) {
	p.forthFrom = latest(p.forthFrom, p.clock.now.Add(span))
	p.backFrom = latest(p.backFrom, p.clock.now.Add(span))
}

func (p *networkPath) isSilent() bool {
	return p.clock.now.Before(p.forthFrom) || p.clock.now.Before(p.backFrom)
}

// stream is one direction of a connection. It delivers messages in their order.
type stream struct {
	clock *scheduler
	// from is when the direction of the path carries messages again.
	from *time.Time
	// extraDelay is how much later than usual messages arrive that are sent now.
	extraDelay *time.Duration
	queue      []streamMessage
}

type streamMessage struct {
	due     time.Time
	deliver func()
}

func (s *stream) send(deliver func()) {
	delay := sessionDelay + *s.extraDelay
	s.queue = append(s.queue, streamMessage{due: s.clock.now.Add(delay), deliver: deliver})
	if len(s.queue) == 1 {
		s.clock.after(delay, s.carry)
	}
}

// carry delivers the first message if it is due and the path is not silent.
func (s *stream) carry() {
	if len(s.queue) == 0 {
		return
	}
	if due := latest(s.queue[0].due, *s.from); s.clock.now.Before(due) {
		s.clock.after(due.Sub(s.clock.now), s.carry)
		return
	}
	deliver := s.queue[0].deliver
	s.queue = s.queue[1:]
	if len(s.queue) > 0 {
		s.clock.after(0, s.carry)
	}
	deliver()
}

// clusterSession is a session between an entry and an agent.
type clusterSession struct {
	id                   runner.SessionID
	entry                *clusterEntry
	agent                *clusterAgent
	isAtEntry, isAtAgent bool
	toAgent, toEntry     stream
	// lastMessage is when the entry received the latest message.
	lastMessage time.Time
}

// dial opens a session with an agent.
func (e *clusterEntry) dial(a *clusterAgent) {
	c := e.cluster
	path := c.path(e, a)
	if e.sessions[a.id] != nil || a.isDown || path.isSilent() {
		return
	}
	c.lastSession++
	s := &clusterSession{id: c.lastSession, entry: e, agent: a, isAtEntry: true, lastMessage: c.now}
	s.toAgent = stream{clock: c.scheduler, from: &path.forthFrom, extraDelay: &path.forthDelay}
	s.toEntry = stream{clock: c.scheduler, from: &path.backFrom, extraDelay: &path.backDelay}
	e.sessions[a.id] = s
	c.record("session %d between %s and %s opens", s.id, e.name, a.id)
	s.toAgent.send(a.inLife(func() {
		s.isAtAgent = true
		a.sessions[s.id] = s
		a.handle(runner.SessionOpened{Session: s.id, Entry: e.name, Zone: zones[0]})
	}))
	e.handle(dispatch.AgentUp{Agent: a.id})
}

// sendToAgent sends an event to the agent, which gets it unless the session has ended there.
func (s *clusterSession) sendToAgent(event runner.Event) {
	s.toAgent.send(func() {
		s.agent.do(func() {
			if s.isAtAgent {
				s.agent.handle(event)
			}
		})
	})
}

// sendToEntry makes the entry handle a message, unless the session has ended there.
func (s *clusterSession) sendToEntry(handle func()) {
	s.toEntry.send(func() {
		s.entry.do(func() {
			if s.isAtEntry {
				s.lastMessage = s.entry.cluster.now
				handle()
			}
		})
	})
}

// ping sends a ping to the entry, which echoes it.
func (s *clusterSession) ping(sent time.Time) {
	s.sendToEntry(func() { s.entry.handle(dispatch.AgentPinged{Agent: s.agent.id, Time: int64(sent.Sub(origin))}) })
}

// closeAtEntry ends the session at the entry. The agent learns of it as soon as the path is not silent.
func (s *clusterSession) closeAtEntry() {
	if !s.isAtEntry {
		return
	}
	s.isAtEntry = false
	delete(s.entry.sessions, s.agent.id)
	s.entry.cluster.record("session %d ends at %s", s.id, s.entry.name)
	s.toAgent.send(func() { s.agent.do(s.closeAtAgent) })
	s.entry.handle(dispatch.AgentDown{Agent: s.agent.id})
}

// closeAtAgent ends the session at the agent. The entry learns of it as soon as the path is not silent.
func (s *clusterSession) closeAtAgent() {
	if !s.isAtAgent {
		return
	}
	s.isAtAgent = false
	delete(s.agent.sessions, s.id)
	s.agent.cluster.record("session %d ends at %s", s.id, s.agent.id)
	s.toEntry.send(func() { s.entry.do(s.closeAtEntry) })
	s.agent.handle(runner.SessionClosed{Session: s.id})
}

// checkLiveness reports silent agents as unresponsive and closes the sessions of those that stay silent.
func (e *clusterEntry) checkLiveness() {
	for _, a := range e.cluster.agents {
		s := e.sessions[a.id]
		if s == nil {
			continue
		}
		switch silence := e.cluster.now.Sub(s.lastMessage); {
		case silence > timing.SessionCloseTimeout:
			s.closeAtEntry()
		case silence > timing.SuspectAfter:
			e.handle(dispatch.AgentUnresponsive{Agent: a.id})
		default:
			e.handle(dispatch.AgentResponsive{Agent: a.id})
		}
	}
}
