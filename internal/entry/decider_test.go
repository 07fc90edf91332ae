// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/runner"
	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

const (
	testLease = 6 * time.Second
	testJob   = "00000000000000aa"
	testAgent = dispatch.AgentID("agent-1")
)

// deciderTest records all effects of a decider, and answers the coordinator's store calls like a store that never fails.
type deciderTest struct {
	decider  *decider
	now      time.Time
	revision durable.Token
	answers  []durable.Event
	// storedEnds are the ends that the next reads of stored ends find.
	storedEnds []durable.StoredEnds
	performed  []effect
}

func newDeciderTest() *deciderTest {
	d := &deciderTest{now: time.Unix(1_000_000, 0), revision: 10}
	d.decider = &decider{
		dispatcher:  dispatch.New(dispatch.Limits{Jobs: 10}, rand.New(rand.NewPCG(1, 2))),
		coordinator: durable.New(durable.Claim{Owner: "entry-1", Address: "10.0.0.1:1"}, durable.Limits{Jobs: 160, StatusRetention: time.Minute, LeaseTTL: testLease, CommitsPerSecond: 1000}),
		now:         func() time.Time { return d.now },
		perform:     d.perform,
	}
	return d
}

func (d *deciderTest) perform(e effect) {
	d.performed = append(d.performed, e)
	switch call := e.durable.(type) {
	case durable.CallLease:
		d.answers = append(d.answers, durable.LeaseAnswered{Lease: call.Lease, Sent: d.now, Result: durable.LeaseGranted{Lease: 1, Time: call.Time}})
	case durable.CallClaim:
		d.revision++
		d.answers = append(d.answers, durable.ClaimAnswered{Shard: call.Claim.Shard, Lease: call.Claim.Lease, Result: durable.ClaimWon{Token: d.revision}})
	case durable.Load:
		d.answers = append(d.answers, durable.Loaded{Shard: call.Shard, Token: call.Token})
	case durable.CallReadEnds:
		d.answers = append(d.answers, durable.StoredEndsAnswered{Shard: call.Shard, Token: call.Token, Records: d.endsOf(call.Shard)})
	case durable.Commit:
		d.answers = append(d.answers, durable.Committed{Number: call.Number, Result: durable.CommitWritten{}})
	}
}

// endsOf returns the stored ends of a shard.
func (d *deciderTest) endsOf(shard durable.Shard) []durable.StoredEnds {
	isOther := func(record durable.StoredEnds) bool { return record.Shard != shard }
	return slices.DeleteFunc(slices.Clone(d.storedEnds), isOther)
}

// settle advances time and passes the store's answers to the coordinator until none is outstanding.
func (d *deciderTest) settle() {
	for range 20 {
		d.now = d.now.Add(20 * time.Millisecond)
		d.decider.handleDurable(durable.Ticked{})
		d.passAnswers()
	}
}

// passAnswers passes the store's answers to the coordinator.
func (d *deciderTest) passAnswers() {
	answers := d.answers
	d.answers = nil
	for _, answer := range answers {
		d.decider.handleDurable(answer)
	}
}

// indexOf returns the index of the first performed effect that matches, or -1.
func (d *deciderTest) indexOf(matches func(dispatch.Effect) bool) int {
	for i, e := range d.performed {
		if matches(e.dispatch) {
			return i
		}
	}
	return -1
}

// The lease of the shards expires between the dispatcher's start of a run and the coordinator's handling of the same
// batch. The stop of the run must still follow its start.
func TestAStopDoesNotOvertakeTheStartOfItsRun(t *testing.T) {
	d := newDeciderTest()
	d.decider.handleDurable(durable.EntriesChanged{Names: []string{"entry-1"}})
	d.decider.handleDurable(durable.ClaimsRead{HasJobs: true})
	d.settle()
	d.decider.handleDispatch(
		dispatch.AgentUp{Agent: testAgent},
		dispatch.WorkerDescribed{Agent: testAgent, Record: worker.Record{ID: "w", Service: "svc", Capacity: worker.Resources{CPU: 1000}}},
		dispatch.LoadReceived{Agent: testAgent, Load: runner.Load{Accepts: true}},
	)
	d.decider.handleDurable(durable.Submitted{Waiter: 1, Job: dispatch.Job{
		ID: testJob, Kind: dispatch.Kind{Name: "k", Service: "svc", Attempts: 2, Stretch: 1.6},
		Steps: []dispatch.Step{{Count: 2, Needs: worker.Resources{CPU: 1000}, Expected: 100 * time.Millisecond}},
	}})
	d.settle()
	first, second := testJob+".0.0.0", testJob+".0.0.1"
	isStart := func(name string) func(dispatch.Effect) bool {
		return func(e dispatch.Effect) bool { s, ok := e.(dispatch.StartTask); return ok && s.Task.Name == name }
	}
	isStop := func(e dispatch.Effect) bool { s, ok := e.(dispatch.StopTask); return ok && s.Name == second }
	if d.indexOf(isStart(first)) < 0 || d.indexOf(isStart(second)) >= 0 {
		t.Fatalf("want one started task, got effects %v", d.performed)
	}
	// No renewal is answered from here on. The end of the first run makes room for the second one on the worker, and the
	// lease expires between the dispatcher's handling of the batch and the coordinator's handling of that end.
	d.decider.now = func() time.Time {
		now := d.now
		d.now = now.Add(2 * testLease)
		return now
	}
	d.decider.handleDispatch(
		dispatch.RunUpdated{Agent: testAgent, Update: runner.Update{Name: first, Run: 1, Outcome: runner.OutcomeDone}},
		dispatch.LoadReceived{Agent: testAgent, Handled: 1, Load: runner.Load{Accepts: true}},
	)
	started, stopped := d.indexOf(isStart(second)), d.indexOf(isStop)
	if started < 0 || stopped < 0 || stopped < started {
		t.Fatalf("start of the second run is effect %d, its stop effect %d", started, stopped)
	}
}

func TestADurableJobUnderWhichWorkersCrashHasFailed(t *testing.T) {
	d := newDeciderTest()
	d.decider.handleDurable(durable.EntriesChanged{Names: []string{"entry-1"}})
	d.decider.handleDurable(durable.ClaimsRead{HasJobs: true})
	d.settle()
	d.decider.handleDurable(durable.Submitted{Waiter: 1, Job: dispatch.Job{
		ID: testJob, Kind: dispatch.Kind{Name: "k", Service: "svc", Attempts: 2, Stretch: 1.6},
		Steps: []dispatch.Step{{Count: 1, Needs: worker.Resources{CPU: 1000}, Expected: 100 * time.Millisecond}},
	}})
	d.settle()
	for _, incarnation := range []string{"w1", "w2"} {
		crash := runner.Crash{Incarnation: worker.Incarnation{ID: incarnation}, Runs: []runner.CrashedRun{{RunID: runner.RunID{Task: testJob + ".0.0.0", Run: 1}, WasRunning: true, IsLatest: true}}}
		d.decider.handleDispatch(dispatch.WorkerCrashed{Agent: testAgent, Crash: crash})
	}
	d.settle()
	d.performed = nil
	d.decider.handleDurable(durable.StateRequested{Job: testJob, Waiter: 2})
	if want := (durable.Reply{Waiter: 2, Answer: durable.Known{State: durable.StateFailed}}); len(d.performed) == 0 || d.performed[0].durable != want {
		t.Fatalf("performed %v, want the state failed", d.performed)
	}
}

// The coordinator hears of a shutdown before the dispatcher, as each has a queue of its own, and a task of a durable job whose run was not
// reported becomes due after that: its wait ends, and then the stored ends have been read.
//
// The failure: the runs were counted before the tick started the task, so the shard was released as one with no run left, and its next owner
// started the task again at once.
func TestAShardIsNotReleasedAsATickStartsARun(t *testing.T) {
	d := newDeciderTest()
	d.decider.handleDurable(durable.EntriesChanged{Names: []string{"entry-1"}})
	d.decider.handleDurable(durable.ClaimsRead{HasJobs: true})
	d.settle()
	addAgent := func(id dispatch.AgentID) {
		d.decider.handleDispatch(
			dispatch.AgentUp{Agent: id},
			dispatch.WorkerDescribed{Agent: id, Record: worker.Record{ID: "w-" + string(id), Service: "svc", Capacity: worker.Resources{CPU: 1000}}},
			dispatch.LoadReceived{Agent: id, Load: runner.Load{Accepts: true}},
		)
	}
	addAgent(testAgent)
	d.decider.handleDurable(durable.Submitted{Waiter: 1, Job: dispatch.Job{
		ID: testJob, Kind: dispatch.Kind{Name: "k", Service: "svc", Attempts: 2, Stretch: 1.6},
		Steps: []dispatch.Step{{Count: 1, Needs: worker.Resources{CPU: 1000}, Expected: 100 * time.Millisecond}},
	}})
	d.settle()
	d.decider.handleDispatch(dispatch.AgentDown{Agent: testAgent})
	addAgent("agent-2")
	for lost := d.now; d.now.Sub(lost) < timing.DurableRerunDelay-time.Second; {
		d.settle()
	}
	d.decider.handleDurable(durable.ShutdownRequested{Until: d.now.Add(time.Minute)})
	d.performed = nil
	isStart := func(e dispatch.Effect) bool { _, ok := e.(dispatch.StartTask); return ok }
	isStop := func(e dispatch.Effect) bool { _, ok := e.(dispatch.StopTask); return ok }
	for requested := d.now; d.indexOf(isStart) < 0 && d.now.Sub(requested) < 2*time.Second; {
		d.now = d.now.Add(tickInterval)
		d.decider.tick()
		d.passAnswers()
	}
	if d.indexOf(isStart) < 0 {
		t.Fatalf("no run was started: %v", d.performed)
	}
	if d.indexOf(isStop) >= 0 || slices.ContainsFunc(d.performed, releasesClaim) {
		t.Error("the shard was released while the run was due or started")
	}
}

// releasesClaim reports whether an effect releases a shard.
func releasesClaim(e effect) bool {
	commit, ok := e.durable.(durable.Commit)
	return ok && slices.ContainsFunc(commit.Parts, func(p durable.Part) bool { return p.ReleasesClaim })
}
