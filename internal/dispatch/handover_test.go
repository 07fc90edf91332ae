// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"sailhead/internal/evacuation"
	"sailhead/internal/runner"
	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

// handOverCase is a dispatcher that may have one job under way and hands further ones over.
type handOverCase struct {
	t          *testing.T
	now        time.Time
	dispatcher *Dispatcher
	effects    []Effect
}

func newHandOverCase(t *testing.T) *handOverCase {
	limits := Limits{Jobs: 1, HandOver: true}
	c := &handOverCase{t: t, now: time.Unix(1_000_000, 0), dispatcher: New(limits, rand.New(rand.NewPCG(1, 2)))}
	c.occupy()
	return c
}

// occupy submits the one job that may be under way.
func (c *handOverCase) occupy() { c.handle(Submitted{Job: handOverJob("first"), Waiter: 1}) }

func handOverJob(id string) Job {
	return Job{
		ID: id, RemainingTime: 2 * time.Second, Kind: Kind{Name: "kind", Service: "service", Attempts: 1, Stretch: 1.6, Target: 60 * time.Millisecond},
		Steps: []Step{{Count: 1, Needs: worker.Resources{CPU: 1000}, Expected: time.Second}},
	}
}

func (c *handOverCase) handle(events ...Event) {
	c.effects = nil
	for _, effect := range c.dispatcher.Handle(c.now, events...) {
		if _, isDecision := effect.(DecisionMade); !isDecision {
			c.effects = append(c.effects, effect)
		}
	}
}

// expect fails unless the last events led to the effects.
func (c *handOverCase) expect(effects ...Effect) {
	c.t.Helper()
	if len(c.effects) != len(effects) || len(effects) > 0 && !reflect.DeepEqual(c.effects, effects) {
		c.t.Fatalf("got %+v, want %+v", c.effects, effects)
	}
}

// handOver hands a second job over for a waiter.
func (c *handOverCase) handOver(waiter Waiter) {
	c.t.Helper()
	c.handle(Submitted{Job: handOverJob("second"), Waiter: waiter})
	c.expect(HandOver{Job: handOverJob("second"), Number: c.dispatcher.lastHandOver})
}

func TestAJobOverTheLimitIsHandedOverAndAnswered(t *testing.T) {
	c := newHandOverCase(t)
	c.handOver(2)
	c.handle(Submitted{Job: handOverJob("second"), Waiter: 3})
	c.expect()
	c.handle(HandOverTaken{Job: "second", Number: 1, Entry: "entry-2"}, HandOverEnded{Job: "second", Number: 1, Result: HandOverAnswered{Answer: Completed{}}})
	c.expect(Reply{Waiters: []Waiter{2, 3}, Answer: Completed{}})
	c.handle(HandOverEnded{Job: "second", Number: 1, Result: HandOverAnswered{Answer: Failed{}}})
	c.expect()
}

// pass lets time pass.
func (c *handOverCase) pass(d time.Duration) {
	c.now = c.now.Add(d)
	c.handle(Ticked{})
}

// TestAJobThatComesAgainWaitsForItsRunsElsewhere ends hand-overs of which the other entry may have started runs. The job comes again at once.
func TestAJobThatComesAgainWaitsForItsRunsElsewhere(t *testing.T) {
	for name, end := range map[string]Event{
		"withdrawn":   CallerLeft{Job: "second", Waiter: 2},
		"cancelled":   CancelRequested{Job: "second", Waiter: 9},
		"lost":        HandOverEnded{Job: "second", Number: 1, Result: HandOverLost{Reason: "lost"}},
		"failed":      HandOverEnded{Job: "second", Number: 1, Result: HandOverAnswered{Answer: Failed{Reason: "x"}}},
		"interrupted": HandOverEnded{Job: "second", Number: 1, Result: HandOverAnswered{Answer: Interrupted{Reason: "x"}}},
	} {
		c := newHandOverCase(t)
		c.withWorker(2)
		c.handOver(2)
		c.handle(end)
		c.handle(CallerLeft{Job: "first", Waiter: 1})
		again := handOverJob("second")
		again.Kind.Target = 10 * time.Second
		c.handle(Submitted{Job: again, Waiter: 3})
		c.expect()
		c.pass(timing.RerunDelay - time.Millisecond)
		c.expect()
		c.pass(2 * time.Millisecond)
		if !hasStart(c.effects) {
			t.Errorf("%s: got %+v, want a start", name, c.effects)
		}
	}
}

// TestAJobThatComesAgainIsNotHandedOverAgainWhileItMayRunElsewhere submits a job for which there is no room here.
func TestAJobThatComesAgainIsNotHandedOverAgainWhileItMayRunElsewhere(t *testing.T) {
	c := newHandOverCase(t)
	c.handOver(2)
	c.handle(CallerLeft{Job: "second", Waiter: 2})
	c.handle(Submitted{Job: handOverJob("second"), Waiter: 3})
	c.expectRefusal(3)
	c.pass(timing.RerunDelay)
	c.occupy()
	c.handOver(4)
}

// TestADurableJobOfTheSameIDReplacesOneThatWasHandedOver accepts a durable job while the other entry may run one of the same ID.
func TestADurableJobOfTheSameIDReplacesOneThatWasHandedOver(t *testing.T) {
	c := newHandOverCase(t)
	c.handOver(2)
	c.handle(DurableAccepted{Job: handOverJob("second")})
	c.expect(Reply{Waiters: []Waiter{2}, Answer: Interrupted{Reason: "the job is kept from now on"}}, WithdrawHandOver{Job: "second", Number: 1})
	c.handle(HandOverEnded{Job: "second", Number: 1, Result: HandOverAnswered{Answer: Completed{}}})
	c.expect()
	c.withWorker(2)
	c.handle(CallerLeft{Job: "first", Waiter: 1})
	c.handle(Ticked{})
	for _, effect := range c.effects {
		if start, ok := effect.(StartTask); ok && start.Task.IsDurable {
			t.Fatalf("got %+v while the job may run elsewhere", start)
		}
	}
	c.pass(timing.RerunDelay)
	if start, ok := c.effects[len(c.effects)-1].(StartTask); !ok || !start.Task.IsDurable {
		t.Errorf("got %+v, want a start of the durable job", c.effects)
	}
}

// TestWhatComesOfAnEarlierHandOverIsIgnored withdraws a job whose result is on its way, and hands it over again.
func TestWhatComesOfAnEarlierHandOverIsIgnored(t *testing.T) {
	for _, late := range []Event{
		HandOverTaken{Job: "second", Number: 1, Entry: "entry-2"},
		HandOverEnded{Job: "second", Number: 1, Result: HandOverAnswered{Answer: NotRun{Reason: "no room"}}},
		HandOverEnded{Job: "second", Number: 1, Result: HandOverAnswered{Answer: Completed{}}},
		HandOverEnded{Job: "second", Number: 1, Result: HandOverRefused{Reason: "late"}},
		HandOverEnded{Job: "second", Number: 1, Result: HandOverLost{Reason: "lost"}},
	} {
		c := newHandOverCase(t)
		c.handOver(2)
		c.handle(CallerLeft{Job: "second", Waiter: 2})
		c.pass(timing.RerunDelay)
		c.occupy()
		c.handOver(3)
		c.handle(late)
		c.expect()
		if on := c.dispatcher.handOversInTransit(); on != 1 {
			t.Errorf("%+v: %d hand-overs are on their way, want 1", late, on)
		}
		c.handle(HandOverEnded{Job: "second", Number: 2, Result: HandOverAnswered{Answer: Completed{}}})
		c.expect(Reply{Waiters: []Waiter{3}, Answer: Completed{}})
	}
}

func TestAJobOfALostEntryIsInterrupted(t *testing.T) {
	c := newHandOverCase(t)
	c.handOver(2)
	c.handle(HandOverEnded{Job: "second", Number: 1, Result: HandOverLost{Reason: "lost"}})
	c.expect(Reply{Waiters: []Waiter{2}, Answer: Interrupted{Reason: "lost"}})
}

// TestAJobThatIsRefusedElsewhereIsHandedOverToAnotherEntry lets two entries in succession refuse a job for their own sake. What comes late of the
// first hand-over is ignored.
func TestAJobThatIsRefusedElsewhereIsHandedOverToAnotherEntry(t *testing.T) {
	c := newHandOverCase(t)
	c.handOver(2)
	first := HandOverEnded{Job: "second", Number: 1, Result: HandOverRefused{Reason: "full"}}
	c.handle(HandOverTaken{Job: "second", Number: 1, Entry: "entry-2"}, first)
	c.expect(HandOver{Job: handOverJob("second"), Number: 2})
	if on := c.dispatcher.handOversInTransit(); on != 1 {
		t.Errorf("%d hand-overs are on their way, want 1", on)
	}
	c.handle(first)
	c.expect()
	c.handle(HandOverEnded{Job: "second", Number: 2, Result: HandOverRefused{Reason: "full"}})
	c.expectRefusal(2)
}

func TestAJobThatNoEntryTakesIsRefusedWhileThereIsNoRoomHere(t *testing.T) {
	c := newHandOverCase(t)
	c.handOver(2)
	c.handle(HandOverEnded{Job: "second", Number: 1, Result: HandOverNotSent{Reason: "no other entry takes jobs"}})
	reply, ok := c.effects[0].(Reply)
	answer, isNotRun := reply.Answer.(NotRun)
	if !ok || !isNotRun || answer.RetryAfter < RetryAfter || len(c.effects) != 1 {
		t.Fatalf("got %+v, want a refusal with a time to retry", c.effects)
	}
}

func TestAJobThatNoEntryTakesIsAcceptedOnceThereIsRoomHere(t *testing.T) {
	c := newHandOverCase(t)
	c.handOver(2)
	c.handle(CallerLeft{Job: "first", Waiter: 1})
	c.handle(HandOverEnded{Job: "second", Number: 1, Result: HandOverRefused{Reason: "full"}})
	c.expect()
	c.handle(StateRequested{Job: "second", Waiter: 4})
	c.expect(StateReply{Waiter: 4, State: JobWaiting})
}

// TestAJobOfAnotherEntryIsNotHandedOver submits a job of another entry for which there is no room here.
func TestAJobOfAnotherEntryIsNotHandedOver(t *testing.T) {
	c := newHandOverCase(t)
	job := handOverJob("second")
	job.IsHandedOver = true
	c.handle(Submitted{Job: job, Waiter: 2})
	reply, ok := c.effects[0].(Reply)
	answer, isNotRun := reply.Answer.(NotRun)
	if !ok || !isNotRun || !answer.IsLocal {
		t.Fatalf("got %+v, want a refusal for the entry's own sake", c.effects)
	}
}

// TestAnEntryIsFullWithAJobThatItHandedOver submits jobs of another entry while the one that this entry may have is elsewhere: a new one, and that
// one itself, which would wait for itself. After it has ended they are taken.
func TestAnEntryIsFullWithAJobThatItHandedOver(t *testing.T) {
	c := newHandOverCase(t)
	c.handOver(2)
	c.handle(CallerLeft{Job: "first", Waiter: 1})
	c.handle(Submitted{Job: handedOverJob("third"), Waiter: 3})
	c.expectRefusal(3)
	c.handle(Submitted{Job: handedOverJob("second"), Waiter: 4})
	c.expectRefusal(4)
	c.handle(HandOverEnded{Job: "second", Number: 1, Result: HandOverAnswered{Answer: Completed{}}})
	c.expect(Reply{Waiters: []Waiter{2}, Answer: Completed{}})
	c.handle(Submitted{Job: handedOverJob("third"), Waiter: 5})
	c.expect()
}

// newRoomyCase returns a dispatcher that may have many jobs under way and hands jobs over.
func newRoomyCase(t *testing.T) *handOverCase {
	limits := Limits{Jobs: 100, HandOver: true}
	return &handOverCase{t: t, now: time.Unix(1_000_000, 0), dispatcher: New(limits, rand.New(rand.NewPCG(1, 2)))}
}

// passWindows lets windows pass in which each start is counted after some time.
func (c *handOverCase) passWindows(windows int, took time.Duration) {
	for range windows {
		c.now = c.now.Add(congestionWindow)
		for range minCounted {
			c.dispatcher.congestion.startCounted(c.now, c.now.Add(-took))
		}
	}
}

// TestAnEntryThatWasLateForAMomentTakesJobsOfOthers lets starts be late in some windows. Only an entry that hands over most of its own jobs refuses
// those of others.
func TestAnEntryThatWasLateForAMomentTakesJobsOfOthers(t *testing.T) {
	for _, test := range []struct {
		late, inTime int
		isRefused    bool
	}{{0, 0, false}, {1, 0, false}, {3, 0, false}, {20, 0, true}, {20, 1, true}, {20, 40, false}} {
		t.Run(fmt.Sprintf("%d late and %d in time", test.late, test.inTime), func(t *testing.T) {
			c := newRoomyCase(t)
			c.passWindows(test.late, handOverThreshold+time.Millisecond)
			c.passWindows(test.inTime, time.Millisecond)
			c.handle(Submitted{Job: handedOverJob("theirs"), Waiter: 1})
			if test.isRefused {
				c.expectRefusal(1)
			} else {
				c.expect()
			}
		})
	}
}

// TestAnEntryWithRoomTakesJobsOfOthersWhileItsOwnAreElsewhere hands a job over while the entry is late. Once it is in time again it takes jobs of
// others, but not the one that would wait for itself.
func TestAnEntryWithRoomTakesJobsOfOthersWhileItsOwnAreElsewhere(t *testing.T) {
	c := newRoomyCase(t)
	c.passWindows(20, handOverThreshold+time.Millisecond)
	c.handle(Submitted{Job: handOverJob("own"), Waiter: 1})
	c.expect(HandOver{Job: handOverJob("own"), Number: 1})
	c.passWindows(50, time.Millisecond)
	c.handle(Submitted{Job: handedOverJob("own"), Waiter: 2})
	c.expectRefusal(2)
	c.handle(Submitted{Job: handedOverJob("theirs"), Waiter: 3})
	c.expect()
}

func TestAJobIsWithdrawnWithItsLastCaller(t *testing.T) {
	c := newHandOverCase(t)
	c.handOver(2)
	c.handle(Submitted{Job: handOverJob("second"), Waiter: 3})
	c.handle(CallerLeft{Job: "second", Waiter: 2})
	c.expect()
	c.handle(CallerLeft{Job: "second", Waiter: 3})
	c.expect(WithdrawHandOver{Job: "second", Number: 1})
}

func TestAJobThatWasHandedOverCanBeCancelled(t *testing.T) {
	c := newHandOverCase(t)
	c.handOver(2)
	c.handle(CancelRequested{Job: "second", Waiter: 5})
	c.expect(
		Reply{Waiters: []Waiter{2}, Answer: Interrupted{Reason: "the job was cancelled"}}, WithdrawHandOver{Job: "second", Number: 1},
		CancelReply{Waiter: 5, Known: true},
	)
}

func TestAJobThatWasHandedOverEndsWithItsCallersTime(t *testing.T) {
	c := newHandOverCase(t)
	c.handOver(2)
	c.handle(CallerLeft{Job: "first", Waiter: 1})
	c.now = c.now.Add(2100 * time.Millisecond)
	c.handle(Ticked{})
	c.expect(Reply{Waiters: []Waiter{2}, Answer: Interrupted{Reason: "the job's time is over"}}, WithdrawHandOver{Job: "second", Number: 1})
}

// handedOverJob is a job that another entry hands over.
func handedOverJob(id string) Job {
	job := handOverJob(id)
	job.IsHandedOver = true
	return job
}

// expectRefusal fails unless the last events led to a refusal for the entry's own sake, and no other effect.
func (c *handOverCase) expectRefusal(waiters ...Waiter) {
	c.t.Helper()
	if len(c.effects) != 1 {
		c.t.Fatalf("got %+v, want a refusal", c.effects)
	}
	reply, _ := c.effects[0].(Reply)
	answer, isNotRun := reply.Answer.(NotRun)
	if !isNotRun || !answer.IsLocal || !slices.Equal(reply.Waiters, waiters) {
		c.t.Fatalf("got %+v, want a refusal for the entry's own sake", c.effects)
	}
}

// withWorker opens a session with an agent whose worker has room for some tasks.
func (c *handOverCase) withWorker(tasks int) {
	record := worker.Record{ID: "w", Service: "service", Capacity: worker.Resources{CPU: 1000 * tasks}}
	c.handle(AgentUp{Agent: "a"}, WorkerDescribed{Agent: "a", Record: record}, LoadReceived{Agent: "a", Load: runner.Load{Accepts: true, Slowness: 1}})
}

// TestAnEntryThatStopsHandsBackWhatHasNotBegun stops an entry that runs one job of another entry while a second one waits there. The first is
// answered, and the second refused at once.
func TestAnEntryThatStopsHandsBackWhatHasNotBegun(t *testing.T) {
	c := &handOverCase{t: t, now: time.Unix(1_000_000, 0), dispatcher: New(Limits{Jobs: 10}, rand.New(rand.NewPCG(1, 2)))}
	c.withWorker(1)
	c.handle(Submitted{Job: handedOverJob("begun"), Waiter: 1})
	if !hasStart(c.effects) {
		t.Fatalf("got %+v, want a start", c.effects)
	}
	c.handle(Submitted{Job: handOverJob("own"), Waiter: 2})
	c.handle(Submitted{Job: handedOverJob("waiting"), Waiter: 3})
	c.handle(ShutdownRequested{Until: c.now.Add(10 * time.Second)})
	c.effects = slices.DeleteFunc(c.effects, func(e Effect) bool {
		_, isReservation := e.(Reserve)
		return isReservation
	})
	c.expectRefusal(3)
	c.handle(Submitted{Job: handedOverJob("later"), Waiter: 4})
	c.expectRefusal(4)
	c.handle(RunUpdated{Agent: "a", Update: runner.Update{Name: TaskName("begun", 0, 0), Run: 1, Outcome: runner.OutcomeDone}})
	if reply, ok := c.effects[0].(Reply); !ok || !reflect.DeepEqual(reply, Reply{Waiters: []Waiter{1}, Answer: Completed{}}) {
		t.Errorf("got %+v, want the answer of the job that had begun", c.effects)
	}
}

// TestAJobWithoutADeadlineThatWasHandedOverEnds hands a job over whose caller does not say how long it waits. The other entry never answers.
func TestAJobWithoutADeadlineThatWasHandedOverEnds(t *testing.T) {
	c := newHandOverCase(t)
	job := handOverJob("second")
	job.RemainingTime = 0
	c.handle(Submitted{Job: job, Waiter: 2})
	c.handle(HandOverTaken{Job: "second", Number: 1, Entry: "entry-2"}, CallerLeft{Job: "first", Waiter: 1})
	useless := time.Duration(uselessFactor * float64(1660*time.Millisecond))
	c.pass(useless - time.Millisecond)
	c.expect()
	c.pass(2 * time.Millisecond)
	c.expect(Reply{Waiters: []Waiter{2}, Answer: Interrupted{Reason: "the job's time is over"}}, WithdrawHandOver{Job: "second", Number: 1})
}

// evacuateWorker evacuates the availability zone of the worker of withWorker.
func (c *handOverCase) evacuateWorker() {
	c.handle(EvacuationsChanged{State: evacuation.New(0, []evacuation.Change{{Zone: "", Revision: 1, IsEvacuated: true}})})
}

// TestAnEvacuationHandsBackWhatHasNotBegun evacuates the zone of all workers that an entry knows, while a job of its own and one of another entry
// wait. The other entry may know further workers.
func TestAnEvacuationHandsBackWhatHasNotBegun(t *testing.T) {
	c := &handOverCase{t: t, now: time.Unix(1_000_000, 0), dispatcher: New(Limits{Jobs: 10}, rand.New(rand.NewPCG(1, 2)))}
	c.withWorker(1)
	c.handle(Submitted{Job: handOverJob("begun"), Waiter: 1}, Submitted{Job: handOverJob("own"), Waiter: 2}, Submitted{Job: handedOverJob("theirs"), Waiter: 3})
	c.evacuateWorker()
	refused := make(map[Waiter]bool)
	for _, effect := range c.effects {
		if reply, ok := effect.(Reply); ok {
			refused[reply.Waiters[0]] = reply.Answer.(NotRun).IsLocal
		}
	}
	if want := map[Waiter]bool{2: false, 3: true}; !maps.Equal(refused, want) {
		t.Errorf("refused, for the entry's own sake or not: %v, want %v", refused, want)
	}
	c.handle(Submitted{Job: handedOverJob("later"), Waiter: 4})
	c.expectRefusal(4)
}

// TestAJobThatComesBackIsRefusedWhileAllWorkersAreEvacuated hands a job over before the evacuation.
func TestAJobThatComesBackIsRefusedWhileAllWorkersAreEvacuated(t *testing.T) {
	c := newHandOverCase(t)
	c.withWorker(2)
	c.handOver(2)
	c.handle(CallerLeft{Job: "first", Waiter: 1})
	c.evacuateWorker()
	c.handle(HandOverEnded{Job: "second", Number: 1, Result: HandOverRefused{Reason: "evacuated"}})
	if len(c.effects) != 1 {
		t.Fatalf("got %+v, want a refusal", c.effects)
	}
	reply, _ := c.effects[0].(Reply)
	if answer, isNotRun := reply.Answer.(NotRun); !isNotRun || answer.IsLocal {
		t.Errorf("got %+v, want a refusal", reply)
	}
}

// otherEntry is the entry to which a random schedule hands jobs over.
type otherEntry struct {
	schedule *schedule
	// due has when it reports on each job again, numbers those of the hand-overs, and taken is set once it has taken the job.
	due     map[string]time.Time
	numbers map[string]uint64
	jobs    map[string]Job
	taken   map[string]bool
	// lastLeft is the job that was withdrawn, lost or interrupted last, so that its runs may continue.
	lastLeft string
	// ended are the results of earlier hand-overs, which may be reported again.
	ended []HandOverEnded
}

func newOtherEntry(s *schedule) *otherEntry {
	return &otherEntry{schedule: s, due: make(map[string]time.Time), numbers: make(map[string]uint64), jobs: make(map[string]Job), taken: make(map[string]bool)}
}

// take takes a job. It fails if the job is there already, or was handed over before.
func (o *otherEntry) take(job Job, number uint64) {
	if o.has(job.ID) || job.IsHandedOver {
		o.schedule.t.Fatalf("job %s was handed over twice", job.ID)
	}
	for _, name := range taskNames(job) {
		if until, ok := o.schedule.ghosts[name]; ok && o.schedule.now.Before(until) {
			o.schedule.t.Fatalf("job %s was handed over although a run may continue for %s", job.ID, until.Sub(o.schedule.now))
		}
	}
	o.numbers[job.ID], o.jobs[job.ID] = number, job
	o.due[job.ID] = o.schedule.now.Add(o.schedule.millis(1, 300))
}

// taskNames returns the names of a job's tasks.
func taskNames(job Job) []string {
	var names []string
	for i, step := range job.Steps {
		for k := range step.Count {
			names = append(names, TaskName(job.ID, i, k))
		}
	}
	return names
}

// has reports whether the entry has a job.
func (o *otherEntry) has(job string) bool {
	_, ok := o.due[job]
	return ok
}

// withdraw forgets a job. Its answer may be on its way already.
func (o *otherEntry) withdraw(job string) {
	if number, ok := o.numbers[job]; ok {
		o.ended = append(o.ended, HandOverEnded{Job: job, Number: number, Result: HandOverAnswered{Answer: NotRun{Reason: "late"}}})
		o.leaveRuns(job)
	}
	o.forget(job)
}

// leaveRuns lets the runs of a job continue after its end.
func (o *otherEntry) leaveRuns(job string) {
	o.lastLeft = job
	for _, name := range taskNames(o.jobs[job]) {
		o.schedule.ghosts[name] = o.schedule.now.Add(timing.RerunDelay - time.Millisecond)
	}
}

func (o *otherEntry) forget(job string) {
	delete(o.jobs, job)
	delete(o.due, job)
	delete(o.numbers, job)
	delete(o.taken, job)
}

// act reports on the jobs that are due, and on earlier ones again.
func (o *otherEntry) act() {
	s := o.schedule
	if len(o.ended) > 0 && s.chance(0.1) {
		s.handle(o.ended[s.random.IntN(len(o.ended))])
	}
	for _, id := range slices.Sorted(maps.Keys(o.due)) {
		switch {
		case s.now.Before(o.due[id]):
		case !o.taken[id] && s.chance(0.3):
			o.end(id, HandOverRefused{Reason: "refused"})
		case !o.taken[id] && s.chance(0.1):
			o.end(id, HandOverNotSent{Reason: "not sent"})
		case !o.taken[id]:
			o.taken[id] = true
			o.due[id] = s.now.Add(s.millis(1, 400))
			s.handle(HandOverTaken{Job: id, Number: o.numbers[id], Entry: "other"})
		case s.chance(0.1):
			o.end(id, HandOverLost{Reason: "lost"})
		case s.chance(0.1):
			o.end(id, HandOverAnswered{Answer: Interrupted{}})
		case s.chance(0.1):
			o.end(id, HandOverAnswered{Answer: NotRun{Reason: "no room", RetryAfter: time.Second}})
		default:
			o.end(id, HandOverAnswered{Answer: Completed{}})
		}
	}
}

func (o *otherEntry) end(id string, result HandOverResult) {
	ended := HandOverEnded{Job: id, Number: o.numbers[id], Result: result}
	if _, isLost := result.(HandOverLost); isLost || result == (HandOverAnswered{Answer: Interrupted{}}) {
		o.leaveRuns(id)
	}
	o.forget(id)
	o.schedule.handle(ended)
	o.ended = append(o.ended, ended)
}

func TestRandomSchedulesWithHandOversRunAJobAtOneEntry(t *testing.T) {
	for seed := *first; seed < *first+uint64(*schedules); seed++ {
		s := newSchedule(t, seed)
		s.dispatcher = New(Limits{Jobs: 4, HandOver: true}, s.random)
		s.other = newOtherEntry(s)
		s.run(6*time.Second, true)
		s.run(4*time.Second, false)
		if len(s.waiting) > 0 {
			t.Fatalf("seed %d: %d callers were not answered", seed, len(s.waiting))
		}
		if jobs, waiting, _ := s.dispatcher.Counts(); jobs > 0 || waiting > 0 || len(s.other.due) > 0 {
			t.Fatalf("seed %d: %d jobs are under way at the end, %d of them waiting, %d at the other entry", seed, jobs, waiting, len(s.other.due))
		}
	}
}
