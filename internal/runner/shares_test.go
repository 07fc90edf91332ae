// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sailhead/internal/worker"
)

const (
	shortTask = 60 * time.Millisecond
	longTask  = 900 * time.Millisecond
)

// sharedWorker is a runner in virtual time whose worker has eight cores, with a session of an entry in each of two
// availability zones. Runs end when end is called.
type sharedWorker struct {
	t       *testing.T
	runner  *Runner
	now     time.Time
	number  uint64
	ends    uint64
	effects []Effect
}

func newSharedWorker(t *testing.T, isShared bool) *sharedWorker {
	limits := DefaultLimits(time.Second, 50*time.Millisecond)
	limits.NoShares = !isShared
	w := &sharedWorker{t: t, runner: New(limits, 1), now: time.Unix(1_000_000, 0)}
	w.handle(HeartbeatReceived{Record: worker.Record{ID: "w", Service: "svc", Capacity: worker.Resources{CPU: 8 * taskCPU}, Sequence: 1, Clock: time.Hour}})
	w.runner.worker.knowsAllRuns = true
	w.handle(SessionOpened{Session: 1, Entry: "entry-1", Zone: "zone-1"})
	w.handle(SessionOpened{Session: 2, Entry: "entry-2", Zone: "zone-2"})
	return w
}

// handle applies an event and collects its effects. The worker answers each request for a listing and accepts each start.
func (w *sharedWorker) handle(event Event) {
	for _, effect := range w.runner.Handle(w.now, event) {
		w.effects = append(w.effects, effect)
		switch e := effect.(type) {
		case CallStart:
			w.handle(StartAnswered{Incarnation: e.Incarnation, Name: e.Start.Name, Run: e.Start.Run, Result: worker.Accepted{Reply: w.reply()}})
		case CallRenew:
			if e.Renew.Wait == 0 {
				w.handle(RenewAnswered{Incarnation: e.Incarnation, Sent: w.now, Result: worker.Listing{Reply: w.reply(), Running: w.running()}})
			}
		case SendPing:
			w.handle(PongReceived{Session: e.Session, Sent: e.Time})
		}
	}
}

func (w *sharedWorker) reply() worker.Reply {
	return worker.Reply{Clock: time.Duration(w.now.UnixNano()), Received: w.now}
}

// running returns the runs that the worker lists.
func (w *sharedWorker) running() []worker.Run {
	var runs []worker.Run
	for _, t := range w.runner.active() {
		runs = append(runs, worker.Run{Name: t.Name, Run: t.Run})
	}
	return runs
}

// start starts a task that needs one core, and returns its name.
func (w *sharedWorker) start(id SessionID, kind string, estimate time.Duration) string {
	w.number++
	name := fmt.Sprintf("%s-%d.0.0.0", kind, w.number)
	w.handle(StartRequested{Session: id, Number: w.number, Task: Task{
		Name: name, Run: 1, Needs: worker.Resources{CPU: taskCPU}, Kind: kind, Estimate: estimate, Urgency: w.urgency(estimate),
	}})
	return name
}

func (w *sharedWorker) urgency(estimate time.Duration) Urgency {
	return Urgency{StartBy: w.now.Add(estimate)}
}

// reserve reserves resources for a task that needs one core.
func (w *sharedWorker) reserve(id SessionID, job, kind string, estimate time.Duration) {
	w.handle(ReservationRequested{Session: id, Reservation: Reservation{
		Job: job, Needs: worker.Resources{CPU: taskCPU}, Count: 1, Kind: kind, Estimate: estimate, Urgency: w.urgency(estimate),
	}})
}

// end reports that a run is done.
func (w *sharedWorker) end(name string) {
	w.ends++
	running := slices.DeleteFunc(w.running(), func(r worker.Run) bool { return r.Name == name })
	listing := worker.Listing{Reply: w.reply(), Running: running, Ended: []worker.End{{Number: w.ends, Name: name, Run: 1, Ending: worker.EndingDone}}}
	w.handle(RenewAnswered{Incarnation: worker.Incarnation{ID: "w"}, Sent: w.now, LongPoll: true, Result: listing})
}

// advance advances the virtual time, with a tick every 20 ms.
func (w *sharedWorker) advance(length time.Duration) {
	for end := w.now.Add(length); w.now.Before(end); {
		w.now = w.now.Add(20 * time.Millisecond)
		w.handle(Ticked{})
	}
}

// makeCompetitorsWait lets both entries wait for more resources than the worker has until the next tick.
func (w *sharedWorker) makeCompetitorsWait() {
	for _, count := range []int{1, 0} {
		for id := range SessionID(2) {
			w.handle(ReservationRequested{Session: id + 1, Reservation: Reservation{Job: "large", Needs: worker.Resources{CPU: 9 * taskCPU}, Count: count}})
		}
		w.advance(20 * time.Millisecond)
	}
}

// offeredJobs returns the jobs that received offers, in order.
func (w *sharedWorker) offeredJobs() []string {
	var jobs []string
	for _, effect := range w.effects {
		if e, ok := effect.(SendOffer); ok {
			jobs = append(jobs, e.Offer.Job)
		}
	}
	return jobs
}

// runShortTasks runs short tasks on two cores for some seconds.
func (w *sharedWorker) runShortTasks() {
	for range 50 {
		first, second := w.start(1, "short", shortTask), w.start(1, "short", shortTask)
		w.advance(shortTask)
		w.end(first)
		w.end(second)
	}
}

// TestLongTasksLeaveHeadroomForShortTasks starts long tasks until they are rejected, on a worker of which short tasks
// usually use two cores.
func TestLongTasksLeaveHeadroomForShortTasks(t *testing.T) {
	for _, test := range []struct {
		isShared bool
		want     int
	}{{true, 6}, {false, 8}} {
		w := newSharedWorker(t, test.isShared)
		w.runShortTasks()
		w.makeCompetitorsWait()
		w.effects = nil
		for range 9 {
			w.start(2, "long", longTask)
		}
		if got := len(w.runner.active()); got != test.want {
			t.Errorf("shares %t: %d long tasks run on 8 cores of which short ones usually use 2, want %d", test.isShared, got, test.want)
		}
		w.start(1, "short", shortTask)
		if _, _, active := w.runner.Counts(); active != min(test.want+1, 8) {
			t.Errorf("shares %t: %d tasks run after the start of a short one", test.isShared, active)
		}
	}
}

// TestReservationLimitedByHeadroomDelaysNoOthers checks the load that entries receive while a long task waits although
// there are free resources for short ones.
func TestReservationLimitedByHeadroomDelaysNoOthers(t *testing.T) {
	w := newSharedWorker(t, true)
	w.runShortTasks()
	w.makeCompetitorsWait()
	for range 6 {
		w.start(2, "long", longTask)
	}
	w.effects = nil
	w.reserve(2, "waits", "long", longTask)
	load := w.runner.currentLoad(w.now)
	if len(w.offeredJobs()) > 0 || load.HasReservations || len(load.Headroom) == 0 || load.Headroom[0].CPU != 2*taskCPU {
		t.Errorf("got offers to %v and the load %+v, want none, and 2 cores that long tasks leave free", w.offeredJobs(), load)
	}
}

// TestCompetitorBelowItsShareIsOfferedFirst lets one availability zone use all cores of the worker. A core that becomes
// free is offered to the other zone, although the first one has a job that has started.
func TestCompetitorBelowItsShareIsOfferedFirst(t *testing.T) {
	for _, test := range []struct {
		isShared bool
		want     []string
	}{{true, []string{"steady"}}, {false, []string{"begun"}}} {
		w := newSharedWorker(t, test.isShared)
		var running []string
		for range 8 {
			running = append(running, w.start(1, "kind", shortTask))
		}
		w.advance(time.Second)
		w.effects = nil
		w.handle(ReservationRequested{Session: 1, Reservation: Reservation{
			Job: "begun", Needs: worker.Resources{CPU: taskCPU}, Count: 1, Kind: "kind", Estimate: shortTask,
			Urgency: Urgency{HasStarted: true, StartBy: w.now.Add(time.Second)},
		}})
		w.reserve(2, "steady", "kind", shortTask)
		w.end(running[0])
		w.handle(Ticked{})
		if got := w.offeredJobs(); !slices.Equal(got, test.want) {
			t.Errorf("shares %t: offers go to %v, want %v", test.isShared, got, test.want)
		}
	}
}

// TestDroppedOffersAreNotCharged makes offers to one availability zone that are dropped before they are used, as when the
// worker is ejected or restarts. The zone has used nothing, so it must not be above its share.
func TestDroppedOffersAreNotCharged(t *testing.T) {
	for _, hasOffers := range []bool{false, true} {
		w := newSharedWorker(t, true)
		w.reserve(2, "other", "kind", shortTask)
		w.handle(OfferAnswered{Session: 2, Offer: w.runner.lastOffer})
		for i := 0; hasOffers && i < 8; i++ {
			w.reserve(1, fmt.Sprint("dropped-", i), "kind", longTask)
		}
		w.runner.dropAllReservations()
		w.advance(20 * time.Millisecond)
		w.makeCompetitorsWait()
		if !w.runner.sharing.accounts.IsWithinShare(w.now, w.runner.sessions[1].competitor("kind")) {
			t.Errorf("offers dropped %t: the zone is charged for more than its share", hasOffers)
		}
	}
}

// TestEndOfAnOfferReversesItsCharge makes an offer for a long task and changes its reservation before the offer is
// answered. The end of the offer must reverse the original charge.
func TestEndOfAnOfferReversesItsCharge(t *testing.T) {
	w := newSharedWorker(t, true)
	reservation := Reservation{Job: "j", Needs: worker.Resources{CPU: taskCPU}, Count: 9, Kind: "kind", Estimate: longTask, Urgency: w.urgency(longTask)}
	w.handle(ReservationRequested{Session: 1, Reservation: reservation})
	reservation.Estimate = shortTask
	w.handle(ReservationRequested{Session: 1, Reservation: reservation})
	w.handle(ReservationRequested{Session: 1, Reservation: Reservation{Job: "j"}})
	w.handle(OfferAnswered{Session: 1, Offer: w.runner.lastOffer})
	w.advance(20 * time.Millisecond)
	w.makeCompetitorsWait()
	if !w.runner.sharing.accounts.IsWithinShare(w.now, w.runner.sessions[1].competitor("kind")) {
		t.Error("the zone has used nothing, but is charged for more than its share")
	}
}

// TestChangedReservationCompetesAsItsLatestKind replaces a reservation by one of another kind for the same job, as when
// the job is submitted again.
func TestChangedReservationCompetesAsItsLatestKind(t *testing.T) {
	w := newSharedWorker(t, true)
	for range 8 {
		w.start(1, "busy", longTask)
	}
	w.reserve(1, "j", "earlier", shortTask)
	w.reserve(1, "j", "later", shortTask)
	if got, want := w.runner.waitingCompetitors(), w.runner.sessions[1].competitor("later"); len(got) != 1 || got[0] != want {
		t.Errorf("waiting competitors are %v, want %v", got, want)
	}
}

// TestRunThatEndsWithItsWorkerIsChargedForItsActualTime ends the worker shortly after the start of long tasks. They must be
// charged for the time that they ran, so that their zone can use its share of the next incarnation at once.
func TestRunThatEndsWithItsWorkerIsChargedForItsActualTime(t *testing.T) {
	for _, tellsStart := range []bool{false, true} {
		w := newSharedWorker(t, true)
		if tellsStart {
			w.runner.worker.record.StartedMillis = 1
		}
		for range 8 {
			w.start(1, "kind", time.Minute)
		}
		w.advance(20 * time.Millisecond)
		w.handle(RenewAnswered{Incarnation: w.runner.worker.record.Incarnation(), Sent: w.now, Result: worker.Unreachable{}})
		if w.runner.worker != nil {
			t.Fatal("the worker has not ended")
		}
		if account := w.runner.sharing.accounts; !account.IsWithinShare(w.now.Add(2*time.Second), w.runner.sessions[1].competitor("kind")) {
			t.Errorf("worker reports its start time %t: the zone is charged for more than its runs took", tellsStart)
		}
	}
}

// TestUsageOfIdleKindsIsNotKept runs tasks of many kinds one after the other. The map of CPU usage by kind must not grow.
func TestUsageOfIdleKindsIsNotKept(t *testing.T) {
	w := newSharedWorker(t, true)
	for i := range 20 {
		w.end(w.start(1, fmt.Sprint("kind-", i), shortTask))
	}
	if kept := len(w.runner.worker.usedByKind); kept > 0 {
		t.Errorf("usage of %d kinds is kept, but none has an active task", kept)
	}
}

// BenchmarkOffer measures an offer and its answer while 100 jobs of three kinds wait in three availability zones.
func BenchmarkOffer(b *testing.B) {
	for _, isShared := range []bool{false, true} {
		b.Run(fmt.Sprintf("shares=%t", isShared), func(b *testing.B) {
			limits := DefaultLimits(time.Second, 50*time.Millisecond)
			limits.NoShares = !isShared
			now := time.Unix(1_000_000, 0)
			r := New(limits, 1)
			r.Handle(now, HeartbeatReceived{Record: worker.Record{ID: "w", Service: "svc", Capacity: worker.Resources{CPU: 8 * taskCPU}, Sequence: 1, Clock: time.Hour}})
			r.worker.knowsAllRuns = true
			for id := range SessionID(3) {
				r.Handle(now, SessionOpened{Session: id + 1, Entry: fmt.Sprint(id), Zone: fmt.Sprint(id)})
			}
			for i := range 100 {
				r.Handle(now, ReservationRequested{Session: SessionID(i%3) + 1, Reservation: Reservation{
					Job: fmt.Sprint(i), Needs: worker.Resources{CPU: 5 * taskCPU}, Count: 1 << 30, Kind: fmt.Sprint(i / 3 % 3), Estimate: shortTask,
					Urgency: Urgency{Priority: i / 3 % 3, StartBy: now.Add(time.Second)},
				}})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				for id, o := range r.offers {
					r.Handle(now, OfferAnswered{Session: o.session, Offer: id})
				}
			}
		})
	}
}
