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

func keptJob(id string, tasks int) DurableAccepted {
	return DurableAccepted{Job: Job{
		ID: id, Kind: Kind{Name: "k", Service: "svc", Attempts: 2, Stretch: 1.6},
		Steps: []Step{{Count: tasks, Needs: worker.Resources{CPU: 1000}, Expected: 100 * time.Millisecond}},
	}}
}

func newKept(agents ...AgentID) (*Dispatcher, time.Time) {
	now := time.Unix(1_000_000, 0)
	d := New(Limits{Jobs: 10}, rand.New(rand.NewPCG(1, 2)))
	for _, a := range agents {
		d.Handle(now, AgentUp{Agent: a},
			WorkerDescribed{Agent: a, Record: worker.Record{ID: "w", Service: "svc", Capacity: worker.Resources{CPU: 8000}}},
			LoadReceived{Agent: a, Load: runner.Load{Accepts: true}})
	}
	return d, now
}

// started returns the agents at which tasks were started, by name.
func started(effects []Effect) map[string]AgentID {
	starts := make(map[string]AgentID)
	for _, effect := range effects {
		if start, ok := effect.(StartTask); ok {
			starts[start.Task.Name] = start.Agent
		}
	}
	return starts
}

func TestARunThatMayHaveEndedUnheardCountsAsOne(t *testing.T) {
	d, now := newKept("a")
	if starts := started(d.Handle(now, keptJob("j1", 2))); len(starts) != 2 {
		t.Fatalf("started %v", starts)
	}
	d.Handle(now, AgentDown{Agent: "a"})
	if runs := d.DurableRuns(now); runs != 2 {
		t.Fatalf("%d runs after the loss of the agent's session", runs)
	}
	if runs := d.DurableRuns(now.Add(timing.DurableRerunDelay)); runs != 0 {
		t.Fatalf("%d runs after the time in which the agent may come back", runs)
	}
}

func TestATaskOfAKeptJobWaitsForItsAgentToComeBack(t *testing.T) {
	d, now := newKept("a", "b")
	from := started(d.Handle(now, keptJob("j1", 1)))["j1.0.0.0"]
	d.Handle(now, AgentDown{Agent: from})
	if starts := started(d.Handle(now.Add(2*time.Second), Ticked{})); len(starts) > 0 {
		t.Fatalf("started %v while the agent may come back", starts)
	}
	now = now.Add(2 * time.Second)
	d.Handle(now, AgentUp{Agent: from}, LoadReceived{Agent: from})
	if starts := started(d.Handle(now.Add(timing.RerunDelay), Ticked{})); len(starts) > 0 {
		t.Fatalf("started %v although the agent has not heard its worker", starts)
	}
	now = now.Add(timing.RerunDelay)
	d.Handle(now, LoadReceived{Agent: from, Load: runner.Load{Accepts: true}})
	if starts := started(d.Handle(now.Add(timing.RerunDelay), Ticked{})); len(starts) != 1 {
		t.Fatalf("started %v after the agent has come back", starts)
	}
}

func TestATaskThatIsDoneElsewhereStopsHere(t *testing.T) {
	d, now := newKept("a")
	d.Handle(now, keptJob("j1", 2))
	stops := 0
	for _, effect := range d.Handle(now, DurableTaskEnded{Task: "j1.0.0.1"}) {
		if stop, ok := effect.(StopTask); ok && stop.Name == "j1.0.0.1" {
			stops++
		}
	}
	if stops != 1 {
		t.Fatalf("%d stops", stops)
	}
}

func TestAKeptTaskRunsNoMoreThanItsAttempts(t *testing.T) {
	d, now := newKept("a", "b")
	agent := started(d.Handle(now, keptJob("j1", 1)))["j1.0.0.0"]
	fail := func(agent AgentID, run uint32) map[string]AgentID {
		return started(d.Handle(now, RunUpdated{Agent: agent, Update: runner.Update{Name: "j1.0.0.0", Run: run, Outcome: runner.OutcomeFailed}}))
	}
	agent = fail(agent, 1)["j1.0.0.0"]
	if agent == "" {
		t.Fatal("no second run")
	}
	if starts := fail(agent, 2); len(starts) > 0 {
		t.Fatalf("a third run: %v", starts)
	}
}

func TestAJobOfAnEarlierOwnerWaitsForAgentsWithoutASession(t *testing.T) {
	d, now := newKept("a")
	d.Handle(now, AgentsCounted{Agents: 2})
	fresh := keptJob("fresh", 1)
	if starts := started(d.Handle(now, fresh)); len(starts) != 1 {
		t.Fatalf("a new job waits: %v", starts)
	}
	taken := keptJob("taken", 1)
	taken.NotBefore = now.Add(time.Second)
	d.Handle(now, taken)
	if starts := started(d.Handle(now.Add(3*time.Second), Ticked{})); len(starts) > 0 {
		t.Fatalf("started %v although an agent has no session", starts)
	}
	if starts := started(d.Handle(now.Add(3*time.Second), AgentUp{Agent: "b"})); starts["taken.0.0.0"] != "a" {
		t.Fatalf("started %v with all agents there", starts)
	}
	left := keptJob("left", 1)
	left.NotBefore = now.Add(3 * time.Second)
	d.Handle(now.Add(3*time.Second), AgentDown{Agent: "b"}, left)
	if starts := started(d.Handle(now.Add(3*time.Second+timing.DurableRerunDelay), Ticked{})); len(starts) != 1 {
		t.Fatalf("started %v after the time in which the agent may come back", starts)
	}
}
