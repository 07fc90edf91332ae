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

// agentMembers returns so many agents by name, in three availability zones in turn.
func agentMembers(count int) map[string]cluster.Member {
	agents := make(map[string]cluster.Member)
	for i := range count {
		name := fmt.Sprintf("agent-%d", i)
		agents[name] = cluster.Member{Name: name, Zone: string(rune('a' + i%3))}
	}
	return agents
}

func TestALostAgentIsReplacedUntilItComesBack(t *testing.T) {
	c := newAgentChoice(clock.Now())
	agents := agentMembers(240)
	before, _, _ := c.choose(clock.Now(), "entry", agents, evacuation.State{}, 55)
	if len(before) != subset.MinAgents {
		t.Fatalf("%d agents, want %d", len(before), subset.MinAgents)
	}
	c.setLost(before[3], true)
	during, lost, isChanged := c.choose(clock.Now(), "entry", agents, evacuation.State{}, 55)
	if len(during) != subset.MinAgents+1 || lost != 1 || !isChanged || !slices.Contains(during, before[3]) {
		t.Errorf("with one lost: %d agents, %d lost, changed %t", len(during), lost, isChanged)
	}
	c.setLost(before[3], false)
	if after, _, _ := c.choose(clock.Now().Add(time.Second), "entry", agents, evacuation.State{}, 55); !slices.Equal(after, before) {
		t.Error("the subset differs from the one before the loss")
	}
	if len(c.changed) != 1 {
		t.Error("the duty connect was not woken")
	}
}

func TestOthersAreChosenBesideTheAgentsOfAnEvacuatedZone(t *testing.T) {
	c := newAgentChoice(clock.Now())
	agents := agentMembers(240)
	before, _, _ := c.choose(clock.Now(), "entry", agents, evacuation.State{}, 55)
	state := evacuation.New(3, []evacuation.Change{{Zone: "a", Revision: 2, IsEvacuated: true}})
	during, without, isChanged := c.choose(clock.Now(), "entry", agents, state, 55)
	if without == 0 || len(during) != len(before)+without || !isChanged {
		t.Errorf("%d agents, %d of them in the evacuated zone, changed: %t; want %d beside those", len(during), without, isChanged, len(before))
	}
	for _, agent := range before {
		if !slices.Contains(during, agent) {
			t.Errorf("%s is left out, although its runs go on", agent)
		}
	}
}

// An end of a durable task reaches the entries in session only, and any entry may have to take over its shard.
func TestDurableJobsNeedSessionsWithAllAgents(t *testing.T) {
	c := newAgentChoice(clock.Now())
	c.requireAll()
	if chosen, _, _ := c.choose(clock.Now(), "entry", agentMembers(240), evacuation.State{}, 55); len(chosen) != 240 {
		t.Errorf("%d of 240 agents", len(chosen))
	}
}

// TestASessionIsClosedOnlyAfterItsRunsHaveEnded follows the release of one agent.
func TestASessionIsClosedOnlyAfterItsRunsHaveEnded(t *testing.T) {
	e := &Entry{
		context: t.Context(), sessions: newSessionTable(), events: make(chan dispatch.Event, 4), idleAgents: make(chan dispatch.AgentID, 1),
		choice: newAgentChoice(clock.Now()),
	}
	e.sessions.add(&agentSession{id: "agent-1"})
	isStopped := false
	one := &dial{stop: func() { isStopped = true }}
	all := dials{"agent-1": one}

	e.releaseUnwanted(all, nil)
	if one.unwantedSince.IsZero() || len(e.events) != 0 {
		t.Fatal("an agent that was just left out must stay for releaseAfter")
	}
	one.unwantedSince = clock.Now().Add(-2 * releaseAfter)
	e.releaseUnwanted(all, nil)
	if event := <-e.events; event != (dispatch.AgentDeselected{Agent: "agent-1"}) || isStopped {
		t.Fatalf("event %v, stopped %t: the dispatcher has to be asked first", event, isStopped)
	}
	e.agentIdle("agent-1")
	all.close(<-e.idleAgents)
	if !isStopped || len(all) != 0 {
		t.Error("the session of an idle agent was not closed")
	}
}

// TestAnAgentThatIsWantedAgainKeepsItsSession plays an answer of the dispatcher that comes after the agent was chosen again.
func TestAnAgentThatIsWantedAgainKeepsItsSession(t *testing.T) {
	e := &Entry{context: t.Context(), sessions: newSessionTable(), events: make(chan dispatch.Event, 4), choice: newAgentChoice(clock.Now())}
	isStopped := false
	one := &dial{stop: func() { isStopped = true }, unwantedSince: clock.Now().Add(-2 * releaseAfter)}
	all := dials{"agent-1": one}
	e.releaseUnwanted(all, map[string]cluster.Member{"agent-1": {}})
	if event := <-e.events; event != (dispatch.AgentSelected{Agent: "agent-1"}) {
		t.Errorf("event %v", event)
	}
	all.close("agent-1")
	if isStopped || len(all) != 1 {
		t.Error("the session was closed")
	}
}
