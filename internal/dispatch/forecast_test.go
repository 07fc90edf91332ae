// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/shares"
	"sailhead/internal/worker"
)

// crowded is a dispatcher with full workers, at which jobs of one kind wait and some of their tasks were placed by offers.
type crowded struct {
	*Dispatcher
	now  time.Time
	last int
}

// crowdedKind is a kind of which a job may wait for some 100 ms.
var crowdedKind = Kind{Name: "kind", Service: "svc", Stretch: 1.6, Target: 60 * time.Millisecond}

var crowdedNeeds = worker.Resources{CPU: 3100}

// newCrowded lets jobs wait for a while, of which one is placed every 20 ms.
func newCrowded(limits Limits) *crowded {
	now := time.Unix(1_000_000, 0)
	c := &crowded{Dispatcher: New(limits, rand.New(rand.NewPCG(1, 2))), now: now}
	for i := range 4 {
		id := AgentID(fmt.Sprintf("agent-%d", i))
		record := worker.Record{ID: "w-" + string(id), Service: "svc", Capacity: worker.Resources{CPU: 32000}}
		c.Handle(now, AgentUp{Agent: id}, WorkerDescribed{Agent: id, Record: record}, LoadReceived{Agent: id, Load: busyLoad(0)})
	}
	for range 20 {
		c.submit(crowdedKind, 0)
		c.submit(crowdedKind, 0)
		c.now = c.now.Add(20 * time.Millisecond)
		c.Handle(c.now, Ticked{})
		c.offer()
	}
	return c
}

// submit submits a job of one task, and returns its answer, nil while there is none.
func (c *crowded) submit(kind Kind, remaining time.Duration) Answer {
	c.last++
	step := Step{Count: 1, Needs: crowdedNeeds, Expected: 200 * time.Millisecond}
	job := Job{ID: fmt.Sprintf("job-%d", c.last), Kind: kind, Steps: []Step{step}, RemainingTime: remaining}
	return answerIn(c.Handle(c.now, Submitted{Job: job, Waiter: Waiter(c.last)}))
}

// offer lets an agent offer room for one task.
func (c *crowded) offer() {
	c.Handle(c.now, OfferReceived{Agent: "agent-0", Offer: runner.Offer{ID: runner.OfferID(c.last), Resources: crowdedNeeds}})
}

// answerIn returns the first answer among effects, or nil.
func answerIn(effects []Effect) Answer {
	for _, effect := range effects {
		if reply, ok := effect.(Reply); ok {
			return reply.Answer
		}
	}
	return nil
}

// fill lets jobs arrive until one is refused by its forecast.
func (c *crowded) fill(t *testing.T) NotRun {
	t.Helper()
	for range 50 {
		if refusal, ok := c.submit(crowdedKind, 0).(NotRun); ok && refusal.IsForecast {
			return refusal
		}
	}
	t.Fatal("no job was refused on arrival")
	return NotRun{}
}

func TestAJobThatWouldWaitForTooLongIsRefusedOnArrival(t *testing.T) {
	c := newCrowded(Limits{Jobs: 1000})
	refusal := c.fill(t)
	if refusal.RetryAfter < RetryAfter {
		t.Errorf("the caller may return after %s", refusal.RetryAfter)
	}
	for _, figure := range []string{"ahead_jobs=", "placed_per_second=", "wait=", "limit=", "accepting=4"} {
		if !strings.Contains(refusal.Reason, figure) {
			t.Errorf("%s is not in the reason %q", figure, refusal.Reason)
		}
	}
}

func TestNoJobIsRefusedOnArrivalWithoutForecasts(t *testing.T) {
	c := newCrowded(Limits{Jobs: 1000, NoForecast: true})
	for range 50 {
		if answer := c.submit(crowdedKind, 0); answer != nil {
			t.Fatalf("%+v", answer)
		}
	}
}

func TestAJobIsNotRefusedWhileAWorkerHasRoom(t *testing.T) {
	c := newCrowded(Limits{Jobs: 1000})
	c.fill(t)
	load := busyLoad(0)
	load.HasReservations, load.Used = false, worker.Resources{}
	// The load and the job come together: the room is not taken yet.
	step := Step{Count: 1, Needs: crowdedNeeds, Expected: 200 * time.Millisecond}
	job := Job{ID: "with-room", Kind: crowdedKind, Steps: []Step{step}}
	if answer := answerIn(c.Handle(c.now, LoadReceived{Agent: "agent-1", Load: load}, Submitted{Job: job, Waiter: 1000})); answer != nil {
		t.Errorf("%+v", answer)
	}
}

func TestRoomOfEjectedWorkersAndRoomLeftForShorterTasksIsNone(t *testing.T) {
	step := Step{Count: 1, Needs: crowdedNeeds, Expected: 200 * time.Millisecond}
	j := newJob(time.Unix(1_000_000, 0), Job{ID: "job", Kind: crowdedKind, Steps: []Step{step}}, nil)
	headroom := func(longerThan time.Duration, cpu int) []shares.Bound {
		return []shares.Bound{{LongerThan: longerThan, CPU: cpu}}
	}
	for _, test := range []struct {
		name string
		load runner.Load
		want bool
	}{
		{"room", runner.Load{}, true},
		{"an ejected worker", runner.Load{IsEjected: true}, false},
		{"reserved room", runner.Load{HasReservations: true}, false},
		{"all left for shorter tasks", runner.Load{Headroom: headroom(100*time.Millisecond, 32000)}, false},
		{"a part left for shorter tasks", runner.Load{Headroom: headroom(100*time.Millisecond, 8000)}, true},
		{"left for shorter tasks than this", runner.Load{Headroom: headroom(300*time.Millisecond, 32000)}, true},
	} {
		a := &agent{load: test.load, record: worker.Record{Service: "svc", Capacity: worker.Resources{CPU: 32000}}}
		if got := a.hasRoomFor(j, a.load.Headroom); got != test.want {
			t.Errorf("%s: %t, want %t", test.name, got, test.want)
		}
	}
}

func TestAJobOfAKindThatDoesNotWaitIsNotRefused(t *testing.T) {
	c := newCrowded(Limits{Jobs: 1000})
	c.fill(t)
	other := crowdedKind
	other.Name = "other"
	if answer := c.submit(other, 0); answer != nil {
		t.Errorf("%+v", answer)
	}
}

// TestRoomOfLessUrgentKindsCountsForMoreUrgentOnes lets only jobs of a less urgent kind be placed, whose tasks take five times as long. A task of it
// counts for five.
func TestRoomOfLessUrgentKindsCountsForMoreUrgentOnes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := newForecasts()
	newOf := func(name string, priority int, each time.Duration) *job {
		step := Step{Count: 1, Needs: crowdedNeeds, Expected: each}
		return newJob(now, Job{ID: name, Kind: Kind{Name: name, Service: "svc", Priority: priority}, Steps: []Step{step}}, nil)
	}
	urgent, other := newOf("urgent", 0, 100*time.Millisecond), newOf("other", 1, 500*time.Millisecond)
	f.waiting = []*kindQueue{f.queueOf(urgent), f.queueOf(other)}
	for _, k := range f.waiting {
		k.rate.SetWaiting(now, true)
	}
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		f.placed(now, other, 1)
	}
	own, _ := f.queueOf(other).rate.PerSecond(now)
	counted, _ := f.queueOf(urgent).rate.PerSecond(now)
	if own < 90 || own > 110 || counted < 4.9*own || counted > 5.1*own {
		t.Errorf("%.1f tasks a second count for the kind and %.1f for the more urgent one, want 100 and 500", own, counted)
	}
	before, _ := f.queueOf(other).rate.PerSecond(now)
	f.placed(now, urgent, 10)
	if after, _ := f.queueOf(other).rate.PerSecond(now); after != before {
		t.Errorf("tasks of a more urgent kind count for a less urgent one: %.1f, want %.1f", after, before)
	}
}

func TestADurableJobIsNotRefused(t *testing.T) {
	c := newCrowded(Limits{Jobs: 1000})
	c.fill(t)
	step := Step{Count: 1, Needs: crowdedNeeds, Expected: 200 * time.Millisecond}
	c.Handle(c.now, DurableAccepted{Job: Job{ID: "durable", Kind: crowdedKind, Steps: []Step{step}}})
	c.now = c.now.Add(time.Second)
	c.Handle(c.now, Ticked{})
	if _, ok := c.jobs["durable"]; !ok {
		t.Error("the durable job has ended")
	}
}

// TestAJobIsRefusedBeforeItIsLate lets jobs wait that were accepted and of which nothing is placed.
func TestAJobIsRefusedBeforeItIsLate(t *testing.T) {
	c := newCrowded(Limits{Jobs: 1000})
	c.fill(t)
	refused := 0
	for range 20 {
		c.now = c.now.Add(10 * time.Millisecond)
		for _, effect := range c.Handle(c.now, Ticked{}) {
			made, ok := effect.(DecisionMade)
			if answered, isAnswer := made.Decision.(DecisionAnswered); ok && isAnswer {
				refused++
				if answered.IsLateRefusal {
					t.Errorf("%s is refused after %s", made.Job, made.Age)
				}
			}
		}
	}
	if refused == 0 {
		t.Error("no job was refused")
	}
}

// TestARefusedJobThatWouldHaveHadRoomIsReportedOnce lets all that waits be placed while a refused job could still wait.
func TestARefusedJobThatWouldHaveHadRoomIsReportedOnce(t *testing.T) {
	c := newCrowded(Limits{Jobs: 1000})
	c.fill(t)
	load := busyLoad(0)
	load.HasReservations, load.Used = false, worker.Resources{}
	reports := make(map[string]int)
	for i := range 4 {
		id := AgentID(fmt.Sprintf("agent-%d", i))
		for _, effect := range c.Handle(c.now, LoadReceived{Agent: id, Load: load}, Ticked{}) {
			if made, ok := effect.(DecisionMade); ok && made.Decision == (DecisionAvoidableRefusal{}) {
				reports[made.Job]++
			}
		}
	}
	if _, waiting, _ := c.Counts(); waiting > 0 {
		t.Fatalf("%d jobs wait", waiting)
	}
	if len(reports) == 0 {
		t.Error("no job would have had room")
	}
	for job, count := range reports {
		if count > 1 {
			t.Errorf("%s is reported %d times", job, count)
		}
	}
}

// BenchmarkArrival is the cost of a job that arrives, and is refused or accepted and left, while 100 jobs wait at 48 agents.
func BenchmarkArrival(b *testing.B) {
	for _, noForecast := range []bool{false, true} {
		b.Run(fmt.Sprintf("forecast=%t", !noForecast), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			d := busyDispatcher(now, 48, 100)
			d.limits.NoForecast = noForecast
			step := Step{Count: 4, Needs: worker.Resources{CPU: 3100}, Expected: 100 * time.Millisecond}
			job := Job{ID: "arrival", Kind: Kind{Name: "kind", Service: "svc", Stretch: 1.6, Target: time.Hour}, Steps: []Step{step}}
			b.ReportAllocs()
			for range b.N {
				d.Handle(now, Submitted{Job: job, Waiter: 1000}, CallerLeft{Job: job.ID, Waiter: 1000})
			}
		})
	}
}

// BenchmarkPlacement is the cost of a tick while 100 jobs wait at 48 agents.
func BenchmarkPlacement(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	d := busyDispatcher(now, 48, 100)
	b.ReportAllocs()
	for range b.N {
		d.Handle(now, Ticked{})
	}
}

// TestNoJobIsRefusedWhileAnEjectedWorkerMayTakeIt plays a job that has another attempt, behind jobs of its kind that have none, while so many
// workers are ejected that this is ignored: one of them has room.
func TestNoJobIsRefusedWhileAnEjectedWorkerMayTakeIt(t *testing.T) {
	for _, c := range []struct{ attempts, ejected int }{{2, 2}, {1, 2}, {2, 1}} {
		crowd := newCrowded(Limits{Jobs: 1000})
		crowd.fill(t)
		for i := range c.ejected {
			load := busyLoad(0)
			load.Accepts, load.IsEjected, load.HasReservations, load.Used = false, true, false, worker.Resources{}
			crowd.Handle(crowd.now, LoadReceived{Agent: AgentID(fmt.Sprintf("agent-%d", i)), Load: load})
		}
		kind := crowdedKind
		kind.Attempts = c.attempts
		refusal, isRefused := crowd.submit(kind, 0).(NotRun)
		if mayRun := c.attempts > 1 && c.ejected > 1; isRefused == mayRun {
			t.Errorf("%d attempts, %d of 4 workers ejected: refused %t (%s)", c.attempts, c.ejected, isRefused, refusal.Reason)
		}
	}
}
