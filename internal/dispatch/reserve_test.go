// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"testing"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// TestATaskUsesAnOfferOfTheOnlyWorkerWithItsLabel makes a task fail on the only worker with the label of its step. The
// task avoids that worker from then on, but no other worker can run it.
func TestATaskUsesAnOfferOfTheOnlyWorkerWithItsLabel(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	d := busyDispatcher(now, 3, 0)
	needs := worker.Resources{CPU: 3100}
	record := worker.Record{ID: "w", Service: "svc", Capacity: worker.Resources{CPU: 32000}, Labels: []string{"b"}}
	d.Handle(now, AgentUp{Agent: "labelled"}, WorkerDescribed{Agent: "labelled", Record: record}, LoadReceived{Agent: "labelled", Load: runner.Load{Accepts: true, Slowness: 1}})
	step := Step{Count: 1, Needs: needs, Label: "b", Expected: 100 * time.Millisecond}
	kind := Kind{Name: "kind", Service: "svc", Attempts: 3, Stretch: 1.6, Target: time.Hour}
	d.Handle(now, Submitted{Job: Job{ID: "job", Kind: kind, Steps: []Step{step}}, Waiter: 1})
	d.Handle(now, LoadReceived{Agent: "labelled", Handled: 1, Load: busyLoad(0)})
	d.Handle(now, RunUpdated{Agent: "labelled", Update: runner.Update{Name: "job.0.0.0", Run: 1, Outcome: runner.OutcomeFailed}})
	for _, effect := range d.Handle(now, OfferReceived{Agent: "labelled", Offer: runner.Offer{ID: 1, Job: "job", Resources: needs}}) {
		if start, ok := effect.(StartTask); ok && start.Task.Offer == 1 {
			return
		}
	}
	t.Error("the task did not use the offer of the worker that it avoids")
}

// TestAJobReservesAtAFewAgentsForEachTask checks the limit on the reservations of a waiting job, which bounds its messages
// on the link of the entry.
func TestAJobReservesAtAFewAgentsForEachTask(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for tasks, want := range map[int]int{1: 3, 2: 6, 8: 24, 40: 24} {
		d := busyDispatcher(now, 67, 1)
		step := Step{Count: tasks, Needs: worker.Resources{CPU: 3100}, Expected: 100 * time.Millisecond}
		job := Job{ID: "job", Kind: Kind{Name: "kind", Service: "svc", Stretch: 1.6, Target: time.Hour}, Steps: []Step{step}}
		reserved := 0
		for _, effect := range d.Handle(now, Submitted{Job: job, Waiter: 1}) {
			if e, ok := effect.(Reserve); ok && e.Reservation.Job == "job" {
				reserved++
			}
		}
		if reserved != want {
			t.Errorf("a job with %d waiting tasks reserves at %d agents, want %d", tasks, reserved, want)
		}
	}
}

// TestAJobReservesElsewhereIfItsAgentsDoNotRespond makes all agents at which a job has reserved unresponsive.
func TestAJobReservesElsewhereIfItsAgentsDoNotRespond(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	d := busyDispatcher(now, 67, 0)
	step := Step{Count: 1, Needs: worker.Resources{CPU: 3100}, Expected: 100 * time.Millisecond}
	job := Job{ID: "job", Kind: Kind{Name: "kind", Service: "svc", Stretch: 1.6, Target: time.Hour}, Steps: []Step{step}}
	reservedAt := func(effects []Effect) []AgentID {
		var agents []AgentID
		for _, effect := range effects {
			if e, ok := effect.(Reserve); ok && e.Reservation.Count > 0 {
				agents = append(agents, e.Agent)
			}
		}
		return agents
	}
	unresponsive := reservedAt(d.Handle(now, Submitted{Job: job, Waiter: 1}))
	var events []Event
	for _, id := range unresponsive {
		events = append(events, AgentUnresponsive{Agent: id})
	}
	others := reservedAt(d.Handle(now, events...))
	if len(others) != reservationsPerTask {
		t.Fatalf("the job reserves at %v in place of the unresponsive %v, want %d others", others, unresponsive, reservationsPerTask)
	}
	for _, id := range others {
		if slices.Contains(unresponsive, id) {
			t.Errorf("the job reserves at %s, which is unresponsive", id)
		}
	}
}
