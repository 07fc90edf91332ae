// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"slices"
	"time"

	"sailhead/internal/worker"
)

// fakeRun is a run on the fake worker.
type fakeRun struct {
	run   uint32
	ends  time.Time
	fails bool
	// stopsAt is when a stop takes effect, or zero if there is none.
	stopsAt time.Time
}

// fakeWorker implements the worker protocol of the platform's description in virtual time.
type fakeWorker struct {
	id string
	// started is the start time in milliseconds since 1970, or zero if the worker does not report it.
	started int64
	// downUntil is when the worker starts listening after a restart, because a process takes some time to start.
	downUntil time.Time
	capacity  worker.Resources
	// earlier is the capacity before resizedAt, when it was changed.
	earlier   worker.Resources
	resizedAt time.Time
	origin    time.Time
	// clockRate is the speed of the worker's clock, zero for 1.
	clockRate float64
	// leaseUntil is the end of the lease on the worker's clock. It is one lease for all runs.
	leaseUntil time.Duration
	// maxLease is the longest lease that is granted.
	maxLease time.Duration
	stopTime time.Duration
	fence    uint64
	runs     map[string]*fakeRun
	needs    func(name string) worker.Resources
	// hidesStopping omits a run from listings from its stop until its end is listed.
	hidesStopping bool
	// acceptsExcess makes the worker accept starts that exceed its capacity. overcommittedBy is the latest such task, or
	// empty.
	acceptsExcess   bool
	overcommittedBy string
	// highest is the highest run number of each task that was stopped or has ended.
	highest map[string]uint32
	ends    []worker.End
	number  uint64
	// begun counts the runs of each task that have begun, and done those that were successful.
	begun map[string]int
	done  map[string]int
	last  time.Time
}

func newFakeWorker(id string, origin time.Time, capacity worker.Resources, needs func(string) worker.Resources) *fakeWorker {
	return &fakeWorker{
		id: id, capacity: capacity, origin: origin, maxLease: time.Second, stopTime: 50 * time.Millisecond, needs: needs,
		runs: make(map[string]*fakeRun), highest: make(map[string]uint32), begun: make(map[string]int), done: make(map[string]int),
	}
}

func (w *fakeWorker) incarnation() worker.Incarnation {
	return worker.Incarnation{ID: w.id, StartedMillis: w.started}
}

func (w *fakeWorker) clock(now time.Time) time.Duration {
	elapsed := now.Sub(w.origin)
	if w.clockRate > 0 {
		elapsed = time.Duration(w.clockRate * float64(elapsed))
	}
	return elapsed + time.Hour
}

func (w *fakeWorker) reply(now time.Time) worker.Reply {
	return worker.Reply{Clock: w.clock(now), Received: now}
}

func (w *fakeWorker) end(name string, r *fakeRun, ending worker.Ending) {
	delete(w.runs, name)
	w.highest[name] = max(w.highest[name], r.run)
	w.number++
	if ending == worker.EndingDone {
		w.done[name]++
	}
	w.ends = append(w.ends, worker.End{Number: w.number, Name: name, Run: r.run, Ending: ending})
}

// advance ends the runs that are over by now, in the order of the task names.
func (w *fakeWorker) advance(now time.Time) {
	names := make([]string, 0, len(w.runs))
	for name := range w.runs {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		r := w.runs[name]
		switch {
		case !r.stopsAt.IsZero() && !r.stopsAt.After(now):
			w.end(name, r, worker.EndingStopped)
		case !r.ends.After(now) && w.clock(r.ends) <= w.leaseUntil && r.fails:
			w.end(name, r, worker.EndingFailed)
		case !r.ends.After(now) && w.clock(r.ends) <= w.leaseUntil:
			w.end(name, r, worker.EndingDone)
		case w.clock(now) > w.leaseUntil:
			w.end(name, r, worker.EndingLeaseExpired)
		}
	}
	w.last = now
}

func (w *fakeWorker) used() worker.Resources {
	var used worker.Resources
	for name := range w.runs {
		used = used.Plus(w.needs(name))
	}
	return used
}

// resizeNotice is how long the larger of the capacities before and after a change applies to starts. The users' rules
// allow several seconds; here the heartbeat follows after a millisecond, and a call that is not delayed takes a few
// more.
const resizeNotice = 100 * time.Millisecond

// resize changes the capacity.
func (w *fakeWorker) resize(now time.Time, capacity worker.Resources) {
	w.earlier, w.capacity, w.resizedAt = w.capacity, capacity, now
}

// accepted returns the capacity that is available to starts.
func (w *fakeWorker) accepted(now time.Time) worker.Resources {
	if now.Sub(w.resizedAt) < resizeNotice && w.capacity.Fits(w.earlier) {
		return w.earlier
	}
	return w.capacity
}

func (w *fakeWorker) isFenced(fence uint64) bool {
	if fence < w.fence {
		return true
	}
	w.fence = fence
	return false
}

func (w *fakeWorker) lease(now time.Time, until time.Duration) {
	until = min(until, w.clock(now)+w.maxLease)
	w.leaseUntil = max(w.leaseUntil, until)
}

func (w *fakeWorker) start(now time.Time, incarnation worker.Incarnation, s worker.StartRequest, runTime time.Duration, fails bool) worker.StartResult {
	w.advance(now)
	if now.Before(w.downUntil) {
		return worker.Unreachable{}
	}
	if incarnation.ID != w.id {
		return worker.WrongIncarnation{Reply: w.reply(now)}
	}
	if w.isFenced(s.Fence) {
		return worker.Fenced{Reply: w.reply(now)}
	}
	if r, ok := w.runs[s.Name]; ok && r.run == s.Run {
		return worker.Accepted{Reply: w.reply(now)}
	}
	if s.Run <= w.highest[s.Name] || w.runs[s.Name] != nil {
		return worker.StaleRun{Reply: w.reply(now)}
	}
	if s.LeaseUntil <= w.clock(now) {
		return worker.TooLate{Reply: w.reply(now)}
	}
	w.lease(now, s.LeaseUntil)
	if !w.needs(s.Name).Fits(w.accepted(now).Minus(w.used())) {
		if !w.acceptsExcess {
			return worker.InsufficientResources{Reply: w.reply(now)}
		}
		w.overcommittedBy = s.Name
	}
	w.runs[s.Name] = &fakeRun{run: s.Run, ends: now.Add(runTime), fails: fails}
	w.begun[s.Name]++
	return worker.Accepted{Reply: w.reply(now)}
}

func (w *fakeWorker) stop(now time.Time, incarnation worker.Incarnation, s worker.StopRequest) worker.StopResult {
	w.advance(now)
	if now.Before(w.downUntil) {
		return worker.Unreachable{}
	}
	if incarnation.ID != w.id {
		return worker.WrongIncarnation{Reply: w.reply(now)}
	}
	if w.isFenced(s.Fence) {
		return worker.Fenced{Reply: w.reply(now)}
	}
	w.highest[s.Name] = max(w.highest[s.Name], s.Run)
	if r, ok := w.runs[s.Name]; ok && r.run <= s.Run && r.stopsAt.IsZero() {
		r.stopsAt = now.Add(w.stopTime)
	}
	return worker.Accepted{Reply: w.reply(now)}
}

func (w *fakeWorker) list(now time.Time, incarnation worker.Incarnation, h worker.RenewRequest) worker.RenewResult {
	w.advance(now)
	if now.Before(w.downUntil) {
		return worker.Unreachable{}
	}
	if incarnation.ID != w.id {
		return worker.WrongIncarnation{Reply: w.reply(now)}
	}
	if w.isFenced(h.Fence) {
		return worker.Fenced{Reply: w.reply(now)}
	}
	w.lease(now, h.LeaseUntil)
	w.ends = slices.DeleteFunc(w.ends, func(e worker.End) bool { return e.Number <= h.AcknowledgedEnd })
	listing := worker.Listing{Reply: w.reply(now), StartedMillis: w.started, Ended: slices.Clone(w.ends)}
	for name, r := range w.runs {
		if w.hidesStopping && !r.stopsAt.IsZero() {
			continue
		}
		listing.Running = append(listing.Running, worker.Run{Name: name, Run: r.run})
	}
	slices.SortFunc(listing.Running, func(a, b worker.Run) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return listing
}
