// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package session

import (
	"math"
	"time"

	"sailhead/internal/clock"
	"sailhead/internal/evacuation"
	"sailhead/internal/runner"
	"sailhead/internal/session/sessionpb"
	"sailhead/internal/shares"
	"sailhead/internal/wire"
	"sailhead/internal/worker"
)

// hundred converts the ratios measured on a worker to hundredths. Unlike wire.Hundredths, the conversion rounds down.
const hundred = 100

func packStart(number uint64, t runner.Task) *sessionpb.Start {
	return &sessionpb.Start{
		Number: number, Task: t.Name, Run: t.Run, Payload: t.Payload,
		Cpu: wire.Count(t.Needs.CPU), Memory: wire.Count(t.Needs.Memory), Gpu: wire.Count(t.Needs.GPU),
		Checkpoint: t.Checkpoint, WaitMs: wire.Millis(t.MaxWait), ExpectedMs: wire.Millis(t.Expected), Kept: t.IsDurable, Offer: uint64(t.Offer),
		Priority: wire.Count(t.Urgency.Priority), Begun: t.Urgency.HasStarted, SlackMs: slack(t.Urgency),
		Suspect: t.IsSuspect, Kind: t.Kind, Contained: t.IsContained,
		EstimateMs: wire.Millis(t.Estimate), Weight: wire.Hundredths(t.Weight), IgnoresEjection: t.IgnoresEjection, KindFailures: wire.Hundredths(t.KindFailureRate),
	}
}

func unpackStart(s *sessionpb.Start) runner.Task {
	return runner.Task{
		Name: s.Task, Run: s.Run, Payload: s.Payload, Checkpoint: s.Checkpoint,
		Needs:   worker.Resources{CPU: int(s.Cpu), Memory: int(s.Memory), GPU: int(s.Gpu)},
		MaxWait: wire.Duration(s.WaitMs), Expected: wire.Duration(s.ExpectedMs), IsDurable: s.Kept, Offer: runner.OfferID(s.Offer),
		Urgency: urgency(s.Begun, s.Priority, s.SlackMs), IsSuspect: s.Suspect,
		Kind: s.Kind, IsContained: s.Contained,
		Estimate: wire.Duration(s.EstimateMs), Weight: wire.Fraction(s.Weight), IgnoresEjection: s.IgnoresEjection, KindFailureRate: wire.Fraction(s.KindFailures),
	}
}

// slack returns the time until StartBy in milliseconds. Relative times are sent because the clocks of the processes differ; the latency of the
// message is neglected.
func slack(u runner.Urgency) int32 {
	return int32(max(math.MinInt32, min(clock.Until(u.StartBy).Milliseconds(), math.MaxInt32)))
}

func urgency(hasBegun bool, priority uint32, slackMillis int32) runner.Urgency {
	startBy := clock.Now().Add(time.Duration(slackMillis) * time.Millisecond)
	return runner.Urgency{HasStarted: hasBegun, Priority: int(priority), StartBy: startBy}
}

func packReservation(r runner.Reservation) *sessionpb.FromEntry {
	return &sessionpb.FromEntry{Message: &sessionpb.FromEntry_Reserve{Reserve: &sessionpb.Reserve{
		Job: r.Job, Cpu: wire.Count(r.Needs.CPU), Memory: wire.Count(r.Needs.Memory), Gpu: wire.Count(r.Needs.GPU), Count: wire.Count(r.Count),
		Priority: wire.Count(r.Urgency.Priority), Begun: r.Urgency.HasStarted, SlackMs: slack(r.Urgency),
		Kind: r.Kind, EstimateMs: wire.Millis(r.Estimate), Weight: wire.Hundredths(r.Weight),
	}}}
}

func unpackReservation(r *sessionpb.Reserve) runner.Reservation {
	return runner.Reservation{
		Job: r.Job, Needs: worker.Resources{CPU: int(r.Cpu), Memory: int(r.Memory), GPU: int(r.Gpu)}, Count: int(r.Count),
		Urgency: urgency(r.Begun, r.Priority, r.SlackMs),
		Kind:    r.Kind, Estimate: wire.Duration(r.EstimateMs), Weight: wire.Fraction(r.Weight),
	}
}

func packOffer(o runner.Offer) *sessionpb.FromAgent {
	return &sessionpb.FromAgent{Message: &sessionpb.FromAgent_Offer{Offer: &sessionpb.Offer{
		Offer: uint64(o.ID), Job: o.Job, Left: wire.Count(o.Remaining),
		Cpu: wire.Count(o.Resources.CPU), Memory: wire.Count(o.Resources.Memory), Gpu: wire.Count(o.Resources.GPU),
		Kind: o.Kind, Probe: o.IsProbe,
	}}}
}

func unpackOffer(o *sessionpb.Offer) runner.Offer {
	return runner.Offer{
		ID: runner.OfferID(o.Offer), Job: o.Job, Remaining: int(o.Left), Kind: o.Kind, IsProbe: o.Probe,
		Resources: worker.Resources{CPU: int(o.Cpu), Memory: int(o.Memory), GPU: int(o.Gpu)},
	}
}

// packWorker omits the record's clock, sequence and state: entries learn from Load whether the worker accepts tasks.
func packWorker(r worker.Record) *sessionpb.FromAgent {
	return &sessionpb.FromAgent{Message: &sessionpb.FromAgent_Worker{Worker: &sessionpb.Worker{
		Id: r.ID, StartedMs: r.StartedMillis, Service: r.Service, Zone: r.Zone, Labels: r.Labels,
		Cpu: wire.Count(r.Capacity.CPU), Memory: wire.Count(r.Capacity.Memory), Gpu: wire.Count(r.Capacity.GPU),
	}}}
}

func unpackWorker(w *sessionpb.Worker) worker.Record {
	return worker.Record{
		ID: w.Id, StartedMillis: w.StartedMs, Service: w.Service, Zone: w.Zone, Labels: w.Labels,
		Capacity: worker.Resources{CPU: int(w.Cpu), Memory: int(w.Memory), GPU: int(w.Gpu)},
	}
}

func packLoad(handled uint64, l runner.Load) *sessionpb.FromAgent {
	return &sessionpb.FromAgent{Message: &sessionpb.FromAgent_Load{Load: &sessionpb.Load{
		Handled: handled, Cpu: wire.Count(l.Used.CPU), Memory: wire.Count(l.Used.Memory), Gpu: wire.Count(l.Used.GPU),
		Accepts: l.Accepts, Leaving: l.ShuttingDown, Reserved: l.HasReservations, Heard: l.KnowsAllEnds,
		Slowness: wire.Count(int(l.Slowness * hundred)), FailureRate: wire.Count(int(l.FailureRate * hundred)),
		TimeFactor: wire.Count(int(l.TimeFactor * hundred)),
		Ejected:    l.IsEjected, Headroom: packHeadroom(l.Headroom),
	}}}
}

func packHeadroom(headroom []shares.HeadroomBound) []*sessionpb.Headroom {
	var packed []*sessionpb.Headroom
	for _, h := range headroom {
		packed = append(packed, &sessionpb.Headroom{LongerThanMs: wire.Millis(h.LongerThan), Cpu: wire.Count(h.CPU)})
	}
	return packed
}

func unpackHeadroom(packed []*sessionpb.Headroom) []shares.HeadroomBound {
	var headroom []shares.HeadroomBound
	for _, h := range packed {
		headroom = append(headroom, shares.HeadroomBound{LongerThan: wire.Duration(h.LongerThanMs), CPU: int(h.Cpu)})
	}
	return headroom
}

func unpackLoad(l *sessionpb.Load) runner.Load {
	return runner.Load{
		Used:    worker.Resources{CPU: int(l.Cpu), Memory: int(l.Memory), GPU: int(l.Gpu)},
		Accepts: l.Accepts, ShuttingDown: l.Leaving, HasReservations: l.Reserved, KnowsAllEnds: l.Heard,
		Slowness: wire.Fraction(l.Slowness), FailureRate: wire.Fraction(l.FailureRate), TimeFactor: wire.Fraction(l.TimeFactor),
		IsEjected: l.Ejected, Headroom: unpackHeadroom(l.Headroom),
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

func packCrash(c runner.Crash) *sessionpb.FromAgent {
	crash := &sessionpb.Crash{
		Incarnation: c.Incarnation.ID, StartedMs: c.Incarnation.StartedMillis, AgeMs: wire.Millis(c.Age), Runs: wire.PackRuns(c.Runs),
	}
	return &sessionpb.FromAgent{Message: &sessionpb.FromAgent_Crash{Crash: crash}}
}

func unpackCrash(c *sessionpb.Crash) runner.Crash {
	incarnation := worker.Incarnation{ID: c.Incarnation, StartedMillis: c.StartedMs}
	return runner.Crash{Incarnation: incarnation, Age: wire.Duration(c.AgeMs), Runs: wire.UnpackRuns(c.Runs)}
}

func packEvacuations(state evacuation.State) *sessionpb.FromEntry {
	evacuations := &sessionpb.Evacuations{AsOf: int64(state.AsOf()), Changes: wire.PackChanges(state)}
	return &sessionpb.FromEntry{Message: &sessionpb.FromEntry_Evacuations{Evacuations: evacuations}}
}
