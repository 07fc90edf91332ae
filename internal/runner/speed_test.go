// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"fmt"
	"math"
	"testing"
	"time"

	"sailhead/internal/worker"
)

func TestTheTimeFactorFollowsSteadySpeedOnly(t *testing.T) {
	steady := func(ratio float64, runs int) []float64 {
		var ratios []float64
		for range runs {
			ratios = append(ratios, ratio)
		}
		return ratios
	}
	for name, test := range map[string]struct {
		ratios []float64
		want   float64
	}{
		"unknown":                 {nil, 1},
		"slow":                    {steady(1.7, 200), 1.7},
		"fast":                    {steady(0.7, 200), 0.7},
		"few runs count for less": {steady(1.7, 8), math.Sqrt(1.7)},
		"hanging for a while":     {append(steady(1, 200), steady(9, 50)...), 1},
		"a run without work":      {append(steady(1, 200), 0.01), 1},
	} {
		var s speed
		for _, ratio := range test.ratios {
			s = s.observe(ratio)
		}
		if got := s.timeFactor(); math.Abs(got-test.want) > 0.1 {
			t.Errorf("%s: %.2f, want %.2f", name, got, test.want)
		}
	}
}

// TestASlowMachineIsHealthy runs tasks on a worker that always takes 1.8 times the expected time. Its time factor
// becomes known, and it does not count as temporarily slow. The speed of its next incarnation is unknown again.
func TestASlowMachineIsHealthy(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := newServingRunner(now, 1)
	const expected, takes = 100 * time.Millisecond, 180 * time.Millisecond
	clock := time.Hour
	for i := range 200 {
		name := fmt.Sprintf("job-%d.0.0.0", i)
		r.handlePong(now, PongReceived{Session: 1, Sent: now})
		r.Handle(now, StartRequested{Session: 1, Number: uint64(i + 1), Task: Task{Name: name, Run: 1, Expected: expected, Needs: worker.Resources{CPU: 1}}})
		incarnation := r.worker.record.Incarnation()
		r.Handle(now, StartAnswered{Incarnation: incarnation, Name: name, Run: 1, Result: worker.Accepted{Reply: worker.Reply{Clock: clock, Received: now}}})
		now, clock = now.Add(takes), clock+takes
		end := worker.End{Number: uint64(i + 1), Name: name, Run: 1, Ending: worker.EndingDone}
		r.Handle(now, RenewAnswered{Incarnation: incarnation, Sent: now, Result: worker.Listing{
			Reply: worker.Reply{Clock: clock, Received: now}, Ended: []worker.End{end},
		}})
	}
	load := r.currentLoad(now)
	if math.Abs(load.TimeFactor-1.8) > 0.1 || load.Slowness > 1.2 {
		t.Errorf("time factor %.2f and slowness %.2f, want 1.8 and 1", load.TimeFactor, load.Slowness)
	}
	next := r.worker.record
	next.ID = "another"
	r.beginIncarnation(now, next)
	if load := r.currentLoad(now); load.TimeFactor != 1 {
		t.Errorf("time factor %.2f of the next incarnation, want 1", load.TimeFactor)
	}
}
