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

// hundredths returns a factor or share as it is on the wire.
func hundredths(factor float64) uint32 {
	return count(int(math.Round(factor * hundred)))
}

// fraction is the inverse of hundredths.
func fraction(hundredths uint32) float64 {
	return float64(hundredths) / hundred
}

func packStart(number uint64, t runner.Task) *sessionpb.Start {
	return &sessionpb.Start{
		Number: number, Task: t.Name, Run: t.Run, Payload: t.Payload,
		Cpu: count(t.Needs.CPU), Memory: count(t.Needs.Memory), Gpu: count(t.Needs.GPU),
		Checkpoint: t.Checkpoint, WaitMs: millis(t.MaxWait), ExpectedMs: millis(t.Expected), Kept: t.IsDurable, Offer: uint64(t.Offer),
		Priority: count(t.Urgency.Priority), Begun: t.Urgency.HasBegun, SlackMs: slack(t.Urgency),
		Suspect: t.IsSuspect, Kind: t.Kind, Contained: t.IsContained,
		EstimateMs: millis(t.Estimate), Weight: hundredths(t.Weight), IgnoresEjection: t.IgnoresEjection, KindFailures: hundredths(t.KindFailureRate),
	}
}

func unpackStart(s *sessionpb.Start) runner.Task {
	return runner.Task{
		Name: s.Task, Run: s.Run, Payload: s.Payload, Checkpoint: s.Checkpoint,
		Needs:   worker.Resources{CPU: int(s.Cpu), Memory: int(s.Memory), GPU: int(s.Gpu)},
		MaxWait: duration(s.WaitMs), Expected: duration(s.ExpectedMs), IsDurable: s.Kept, Offer: runner.OfferID(s.Offer),
		Urgency: urgency(s.Begun, s.Priority, s.SlackMs), IsSuspect: s.Suspect,
		Kind: s.Kind, IsContained: s.Contained,
		Estimate: duration(s.EstimateMs), Weight: fraction(s.Weight), IgnoresEjection: s.IgnoresEjection, KindFailureRate: fraction(s.KindFailures),
	}
}

// slack returns the time until StartBy in milliseconds. Times do not go over the wire, as clocks differ; the time of the
// message on its way is neglected.
func slack(u runner.Urgency) int32 {
	return int32(max(math.MinInt32, min(clock.Until(u.StartBy).Milliseconds(), math.MaxInt32)))
}

func urgency(hasBegun bool, priority uint32, slackMillis int32) runner.Urgency {
	startBy := clock.Now().Add(time.Duration(slackMillis) * time.Millisecond)
	return runner.Urgency{HasBegun: hasBegun, Priority: int(priority), StartBy: startBy}
}

func packReservation(r runner.Reservation) *sessionpb.FromEntry {
	return &sessionpb.FromEntry{Message: &sessionpb.FromEntry_Reserve{Reserve: &sessionpb.Reserve{
		Job: r.Job, Cpu: count(r.Needs.CPU), Memory: count(r.Needs.Memory), Gpu: count(r.Needs.GPU), Count: count(r.Count),
		Priority: count(r.Urgency.Priority), Begun: r.Urgency.HasBegun, SlackMs: slack(r.Urgency),
		Kind: r.Kind, EstimateMs: millis(r.Estimate), Weight: hundredths(r.Weight),
	}}}
}

func unpackReservation(r *sessionpb.Reserve) runner.Reservation {
	return runner.Reservation{
		Job: r.Job, Needs: worker.Resources{CPU: int(r.Cpu), Memory: int(r.Memory), GPU: int(r.Gpu)}, Count: int(r.Count),
		Urgency: urgency(r.Begun, r.Priority, r.SlackMs),
		Kind:    r.Kind, Estimate: duration(r.EstimateMs), Weight: fraction(r.Weight),
	}
}

func packOffer(o runner.Offer) *sessionpb.FromAgent {
	return &sessionpb.FromAgent{Message: &sessionpb.FromAgent_Offer{Offer: &sessionpb.Offer{
		Offer: uint64(o.ID), Job: o.Job, Left: count(o.Left),
		Cpu: count(o.Resources.CPU), Memory: count(o.Resources.Memory), Gpu: count(o.Resources.GPU),
		Kind: o.Kind, Probe: o.IsProbe,
	}}}
}

func unpackOffer(o *sessionpb.Offer) runner.Offer {
	return runner.Offer{
		ID: runner.OfferID(o.Offer), Job: o.Job, Left: int(o.Left), Kind: o.Kind, IsProbe: o.Probe,
		Resources: worker.Resources{CPU: int(o.Cpu), Memory: int(o.Memory), GPU: int(o.Gpu)},
	}
}

// packWorker leaves out the record's clock, sequence and state: entries learn from the load whether it accepts tasks.
func packWorker(r worker.Record) *sessionpb.FromAgent {
	return &sessionpb.FromAgent{Message: &sessionpb.FromAgent_Worker{Worker: &sessionpb.Worker{
		Id: r.ID, StartedMs: r.StartedMillis, Service: r.Service, Zone: r.Zone, Labels: r.Labels,
		Cpu: count(r.Capacity.CPU), Memory: count(r.Capacity.Memory), Gpu: count(r.Capacity.GPU),
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
		Handled: handled, Cpu: count(l.Used.CPU), Memory: count(l.Used.Memory), Gpu: count(l.Used.GPU),
		Accepts: l.Accepts, Leaving: l.ShuttingDown, Reserved: l.HasReservations, Heard: l.HasHeard,
		Slowness: count(int(l.Slowness * hundred)), FailureRate: count(int(l.FailureRate * hundred)),
		TimeFactor: count(int(l.TimeFactor * hundred)),
		Ejected:    l.IsEjected, Headroom: packHeadroom(l.Headroom),
	}}}
}

func packHeadroom(headroom []shares.Bound) []*sessionpb.Headroom {
	var packed []*sessionpb.Headroom
	for _, h := range headroom {
		packed = append(packed, &sessionpb.Headroom{LongerThanMs: millis(h.LongerThan), Cpu: count(h.CPU)})
	}
	return packed
}

func unpackHeadroom(packed []*sessionpb.Headroom) []shares.Bound {
	var headroom []shares.Bound
	for _, h := range packed {
		headroom = append(headroom, shares.Bound{LongerThan: duration(h.LongerThanMs), CPU: int(h.Cpu)})
	}
	return headroom
}

func unpackLoad(l *sessionpb.Load) runner.Load {
	return runner.Load{
		Used:    worker.Resources{CPU: int(l.Cpu), Memory: int(l.Memory), GPU: int(l.Gpu)},
		Accepts: l.Accepts, ShuttingDown: l.Leaving, HasReservations: l.Reserved, HasHeard: l.Heard,
		Slowness: fraction(l.Slowness), FailureRate: fraction(l.FailureRate), TimeFactor: fraction(l.TimeFactor),
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
		Incarnation: c.Incarnation.ID, StartedMs: c.Incarnation.StartedMillis, AgeMs: millis(c.Age), Runs: wire.PackRuns(c.Runs),
	}
	return &sessionpb.FromAgent{Message: &sessionpb.FromAgent_Crash{Crash: crash}}
}

func unpackCrash(c *sessionpb.Crash) runner.Crash {
	incarnation := worker.Incarnation{ID: c.Incarnation, StartedMillis: c.StartedMs}
	return runner.Crash{Incarnation: incarnation, Age: duration(c.AgeMs), Runs: wire.UnpackRuns(c.Runs)}
}

func packEvacuations(state evacuation.State) *sessionpb.FromEntry {
	evacuations := &sessionpb.Evacuations{AsOf: int64(state.AsOf()), Changes: wire.PackChanges(state)}
	return &sessionpb.FromEntry{Message: &sessionpb.FromEntry_Evacuations{Evacuations: evacuations}}
}
