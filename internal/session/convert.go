// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package session

import (
	"math"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/session/sessionpb"
	"sailhead/internal/worker"
)

// hundred converts a factor or share to and from the hundredths on the wire.
const hundred = 100

// count returns n as it is on the wire; a value out of range is set to the nearest one.
func count(n int) uint32 {
	return uint32(max(0, min(n, math.MaxUint32)))
}

// millis returns a duration as it is on the wire; parts of a millisecond are dropped.
func millis(d time.Duration) uint32 {
	return count(int(d.Milliseconds()))
}

func duration(millis uint32) time.Duration {
	return time.Duration(millis) * time.Millisecond
}

func packStart(number uint64, t runner.Task) *sessionpb.FromEntry {
	return &sessionpb.FromEntry{Message: &sessionpb.FromEntry_Start{Start: &sessionpb.Start{
		Number: number, Task: t.Name, Run: t.Run, Payload: t.Payload,
		Cpu: count(t.Needs.CPU), Memory: count(t.Needs.Memory), Gpu: count(t.Needs.GPU),
		Checkpoint: t.Checkpoint, WaitMs: millis(t.MaxWait), ExpectedMs: millis(t.Expected),
		Priority: count(t.Priority), Kept: t.IsDurable,
	}}}
}

func unpackStart(s *sessionpb.Start) runner.Task {
	return runner.Task{
		Name: s.Task, Run: s.Run, Payload: s.Payload, Checkpoint: s.Checkpoint,
		Needs:   worker.Resources{CPU: int(s.Cpu), Memory: int(s.Memory), GPU: int(s.Gpu)},
		MaxWait: duration(s.WaitMs), Expected: duration(s.ExpectedMs), Priority: int(s.Priority), IsDurable: s.Kept,
	}
}

// packWorker leaves out the record's clock, sequence and state: entries learn from the load whether it accepts tasks.
func packWorker(r worker.Record) *sessionpb.FromAgent {
	return &sessionpb.FromAgent{Message: &sessionpb.FromAgent_Worker{Worker: &sessionpb.Worker{
		Id: r.ID, Service: r.Service, Zone: r.Zone, Labels: r.Labels,
		Cpu: count(r.Capacity.CPU), Memory: count(r.Capacity.Memory), Gpu: count(r.Capacity.GPU),
	}}}
}

func unpackWorker(w *sessionpb.Worker) worker.Record {
	return worker.Record{
		ID: w.Id, Service: w.Service, Zone: w.Zone, Labels: w.Labels,
		Capacity: worker.Resources{CPU: int(w.Cpu), Memory: int(w.Memory), GPU: int(w.Gpu)},
	}
}

func packLoad(handled uint64, l runner.Load) *sessionpb.FromAgent {
	return &sessionpb.FromAgent{Message: &sessionpb.FromAgent_Load{Load: &sessionpb.Load{
		Handled: handled, Cpu: count(l.Used.CPU), Memory: count(l.Used.Memory), Gpu: count(l.Used.GPU),
		Accepts: l.Accepts, Leaving: l.ShuttingDown,
		Slowness: count(int(l.Slowness * hundred)), FailureRate: count(int(l.FailureRate * hundred)),
	}}}
}

func unpackLoad(l *sessionpb.Load) runner.Load {
	return runner.Load{
		Used:    worker.Resources{CPU: int(l.Cpu), Memory: int(l.Memory), GPU: int(l.Gpu)},
		Accepts: l.Accepts, ShuttingDown: l.Leaving,
		Slowness: float64(l.Slowness) / hundred, FailureRate: float64(l.FailureRate) / hundred,
	}
}

func packUpdate(u runner.Update) *sessionpb.FromAgent {
	return &sessionpb.FromAgent{Message: &sessionpb.FromAgent_Update{Update: &sessionpb.Update{
		Task: u.Name, Run: u.Run, Outcome: sessionpb.Outcome(u.Outcome), Reason: u.Reason,
		Checkpoint: u.Checkpoint, Unnoted: u.Unacknowledged,
	}}}
}

func unpackUpdate(u *sessionpb.Update) runner.Update {
	return runner.Update{
		Name: u.Task, Run: u.Run, Outcome: runner.Outcome(u.Outcome), Reason: u.Reason,
		Checkpoint: u.Checkpoint, Unacknowledged: u.Unnoted,
	}
}
