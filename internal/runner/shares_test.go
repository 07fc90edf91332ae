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

// sharedWorker is a runner in virtual time whose worker has eight cores, with a session of an entry in each of two availability zones. Its runs
// end when end is called.
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
	w.runner.worker.isSurveyed = true
	w.handle(SessionOpened{Session: 1, Entry: "entry-1", Zone: "zone-1"})
	w.handle(SessionOpened{Session: 2, Entry: "entry-2", Zone: "zone-2"})
	return w
}

// handle applies an event and keeps its effects. The worker answers each listing and accepts each start.
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

// running returns what the worker lists.
func (w *sharedWorker) running() []worker.Run {
	var runs []worker.Run
	for _, t := range w.runner.active() {
		runs = append(runs, worker.Run{Name: t.Name, Run: t.Run})
	}
	return runs
}

// start starts a task of a core and returns its name.
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

// reserve reserves for a task of a core.
func (w *sharedWorker) reserve(id SessionID, job, kind string, estimate time.Duration) {
	w.handle(ReservationRequested{Session: id, Reservation: Reservation{
		Job: job, Needs: worker.Resources{CPU: taskCPU}, Count: 1, Kind: kind, Estimate: estimate, Urgency: w.urgency(estimate),
	}})
}

// end ends a run.
func (w *sharedWorker) end(name string) {
	w.ends++
	running := slices.DeleteFunc(w.running(), func(r worker.Run) bool { return r.Name == name })
	listing := worker.Listing{Reply: w.reply(), Running: running, Ended: []worker.End{{Number: w.ends, Name: name, Run: 1, Ending: worker.EndingDone}}}
	w.handle(RenewAnswered{Incarnation: worker.Incarnation{ID: "w"}, Sent: w.now, LongPoll: true, Result: listing})
}

// pass lets time pass, with ticks.
func (w *sharedWorker) pass(length time.Duration) {
	for end := w.now.Add(length); w.now.Before(end); {
		w.now = w.now.Add(20 * time.Millisecond)
		w.handle(Ticked{})
	}
}

// makeScarce lets both entries wait for more than there is until the next tick.
func (w *sharedWorker) makeScarce() {
	for _, count := range []int{1, 0} {
		for id := range SessionID(2) {
			w.handle(ReservationRequested{Session: id + 1, Reservation: Reservation{Job: "large", Needs: worker.Resources{CPU: 9 * taskCPU}, Count: count}})
		}
		w.pass(20 * time.Millisecond)
	}
}

// offeredTo returns the jobs that got offers, in order.
func (w *sharedWorker) offeredTo() []string {
	var jobs []string
	for _, effect := range w.effects {
		if e, ok := effect.(SendOffer); ok {
			jobs = append(jobs, e.Offer.Job)
		}
	}
	return jobs
}

// useUsually lets short tasks use two cores for some seconds.
func (w *sharedWorker) useUsually() {
	for range 50 {
		first, second := w.start(1, "short", shortTask), w.start(1, "short", shortTask)
		w.pass(shortTask)
		w.end(first)
		w.end(second)
	}
}

// TestALongTaskLeavesRoomForUsualShortOnes starts long tasks until they are rejected.
func TestALongTaskLeavesRoomForUsualShortOnes(t *testing.T) {
	for _, test := range []struct {
		isShared bool
		want     int
	}{{true, 6}, {false, 8}} {
		w := newSharedWorker(t, test.isShared)
		w.useUsually()
		w.makeScarce()
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

// TestAReservationThatLeavesRoomHoldsUpNobody asks what entries are told while a long task waits though there is room for short ones.
func TestAReservationThatLeavesRoomHoldsUpNobody(t *testing.T) {
	w := newSharedWorker(t, true)
	w.useUsually()
	w.makeScarce()
	for range 6 {
		w.start(2, "long", longTask)
	}
	w.effects = nil
	w.reserve(2, "waits", "long", longTask)
	load := w.runner.currentLoad(w.now)
	if len(w.offeredTo()) > 0 || load.HasReservations || len(load.Headroom) == 0 || load.Headroom[0].CPU != 2*taskCPU {
		t.Errorf("got offers to %v and the load %+v, want none, and 2 cores that long tasks leave free", w.offeredTo(), load)
	}
}

// TestWhoUsedLessThanItsShareIsOfferedFirst lets one availability zone take all of the worker. What becomes free is offered to the other one,
// although the first has a job that has begun.
func TestWhoUsedLessThanItsShareIsOfferedFirst(t *testing.T) {
	for _, test := range []struct {
		isShared bool
		want     []string
	}{{true, []string{"steady"}}, {false, []string{"begun"}}} {
		w := newSharedWorker(t, test.isShared)
		var running []string
		for range 8 {
			running = append(running, w.start(1, "kind", shortTask))
		}
		w.pass(time.Second)
		w.effects = nil
		w.handle(ReservationRequested{Session: 1, Reservation: Reservation{
			Job: "begun", Needs: worker.Resources{CPU: taskCPU}, Count: 1, Kind: "kind", Estimate: shortTask,
			Urgency: Urgency{HasStarted: true, StartBy: w.now.Add(time.Second)},
		}})
		w.reserve(2, "steady", "kind", shortTask)
		w.end(running[0])
		w.handle(Ticked{})
		if got := w.offeredTo(); !slices.Equal(got, test.want) {
			t.Errorf("shares %t: offers go to %v, want %v", test.isShared, got, test.want)
		}
	}
}

// TestOffersThatAreDroppedAreNotCharged lets one availability zone wait for offers, which are dropped as the worker is ejected or starts again
// before they are used. Both zones have used nothing then, so the one that asks first is offered first.
func TestOffersThatAreDroppedAreNotCharged(t *testing.T) {
	for _, hasOffers := range []bool{false, true} {
		w := newSharedWorker(t, true)
		w.reserve(2, "other", "kind", shortTask)
		w.handle(OfferAnswered{Session: 2, Offer: w.runner.lastOffer})
		for i := 0; hasOffers && i < 8; i++ {
			w.reserve(1, fmt.Sprint("dropped-", i), "kind", longTask)
		}
		w.runner.dropAllReservations()
		w.pass(20 * time.Millisecond)
		w.makeScarce()
		if !w.runner.sharing.accounts.IsBelow(w.now, w.runner.sessions[1].competitor("kind")) {
			t.Errorf("offers were dropped %t: the zone has used more than its share", hasOffers)
		}
	}
}

// TestAnOfferIsTakenBackAsItWasCharged makes an offer of a long task, and changes the reservation that led to it before the answer.
func TestAnOfferIsTakenBackAsItWasCharged(t *testing.T) {
	w := newSharedWorker(t, true)
	reservation := Reservation{Job: "j", Needs: worker.Resources{CPU: taskCPU}, Count: 9, Kind: "kind", Estimate: longTask, Urgency: w.urgency(longTask)}
	w.handle(ReservationRequested{Session: 1, Reservation: reservation})
	reservation.Estimate = shortTask
	w.handle(ReservationRequested{Session: 1, Reservation: reservation})
	w.handle(ReservationRequested{Session: 1, Reservation: Reservation{Job: "j"}})
	w.handle(OfferAnswered{Session: 1, Offer: w.runner.lastOffer})
	w.pass(20 * time.Millisecond)
	w.makeScarce()
	if !w.runner.sharing.accounts.IsBelow(w.now, w.runner.sessions[1].competitor("kind")) {
		t.Error("the zone used nothing, and is charged for more than its share")
	}
}

// TestAReservationCompetesAsItsLatestKind lets a job be submitted again as one of another kind.
func TestAReservationCompetesAsItsLatestKind(t *testing.T) {
	w := newSharedWorker(t, true)
	for range 8 {
		w.start(1, "busy", longTask)
	}
	w.reserve(1, "j", "earlier", shortTask)
	w.reserve(1, "j", "later", shortTask)
	if got, want := w.runner.waitingCompetitors(), w.runner.sessions[1].competitor("later"); len(got) != 1 || got[0] != want {
		t.Errorf("%v wait, want %v", got, want)
	}
}

// TestARunThatEndsWithItsWorkerIsChargedForWhatItTook lets a worker end under long tasks that were started just before. Their zone may use a
// share of the next one at once.
func TestARunThatEndsWithItsWorkerIsChargedForWhatItTook(t *testing.T) {
	for _, tellsStart := range []bool{false, true} {
		w := newSharedWorker(t, true)
		if tellsStart {
			w.runner.worker.record.StartedMillis = 1
		}
		for range 8 {
			w.start(1, "kind", time.Minute)
		}
		w.pass(20 * time.Millisecond)
		w.handle(RenewAnswered{Incarnation: w.runner.worker.record.Incarnation(), Sent: w.now, Result: worker.NotReached{}})
		if w.runner.worker != nil {
			t.Fatal("the worker has not ended")
		}
		if account := w.runner.sharing.accounts; !account.IsBelow(w.now.Add(2*time.Second), w.runner.sessions[1].competitor("kind")) {
			t.Errorf("the start of the worker is told: %t: the zone is charged for more than its runs took", tellsStart)
		}
	}
}

// TestKindsThatUseNothingAreForgotten runs tasks of many kinds, one after the other.
func TestKindsThatUseNothingAreForgotten(t *testing.T) {
	w := newSharedWorker(t, true)
	for i := range 20 {
		w.end(w.start(1, fmt.Sprint("kind-", i), shortTask))
	}
	if kept := len(w.runner.worker.usedByKind); kept > 0 {
		t.Errorf("the use of %d kinds is kept, of which no task is active", kept)
	}
}

// BenchmarkOffer is the cost of an offer and its answer while 100 jobs of three kinds in three availability zones wait.
func BenchmarkOffer(b *testing.B) {
	for _, isShared := range []bool{false, true} {
		b.Run(fmt.Sprintf("shares=%t", isShared), func(b *testing.B) {
			limits := DefaultLimits(time.Second, 50*time.Millisecond)
			limits.NoShares = !isShared
			now := time.Unix(1_000_000, 0)
			r := New(limits, 1)
			r.Handle(now, HeartbeatReceived{Record: worker.Record{ID: "w", Service: "svc", Capacity: worker.Resources{CPU: 8 * taskCPU}, Sequence: 1, Clock: time.Hour}})
			r.worker.isSurveyed = true
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
