// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/clock"
	"sailhead/internal/cluster"
	"sailhead/internal/dispatch"
	"sailhead/internal/evacuation"
	"sailhead/internal/metric"
	"sailhead/internal/subset"
)

const (
	// unreachableAfter is how long an agent must be unreachable before another one takes its place in the subset. It is
	// longer than a restart of an agent and a few attempts to dial it.
	unreachableAfter = time.Second
	// releaseAfter is how long an agent must be out of the subset before its session is closed. If an unreachable agent
	// returns within this time, no sessions with other agents change.
	releaseAfter = 5 * time.Second
	// releaseInterval is the time between two attempts to close sessions that are no longer needed.
	releaseInterval = time.Second
	// replacementDivisor limits how fast the subset changes: one in this many sessions may be replaced per second.
	// Otherwise the sessions of all entries would change at once when many members join.
	replacementDivisor = 8
	// membersTimeout is how long a starting entry waits for the members in the store before it chooses agents by the
	// members it has learned of otherwise.
	membersTimeout = 300 * time.Millisecond
	// startupPeriod is how long a new entry may know only few of the other entries. The fewer entries it knows, the more
	// agents it would choose, so maxStartupAgents limits their number during this period.
	startupPeriod    = 3 * time.Second
	maxStartupAgents = 2 * subset.MinAgents
	// idleAgentsQueueSize is how many agents may wait for their sessions to be closed. Agents that do not fit are retried
	// after releaseInterval.
	idleAgentsQueueSize = 64
)

// agentChoice holds the state, other than the directory, from which agents are chosen. It is safe for concurrent use.
type agentChoice struct {
	mu sync.Mutex
	// unreachable holds the agents that have been unreachable for unreachableAfter.
	unreachable map[string]bool
	// needsAll is set once there may be durable jobs. Agents report the end of a durable task to the entries that have a
	// session, and any entry that takes over the task's shard must receive it.
	needsAll bool
	// started is when the entry started, previous are the agents chosen by the previous call, and lastReplaced is when
	// sessions were last replaced.
	started      time.Time
	previous     []string
	lastReplaced time.Time
	// changed has an element while the agents must be chosen again.
	changed chan struct{}
}

func newAgentChoice(now time.Time) *agentChoice {
	return &agentChoice{unreachable: make(map[string]bool), started: now, lastReplaced: now, changed: make(chan struct{}, 1)}
}

// setUnreachable records whether an agent is unreachable.
func (c *agentChoice) setUnreachable(agent string, isUnreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreachable[agent] == isUnreachable {
		return
	}
	if isUnreachable {
		c.unreachable[agent] = true
	} else {
		delete(c.unreachable, agent)
	}
	c.notify()
}

// requireAll makes the entry keep sessions with all agents from now on.
func (c *agentChoice) requireAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.needsAll {
		c.needsAll = true
		c.notify()
	}
}

// notify wakes the connect goroutine.
func (c *agentChoice) notify() {
	select {
	case c.changed <- struct{}{}:
	default:
		// A wake-up is already pending.
	}
}

// choose returns the names of the agents to keep sessions with, and how many of them are unavailable, that is,
// unreachable or in an evacuated availability zone. Unavailable agents get no tasks. Their sessions stay open, since runs
// may continue there, and other agents are chosen in addition. isChanged reports whether the number of chosen agents
// differs from that of the previous call.
func (c *agentChoice) choose(now time.Time, entry string, agents map[string]cluster.Member, evacuations evacuation.State, entries int) (chosen []string, unavailable int, isChanged bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := c.size(now, len(agents), entries)
	isUnavailable := func(agent string) bool { return c.unreachable[agent] || evacuations.IsEvacuated(agents[agent].Zone) }
	best := subset.Choose(entry, slices.Collect(maps.Keys(agents)), size, isUnavailable)
	registered := slices.DeleteFunc(c.previous, func(agent string) bool { return agents[agent].Name == "" })
	chosen = subset.Transition(registered, best, size, c.replaceable(now, len(registered)), isUnavailable)
	for _, agent := range chosen {
		if isUnavailable(agent) {
			unavailable++
		}
	}
	isChanged = len(c.previous) != len(chosen)
	c.previous = chosen
	return slices.Clone(chosen), unavailable, isChanged
}

// size returns the number of agents to keep sessions with. The caller holds mu.
func (c *agentChoice) size(now time.Time, agents, entries int) int {
	size := subset.Size(agents, entries)
	switch {
	case c.needsAll:
		return agents
	case now.Sub(c.started) < startupPeriod:
		return min(size, maxStartupAgents)
	default:
		return size
	}
}

// replaceable returns how many sessions may be replaced now. The caller holds mu.
func (c *agentChoice) replaceable(now time.Time, sessions int) int {
	count := int(now.Sub(c.lastReplaced).Seconds() * float64(sessions) / replacementDivisor)
	if count > 0 {
		c.lastReplaced = now
	}
	return count
}

// awaitMembers waits until the members have been read from the store, for at most membersTimeout. It returns false if
// the entry stops meanwhile.
func (e *Entry) awaitMembers() bool {
	select {
	case <-e.context.Done():
		return false
	case <-e.membersRead:
	case <-time.After(membersTimeout):
	}
	return true
}

// chooseAgents returns the registered agents with which the entry keeps sessions.
func (e *Entry) chooseAgents(agents map[string]cluster.Member) map[string]cluster.Member {
	entries := len(e.directory.Members(cluster.RoleEntry))
	chosen, unavailable, isChanged := e.choice.choose(clock.Now(), e.self.Name, agents, e.directory.Evacuations(), entries)
	e.reportRegistered(slices.Sorted(maps.Keys(agents)), len(chosen))
	selected := make(map[string]cluster.Member, len(chosen))
	for _, name := range chosen {
		selected[name] = agents[name]
	}
	if isChanged {
		_ = level.Info(e.logger).Log("msg", "agents chosen", "agents", len(chosen), "of", len(agents), "lost", unavailable, "entries", entries)
	}
	return selected
}

// reportRegistered reports the registered agents and the number of chosen ones to the dispatcher if they have changed.
func (e *Entry) reportRegistered(names []string, chosen int) {
	isSame := slices.Equal(names, e.registered) && e.metrics.Value(metric.AgentsChosen) == int64(chosen)
	if isSame {
		return
	}
	e.registered = names
	e.metrics.Set(metric.AgentsKnown, int64(len(names)))
	e.metrics.Set(metric.AgentsChosen, int64(chosen))
	agents := make([]dispatch.AgentID, 0, len(names))
	for _, name := range names {
		agents = append(agents, dispatch.AgentID(name))
	}
	e.post(dispatch.AgentsRegistered{Agents: agents, Selected: chosen})
}

// releaseDeselected asks the dispatcher to close the sessions with agents that have been out of the subset for
// releaseAfter, and cancels that for agents that are in the subset again.
func (e *Entry) releaseDeselected(dials agentDialers, selected map[string]cluster.Member) {
	for name, d := range dials {
		_, isSelected := selected[name]
		switch {
		case isSelected && !d.deselectedSince.IsZero():
			d.deselectedSince = time.Time{}
			e.post(dispatch.AgentSelected{Agent: dispatch.AgentID(name)})
		case isSelected:
		case d.deselectedSince.IsZero():
			d.deselectedSince = clock.Now()
		case clock.Since(d.deselectedSince) >= releaseAfter:
			e.release(dials, name)
		}
	}
}

// release asks the dispatcher to close the session with an agent. If there is no session, it stops the agent's dialer at
// once.
func (e *Entry) release(dials agentDialers, name string) {
	id := dispatch.AgentID(name)
	if _, isOpen := e.sessions.get(id); isOpen {
		e.post(dispatch.AgentDeselected{Agent: id})
		return
	}
	dials.close(id)
}

// agentIdle passes an agent without runs to the connect goroutine, which closes its session. It does not block.
func (e *Entry) agentIdle(id dispatch.AgentID) {
	select {
	case e.idleAgents <- id:
	default:
		// The connect goroutine asks again after releaseInterval.
	}
}

// close stops an agent's dialer and closes its session, unless the agent has been selected again.
func (d agentDialers) close(id dispatch.AgentID) {
	dialer, ok := d[string(id)]
	if !ok || dialer.deselectedSince.IsZero() || clock.Since(dialer.deselectedSince) < releaseAfter {
		return
	}
	dialer.stop()
	delete(d, string(id))
}
