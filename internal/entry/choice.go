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
	// lostAfter is how long an agent cannot be reached before another one takes its place in the subset: longer than a restart of an agent
	// takes, and some attempts to dial it.
	lostAfter = time.Second
	// releaseAfter is how long an agent has been left out of the subset before its session is closed. Agents that are lost and
	// come back within this time cost no change of sessions at others.
	releaseAfter = 5 * time.Second
	// releaseInterval is the time between two attempts to close the sessions that are not needed.
	releaseInterval = time.Second
	// replacedPerSecond is the part of the sessions, one in so many, that are replaced in a second by those with agents that are chosen in
	// their place. The sessions of all entries would change at once otherwise when many members come.
	replacedPerSecond = 8
	// membersDelay is how long an entry that starts waits for the store to tell the members before it chooses by those that it has heard of.
	membersDelay = 300 * time.Millisecond
	// youngFor is how long an entry may know few of the other entries, and maxYoungAgents how many agents it chooses at most in this time: by the
	// entries that it knows it would need many more sessions than in the end.
	youngFor       = 3 * time.Second
	maxYoungAgents = 2 * subset.MinAgents
	// idleAgentsRing is how many agents may wait for their sessions to be closed. What does not fit is tried again after
	// releaseInterval.
	idleAgentsRing = 64
)

// agentChoice holds what the choice of the agents depends on beside the directory. It is safe for concurrent use.
type agentChoice struct {
	mu sync.Mutex
	// lost are the agents that could not be reached for lostAfter.
	lost map[string]bool
	// needsAll is set once there may be durable jobs: the end of a durable task is reported to the entries in session, and
	// whichever entry takes over its shard must get it.
	needsAll bool
	// began is when the entry started, kept are the agents that were chosen last, and replaced is when some of them were last replaced.
	began    time.Time
	kept     []string
	replaced time.Time
	// changed has an element while the agents may have to be chosen again.
	changed chan struct{}
}

func newAgentChoice(now time.Time) *agentChoice {
	return &agentChoice{lost: make(map[string]bool), began: now, replaced: now, changed: make(chan struct{}, 1)}
}

// setLost records whether an agent can be reached.
func (c *agentChoice) setLost(agent string, isLost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost[agent] == isLost {
		return
	}
	if isLost {
		c.lost[agent] = true
	} else {
		delete(c.lost, agent)
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

// notify wakes the duty connect.
func (c *agentChoice) notify() {
	select {
	case c.changed <- struct{}{}:
	default:
		// A wake-up is pending already.
	}
}

// choose returns the names of the agents to keep sessions with, of those given, and how many of them get no tasks: they are lost,
// or in an evacuated availability zone. Others are chosen beside these, whose sessions stay, as runs may go on there. isChanged
// reports whether the number of the chosen differs from the previous choice.
func (c *agentChoice) choose(now time.Time, entry string, agents map[string]cluster.Member, evacuations evacuation.State, entries int) (chosen []string, lost int, isChanged bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := c.size(now, len(agents), entries)
	isLost := func(agent string) bool { return c.lost[agent] || evacuations.Has(agents[agent].Zone) }
	best := subset.Choose(entry, slices.Collect(maps.Keys(agents)), size, isLost)
	kept := slices.DeleteFunc(c.kept, func(agent string) bool { return agents[agent].Name == "" })
	chosen = subset.Transition(kept, best, size, c.replaceable(now, len(kept)), isLost)
	for _, agent := range chosen {
		if isLost(agent) {
			lost++
		}
	}
	isChanged = len(c.kept) != len(chosen)
	c.kept = chosen
	return slices.Clone(chosen), lost, isChanged
}

// size returns how many agents to keep sessions with. The caller holds mu.
func (c *agentChoice) size(now time.Time, agents, entries int) int {
	size := subset.Size(agents, entries)
	switch {
	case c.needsAll:
		return agents
	case now.Sub(c.began) < youngFor:
		return min(size, maxYoungAgents)
	default:
		return size
	}
}

// replaceable returns how many of the sessions may be replaced now. The caller holds mu.
func (c *agentChoice) replaceable(now time.Time, sessions int) int {
	count := int(now.Sub(c.replaced).Seconds() * float64(sessions) / replacedPerSecond)
	if count > 0 {
		c.replaced = now
	}
	return count
}

// awaitMembers waits until the store has told the members, or for membersDelay. It returns false if the process ends meanwhile.
func (e *Entry) awaitMembers() bool {
	select {
	case <-e.context.Done():
		return false
	case <-e.membersRead:
	case <-time.After(membersDelay):
	}
	return true
}

// chooseAgents returns the agents with which the entry keeps sessions, of those that are registered.
func (e *Entry) chooseAgents(agents map[string]cluster.Member) map[string]cluster.Member {
	entries := len(e.directory.Members(cluster.RoleEntry))
	chosen, lost, isChanged := e.choice.choose(clock.Now(), e.self.Name, agents, e.directory.Evacuations(), entries)
	e.tellRegistered(slices.Sorted(maps.Keys(agents)), len(chosen))
	wanted := make(map[string]cluster.Member, len(chosen))
	for _, name := range chosen {
		wanted[name] = agents[name]
	}
	if isChanged {
		_ = level.Info(e.logger).Log("msg", "agents chosen", "agents", len(chosen), "of", len(agents), "lost", lost, "entries", entries)
	}
	return wanted
}

// tellRegistered tells the dispatcher which agents are registered and how many of them are chosen, if that has changed.
func (e *Entry) tellRegistered(names []string, chosen int) {
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
	e.post(dispatch.AgentsRegistered{Agents: agents, Chosen: chosen})
}

// releaseUnwanted asks the dispatcher to close the sessions with agents that were left out of the subset for releaseAfter, and
// takes that back for those that are in it again.
func (e *Entry) releaseUnwanted(dials dials, wanted map[string]cluster.Member) {
	for name, d := range dials {
		_, isWanted := wanted[name]
		switch {
		case isWanted && !d.unwantedSince.IsZero():
			d.unwantedSince = time.Time{}
			e.post(dispatch.AgentSelected{Agent: dispatch.AgentID(name)})
		case isWanted:
		case d.unwantedSince.IsZero():
			d.unwantedSince = clock.Now()
		case clock.Since(d.unwantedSince) >= releaseAfter:
			e.release(dials, name)
		}
	}
}

// release asks the dispatcher to close the session with an agent. Without a session the goroutine that dials it ends at once.
func (e *Entry) release(dials dials, name string) {
	id := dispatch.AgentID(name)
	if _, isOpen := e.sessions.get(id); isOpen {
		e.post(dispatch.AgentDeselected{Agent: id})
		return
	}
	dials.close(id)
}

// agentIdle passes an agent on to the duty connect, which closes the session. It does not block.
func (e *Entry) agentIdle(id dispatch.AgentID) {
	select {
	case e.idleAgents <- id:
	default:
		// The duty asks again after releaseInterval.
	}
}

// close ends the goroutine that keeps the session with an agent, and the session, unless the agent is wanted again.
func (d dials) close(id dispatch.AgentID) {
	one, ok := d[string(id)]
	if !ok || one.unwantedSince.IsZero() || clock.Since(one.unwantedSince) < releaseAfter {
		return
	}
	one.stop()
	delete(d, string(id))
}
