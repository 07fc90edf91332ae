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

// busyDispatcher returns a dispatcher with waiting jobs and with agents whose workers are fully used.
func busyDispatcher(now time.Time, agents, jobs int) *Dispatcher {
	d := New(Limits{Jobs: jobs + 1}, rand.New(rand.NewPCG(1, 2)))
	for i := range agents {
		id := AgentID(fmt.Sprint("agent-", i))
		record := worker.Record{ID: "w", Service: "svc", Capacity: worker.Resources{CPU: 32000, Memory: 64 << 10}}
		d.Handle(now, AgentUp{Agent: id}, WorkerDescribed{Agent: id, Record: record}, LoadReceived{Agent: id, Load: busyLoad(0)})
	}
	kind := Kind{Name: "kind", Service: "svc", Stretch: 1.6, Target: time.Hour}
	for i := range jobs {
		step := Step{Count: 4, Needs: worker.Resources{CPU: 3100}, Expected: 100 * time.Millisecond}
		d.Handle(now, Submitted{Job: Job{ID: fmt.Sprint("job-", i), Kind: kind, Steps: []Step{step}}, Waiter: Waiter(i + 1)})
	}
	return d
}

// busyLoad returns the load of a worker with reservations and with free, in thousandths of a core, as its free CPU.
func busyLoad(free int) runner.Load {
	return runner.Load{Accepts: true, Slowness: 1, HasReservations: true, Used: worker.Resources{CPU: 32000 - free}}
}

func TestOnlyLoadsWithMoreResourcesPlaceJobs(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	more := busyLoad(4000)
	more.HasReservations = false
	draining := busyLoad(0)
	draining.Accepts = false
	slow := busyLoad(0)
	slow.Slowness = 2 * maxSlowness
	cases := []struct {
		name string
		load runner.Load
		want bool
	}{
		{"less is free", busyLoad(-1000), false},
		{"more is free, but reserved", busyLoad(4000), false},
		{"more is free", more, true},
		{"the worker no longer accepts tasks", draining, true},
		{"the worker becomes unhealthy", slow, true},
	}
	for _, c := range cases {
		d := busyDispatcher(now, 3, 2)
		d.handleEvent(now, LoadReceived{Agent: "agent-1", Load: c.load})
		if d.isPlaceDue != c.want {
			t.Errorf("%s: isPlaceDue is %t, want %t", c.name, d.isPlaceDue, c.want)
		}
	}
}

// BenchmarkLoad measures the handling of a load while jobs wait, with as many agents as larger installations have.
func BenchmarkLoad(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	for _, jobs := range []int{0, 10, 50} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			d := busyDispatcher(now, 67, jobs)
			b.ReportAllocs()
			for i := range b.N {
				d.Handle(now, LoadReceived{Agent: "agent-1", Load: busyLoad(i % 500)})
			}
		})
	}
}

// BenchmarkOffer measures the handling of an offer for one task and of the report on its run, with 100 waiting jobs and 48
// agents.
func BenchmarkOffer(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	d := busyDispatcher(now, 48, 100)
	for _, j := range d.jobs {
		for _, a := range d.ordered {
			d.recordKindOutcome(j, a.id, false)
		}
	}
	b.ReportAllocs()
	for i := range b.N {
		offer := runner.Offer{ID: runner.OfferID(i + 1), Resources: worker.Resources{CPU: 3100}, Remaining: 1}
		for _, effect := range d.Handle(now, OfferReceived{Agent: "agent-1", Offer: offer}) {
			if start, ok := effect.(StartTask); ok {
				update := runner.Update{Name: start.Task.Name, Run: start.Task.Run, Outcome: runner.OutcomeStopped}
				d.Handle(now, LoadReceived{Agent: "agent-1", Handled: start.Number, Load: busyLoad(0)}, RunUpdated{Agent: "agent-1", Update: update})
			}
		}
	}
}

// BenchmarkPlace measures a placement with 100 waiting jobs and 48 agents, which have either no free resources or only
// resources that are kept free for shorter tasks.
func BenchmarkPlace(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	for _, keepsRoom := range []bool{false, true} {
		b.Run(fmt.Sprintf("keepsRoom=%t", keepsRoom), func(b *testing.B) {
			d := busyDispatcher(now, 48, 100)
			load := runner.Load{Accepts: true, Slowness: 1, Used: worker.Resources{CPU: 32000}}
			if keepsRoom {
				load.Used.CPU = 26000
				load.Headroom = []shares.HeadroomBound{{LongerThan: time.Millisecond, CPU: 6000}}
			}
			for _, a := range d.ordered {
				d.Handle(now, LoadReceived{Agent: a.id, Load: load})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				d.place(now)
			}
		})
	}
}
