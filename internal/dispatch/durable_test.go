// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

func durableJob(id string, tasks int) DurableAccepted {
	return DurableAccepted{Job: Job{
		ID: id, Kind: Kind{Name: "k", Service: "svc", Attempts: 2, Stretch: 1.6},
		Steps: []Step{{Count: tasks, Needs: worker.Resources{CPU: 1000}, Expected: 100 * time.Millisecond}},
	}}
}

func newDispatcherWithAgents(agents ...AgentID) (*Dispatcher, time.Time) {
	now := time.Unix(1_000_000, 0)
	d := New(Limits{Jobs: 10}, rand.New(rand.NewPCG(1, 2)))
	for _, a := range agents {
		d.Handle(now, AgentUp{Agent: a},
			WorkerDescribed{Agent: a, Record: worker.Record{ID: "w", Service: "svc", Capacity: worker.Resources{CPU: 8000}}},
			LoadReceived{Agent: a, Load: runner.Load{Accepts: true}})
	}
	return d, now
}

// started returns the agents that tasks were sent to, by the task's name.
func started(effects []Effect) map[string]AgentID {
	starts := make(map[string]AgentID)
	for _, effect := range effects {
		if start, ok := effect.(StartTask); ok {
			starts[start.Task.Name] = start.Agent
		}
	}
	return starts
}

func TestDurableRunsCountsRunsAtLostAgents(t *testing.T) {
	d, now := newDispatcherWithAgents("a")
	if starts := started(d.Handle(now, durableJob("j1", 2))); len(starts) != 2 {
		t.Fatalf("started %v, want 2 tasks", starts)
	}
	d.Handle(now, AgentDown{Agent: "a"})
	if runs := d.DurableRuns(now); runs != 2 {
		t.Fatalf("%d runs after the loss of the agent's session, want 2", runs)
	}
	if runs := d.DurableRuns(now.Add(timing.DurableRerunDelay)); runs != 0 {
		t.Fatalf("%d runs after DurableRerunDelay, want 0", runs)
	}
}

func TestDurableTaskWaitsForItsLostAgent(t *testing.T) {
	d, now := newDispatcherWithAgents("a", "b")
	from := started(d.Handle(now, durableJob("j1", 1)))["j1.0.0.0"]
	d.Handle(now, AgentDown{Agent: from})
	if starts := started(d.Handle(now.Add(2*time.Second), Ticked{})); len(starts) > 0 {
		t.Fatalf("started %v before DurableRerunDelay", starts)
	}
	now = now.Add(2 * time.Second)
	d.Handle(now, AgentUp{Agent: from}, LoadReceived{Agent: from})
	if starts := started(d.Handle(now.Add(timing.RerunDelay), Ticked{})); len(starts) > 0 {
		t.Fatalf("started %v although the agent does not accept tasks", starts)
	}
	now = now.Add(timing.RerunDelay)
	d.Handle(now, LoadReceived{Agent: from, Load: runner.Load{Accepts: true}})
	if starts := started(d.Handle(now.Add(timing.RerunDelay), Ticked{})); len(starts) != 1 {
		t.Fatalf("started %v after the agent accepted tasks again, want 1", starts)
	}
}

func TestDurableTaskDoneElsewhereIsStopped(t *testing.T) {
	d, now := newDispatcherWithAgents("a")
	d.Handle(now, durableJob("j1", 2))
	stops := 0
	for _, effect := range d.Handle(now, DurableTaskEnded{Task: "j1.0.0.1"}) {
		if stop, ok := effect.(StopTask); ok && stop.Name == "j1.0.0.1" {
			stops++
		}
	}
	if stops != 1 {
		t.Fatalf("%d stops, want 1", stops)
	}
}

func TestDurableTaskRunsAtMostMaxAttempts(t *testing.T) {
	d, now := newDispatcherWithAgents("a", "b")
	agent := started(d.Handle(now, durableJob("j1", 1)))["j1.0.0.0"]
	fail := func(agent AgentID, run uint32) map[string]AgentID {
		return started(d.Handle(now, RunUpdated{Agent: agent, Update: runner.Update{Name: "j1.0.0.0", Run: run, Outcome: runner.OutcomeFailed}}))
	}
	agent = fail(agent, 1)["j1.0.0.0"]
	if agent == "" {
		t.Fatal("no second run after the first failed")
	}
	if starts := fail(agent, 2); len(starts) > 0 {
		t.Fatalf("started a third run %v of a task with 2 attempts", starts)
	}
}

func TestRecoveredJobWaitsForAgentsWithoutASession(t *testing.T) {
	d, now := newDispatcherWithAgents("a")
	d.Handle(now, AgentsRegistered{Agents: []AgentID{"a", "b"}})
	fresh := durableJob("fresh", 1)
	if starts := started(d.Handle(now, fresh)); len(starts) != 1 {
		t.Fatalf("started %v of a job without an earlier owner, want 1 task", starts)
	}
	recovered := durableJob("recovered", 1)
	recovered.NotBefore = now.Add(time.Second)
	d.Handle(now, recovered)
	if starts := started(d.Handle(now.Add(3*time.Second), Ticked{})); len(starts) > 0 {
		t.Fatalf("started %v although an agent has no session", starts)
	}
	if starts := started(d.Handle(now.Add(3*time.Second), AgentUp{Agent: "b"}, LoadReceived{Agent: "b"})); len(starts) > 0 {
		t.Fatalf("started %v although an agent does not know all ends of runs on its worker", starts)
	}
	if starts := started(d.Handle(now.Add(3*time.Second), LoadReceived{Agent: "b", Load: runner.Load{KnowsAllEnds: true}})); starts["recovered.0.0.0"] != "a" {
		t.Fatalf("started %v although all agents know the ends of runs on their workers, want recovered.0.0.0 at a", starts)
	}
	left := durableJob("left", 1)
	left.NotBefore = now.Add(3 * time.Second)
	d.Handle(now.Add(3*time.Second), AgentDown{Agent: "b"}, left)
	if starts := started(d.Handle(now.Add(3*time.Second+timing.DurableRerunDelay), Ticked{})); len(starts) != 1 {
		t.Fatalf("started %v after the wait for agents, want 1", starts)
	}
}
