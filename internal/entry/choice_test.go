// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sailhead/internal/clock"
	"sailhead/internal/cluster"
	"sailhead/internal/dispatch"
	"sailhead/internal/evacuation"
	"sailhead/internal/subset"
)

// agentMembers returns the given number of agents by name, spread evenly over three availability zones.
func agentMembers(count int) map[string]cluster.Member {
	agents := make(map[string]cluster.Member)
	for i := range count {
		name := fmt.Sprintf("agent-%d", i)
		agents[name] = cluster.Member{Name: name, Zone: string(rune('a' + i%3))}
	}
	return agents
}

func TestAnUnreachableAgentIsReplacedUntilItReturns(t *testing.T) {
	c := newAgentChoice(clock.Now())
	agents := agentMembers(240)
	before, _, _ := c.choose(clock.Now(), "entry", agents, evacuation.State{}, 55)
	if len(before) != subset.MinAgents {
		t.Fatalf("%d agents, want %d", len(before), subset.MinAgents)
	}
	c.setUnreachable(before[3], true)
	during, unavailable, isChanged := c.choose(clock.Now(), "entry", agents, evacuation.State{}, 55)
	if len(during) != subset.MinAgents+1 || unavailable != 1 || !isChanged || !slices.Contains(during, before[3]) {
		t.Errorf("with one agent unreachable: %d agents, %d unavailable, changed %t", len(during), unavailable, isChanged)
	}
	c.setUnreachable(before[3], false)
	if after, _, _ := c.choose(clock.Now().Add(time.Second), "entry", agents, evacuation.State{}, 55); !slices.Equal(after, before) {
		t.Error("the subset differs from the one before the agent became unreachable")
	}
	if len(c.changed) != 1 {
		t.Error("the connect goroutine was not woken")
	}
}

func TestAgentsOfOtherZonesAreAddedForThoseOfAnEvacuatedZone(t *testing.T) {
	c := newAgentChoice(clock.Now())
	agents := agentMembers(240)
	before, _, _ := c.choose(clock.Now(), "entry", agents, evacuation.State{}, 55)
	state := evacuation.New(3, []evacuation.Change{{Zone: "a", Revision: 2, IsEvacuated: true}})
	during, unavailable, isChanged := c.choose(clock.Now(), "entry", agents, state, 55)
	if unavailable == 0 || len(during) != len(before)+unavailable || !isChanged {
		t.Errorf("%d agents, %d of them in the evacuated zone, changed: %t; want %d in other zones", len(during), unavailable, isChanged, len(before))
	}
	for _, agent := range before {
		if !slices.Contains(during, agent) {
			t.Errorf("%s is not chosen, although its runs continue", agent)
		}
	}
}

// Agents report the end of a durable task only to entries with a session, and any entry may take over the task's shard.
func TestDurableJobsNeedSessionsWithAllAgents(t *testing.T) {
	c := newAgentChoice(clock.Now())
	c.requireAll()
	if chosen, _, _ := c.choose(clock.Now(), "entry", agentMembers(240), evacuation.State{}, 55); len(chosen) != 240 {
		t.Errorf("%d of 240 agents", len(chosen))
	}
}

// The session with a deselected agent must stay open for releaseAfter and until the dispatcher has no runs there.
func TestASessionIsClosedOnlyAfterItsRunsHaveEnded(t *testing.T) {
	e := &Entry{
		context: t.Context(), sessions: newSessionTable(), events: make(chan dispatch.Event, 4), idleAgents: make(chan dispatch.AgentID, 1),
		choice: newAgentChoice(clock.Now()),
	}
	e.sessions.add(&agentSession{id: "agent-1"})
	isStopped := false
	dialer := &agentDialer{stop: func() { isStopped = true }}
	all := agentDialers{"agent-1": dialer}

	e.releaseDeselected(all, nil)
	if dialer.deselectedSince.IsZero() || len(e.events) != 0 {
		t.Fatal("a deselected agent must keep its session for releaseAfter")
	}
	dialer.deselectedSince = clock.Now().Add(-2 * releaseAfter)
	e.releaseDeselected(all, nil)
	if event := <-e.events; event != (dispatch.AgentDeselected{Agent: "agent-1"}) || isStopped {
		t.Fatalf("event %v, stopped %t: the dispatcher must be asked first", event, isStopped)
	}
	e.agentIdle("agent-1")
	all.close(<-e.idleAgents)
	if !isStopped || len(all) != 0 {
		t.Error("the session of an idle agent was not closed")
	}
}

// The dispatcher's answer to a deselection may arrive after the agent has been selected again.
func TestAnAgentThatIsSelectedAgainKeepsItsSession(t *testing.T) {
	e := &Entry{context: t.Context(), sessions: newSessionTable(), events: make(chan dispatch.Event, 4), choice: newAgentChoice(clock.Now())}
	isStopped := false
	dialer := &agentDialer{stop: func() { isStopped = true }, deselectedSince: clock.Now().Add(-2 * releaseAfter)}
	all := agentDialers{"agent-1": dialer}
	e.releaseDeselected(all, map[string]cluster.Member{"agent-1": {}})
	if event := <-e.events; event != (dispatch.AgentSelected{Agent: "agent-1"}) {
		t.Errorf("event %v", event)
	}
	all.close("agent-1")
	if isStopped || len(all) != 1 {
		t.Error("the session was closed")
	}
}
