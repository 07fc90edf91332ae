// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/shares"
	"sailhead/internal/worker"
)

// loadWithHeadroom returns the load of a worker with four cores, of which two are headroom for tasks of up to 120 ms.
func loadWithHeadroom() runner.Load {
	return runner.Load{
		Accepts: true, Slowness: 1, Used: worker.Resources{CPU: 2000},
		Headroom: []shares.HeadroomBound{{LongerThan: 120 * time.Millisecond, CPU: 2000}},
	}
}

// agentWithRack adds an agent whose worker has four cores and is in the given rack.
func agentWithRack(d *Dispatcher, now time.Time, rack string, load runner.Load) {
	id := AgentID("agent-" + rack)
	record := worker.Record{ID: rack, Service: "svc", Capacity: worker.Resources{CPU: 4000}, Labels: []string{rack}}
	d.Handle(now, AgentUp{Agent: id}, WorkerDescribed{Agent: id, Record: record}, LoadReceived{Agent: id, Load: load})
}

// Long jobs that wait because they must leave the headroom free must not keep a short job from using it.
func TestShortJobUsesHeadroomWhileLongJobsWait(t *testing.T) {
	for _, waiting := range []int{0, 1, 2, 5} {
		now := time.Unix(1_000_000, 0)
		d := New(Limits{Jobs: 10}, rand.New(rand.NewPCG(1, 2)))
		agentWithRack(d, now, "r1", loadWithHeadroom())
		submit := func(name string, priority int, expected time.Duration) []Effect {
			kind := Kind{Name: name, Service: "svc", Priority: priority, Stretch: 1.6, Target: time.Second}
			step := Step{Count: 1, Needs: worker.Resources{CPU: 1000}, Expected: expected}
			return d.Handle(now, Submitted{Job: Job{ID: name, Kind: kind, Steps: []Step{step}}, Waiter: 1})
		}
		for i := range waiting {
			if hasStart(submit(fmt.Sprint("long-", i), 0, 900*time.Millisecond)) {
				t.Fatalf("long job %d was started in the headroom for shorter tasks", i)
			}
		}
		if !hasStart(submit("short", 1, 60*time.Millisecond)) {
			t.Errorf("the short job was not started while %d long jobs wait", waiting)
		}
	}
}

// A task takes longer in another rack than its data, and its estimate must include that. Otherwise the dispatcher would send a start
// into the headroom for shorter tasks, and the agent would reject it.
func TestTaskInAnotherRackLeavesHeadroomByItsLongerEstimate(t *testing.T) {
	for _, test := range []struct {
		rack     string
		isStart  bool
		estimate time.Duration
	}{
		{"r1", true, 0},
		{"r2", false, 180 * time.Millisecond},
	} {
		now := time.Unix(1_000_000, 0)
		d := New(Limits{Jobs: 10, CrossRackFactor: 3}, rand.New(rand.NewPCG(1, 2)))
		agentWithRack(d, now, "r1", loadWithHeadroom())
		kind := Kind{Name: "kind", Service: "svc", Stretch: 1.6, Target: time.Second}
		step := Step{Count: 1, Needs: worker.Resources{CPU: 1000}, Expected: 60 * time.Millisecond, Rack: test.rack}
		effects := d.Handle(now, Submitted{Job: Job{ID: "j", Kind: kind, Steps: []Step{step}}, Waiter: 1})
		if hasStart(effects) != test.isStart {
			t.Errorf("data in %s: a start was sent: %t, want %t", test.rack, !test.isStart, test.isStart)
		}
		if got := reservedEstimate(effects); got != test.estimate {
			t.Errorf("data in %s: the reservation has an estimate of %v, want %v", test.rack, got, test.estimate)
		}
		if room := d.hasResourcesFor(d.newJob(now, Job{ID: "k", Kind: kind, Steps: []Step{step}})); room != test.isStart {
			t.Errorf("data in %s: hasRoomFor another job is %t, want %t", test.rack, room, test.isStart)
		}
	}
}

// reservedEstimate returns the estimated duration in the first reservation, or zero if there is none.
func reservedEstimate(effects []Effect) time.Duration {
	for _, effect := range effects {
		if e, ok := effect.(Reserve); ok {
			return e.Reservation.Estimate
		}
	}
	return 0
}

// A job that would be late on the only worker with its label must not wait for faster workers without the label.
func TestJobDoesNotWaitForWorkersThatCannotRunIt(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	d := New(Limits{Jobs: 10}, rand.New(rand.NewPCG(1, 2)))
	agentWithRack(d, now, "label", runner.Load{Accepts: true, Slowness: 1, TimeFactor: 4})
	for _, rack := range []string{"r1", "r2", "r3"} {
		agentWithRack(d, now, rack, runner.Load{Accepts: true, Slowness: 1, TimeFactor: 0.9})
	}
	kind := Kind{Name: "kind", Service: "svc", Stretch: 1.6, Target: 60 * time.Millisecond}
	step := Step{Count: 1, Needs: worker.Resources{CPU: 1000}, Expected: time.Second, Label: "label"}
	if !hasStart(d.Handle(now, Submitted{Job: Job{ID: "j", Kind: kind, Steps: []Step{step}}, Waiter: 1})) {
		t.Error("the job waits for a worker that cannot run it")
	}
}
