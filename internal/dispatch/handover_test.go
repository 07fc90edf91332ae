// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

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
	c.handle(Submitted{Job: handOverJob("first"), Waiter: 1})
	return c
}

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
	c.expect(HandOver{Job: handOverJob("second")})
}

func TestAJobOverTheLimitIsHandedOverAndAnswered(t *testing.T) {
	c := newHandOverCase(t)
	c.handOver(2)
	c.handle(Submitted{Job: handOverJob("second"), Waiter: 3})
	c.expect()
	c.handle(HandOverTaken{Job: "second", Entry: "entry-2"}, HandOverEnded{Job: "second", Result: HandOverAnswered{Answer: Completed{}}})
	c.expect(Reply{Waiters: []Waiter{2, 3}, Answer: Completed{}})
	c.handle(HandOverEnded{Job: "second", Result: HandOverAnswered{Answer: Failed{}}})
	c.expect()
}

func TestAJobOfALostEntryIsInterrupted(t *testing.T) {
	c := newHandOverCase(t)
	c.handOver(2)
	c.handle(HandOverEnded{Job: "second", Result: HandOverLost{Reason: "lost"}})
	c.expect(Reply{Waiters: []Waiter{2}, Answer: Interrupted{Reason: "lost"}})
}

func TestAJobThatNoEntryTakesIsRefusedWhileThereIsNoRoomHere(t *testing.T) {
	c := newHandOverCase(t)
	c.handOver(2)
	c.handle(HandOverEnded{Job: "second", Result: HandOverRefused{Reason: "full"}})
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
	c.handle(HandOverEnded{Job: "second", Result: HandOverRefused{Reason: "full"}})
	c.expect()
	c.handle(StateRequested{Job: "second", Waiter: 4})
	c.expect(StateReply{Waiter: 4, State: JobWaiting})
}

func TestAJobIsHandedOverOnce(t *testing.T) {
	c := newHandOverCase(t)
	job := handOverJob("second")
	job.IsHandedOver = true
	c.handle(Submitted{Job: job, Waiter: 2})
	reply, ok := c.effects[0].(Reply)
	answer, isNotRun := reply.Answer.(NotRun)
	if !ok || !isNotRun || !answer.IsElsewhere {
		t.Fatalf("got %+v, want a refusal for the entry's own sake", c.effects)
	}
}

func TestAJobIsWithdrawnWithItsLastCaller(t *testing.T) {
	c := newHandOverCase(t)
	c.handOver(2)
	c.handle(Submitted{Job: handOverJob("second"), Waiter: 3})
	c.handle(CallerLeft{Job: "second", Waiter: 2})
	c.expect()
	c.handle(CallerLeft{Job: "second", Waiter: 3})
	c.expect(WithdrawHandOver{Job: "second"})
}

func TestAJobThatWasHandedOverCanBeCancelled(t *testing.T) {
	c := newHandOverCase(t)
	c.handOver(2)
	c.handle(CancelRequested{Job: "second", Waiter: 5})
	c.expect(
		Reply{Waiters: []Waiter{2}, Answer: Interrupted{Reason: "the job was cancelled"}}, WithdrawHandOver{Job: "second"},
		CancelReply{Waiter: 5, Known: true},
	)
}

func TestAJobThatWasHandedOverEndsWithItsCallersTime(t *testing.T) {
	c := newHandOverCase(t)
	c.handOver(2)
	c.handle(CallerLeft{Job: "first", Waiter: 1})
	c.now = c.now.Add(2100 * time.Millisecond)
	c.handle(Ticked{})
	c.expect(Reply{Waiters: []Waiter{2}, Answer: Interrupted{Reason: "the job's time is over"}}, WithdrawHandOver{Job: "second"})
}

// otherEntry is the entry to which a random schedule hands jobs over.
type otherEntry struct {
	schedule *schedule
	// due has when it reports on each job again, and taken is set once it has taken the job.
	due   map[string]time.Time
	taken map[string]bool
}

func newOtherEntry(s *schedule) *otherEntry {
	return &otherEntry{schedule: s, due: make(map[string]time.Time), taken: make(map[string]bool)}
}

// take takes a job. It fails if the job is there already, or was handed over before.
func (o *otherEntry) take(job Job) {
	if o.has(job.ID) || job.IsHandedOver {
		o.schedule.t.Fatalf("job %s was handed over twice", job.ID)
	}
	o.due[job.ID] = o.schedule.now.Add(o.schedule.millis(1, 300))
}

// has reports whether the entry has a job.
func (o *otherEntry) has(job string) bool {
	_, ok := o.due[job]
	return ok
}

// withdraw forgets a job.
func (o *otherEntry) withdraw(job string) {
	delete(o.due, job)
	delete(o.taken, job)
}

// act reports on the jobs that are due.
func (o *otherEntry) act() {
	s := o.schedule
	for _, id := range slices.Sorted(maps.Keys(o.due)) {
		switch {
		case s.now.Before(o.due[id]):
		case !o.taken[id] && s.chance(0.3):
			o.end(id, HandOverRefused{Reason: "refused"})
		case !o.taken[id]:
			o.taken[id] = true
			o.due[id] = s.now.Add(s.millis(1, 400))
			s.handle(HandOverTaken{Job: id, Entry: "other"})
		case s.chance(0.1):
			o.end(id, HandOverLost{Reason: "lost"})
		case s.chance(0.1):
			o.end(id, HandOverAnswered{Answer: NotRun{Reason: "no room", RetryAfter: time.Second}})
		default:
			o.end(id, HandOverAnswered{Answer: Completed{}})
		}
	}
}

func (o *otherEntry) end(id string, result HandOverResult) {
	o.withdraw(id)
	o.schedule.handle(HandOverEnded{Job: id, Result: result})
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
