// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// endReport is a way in which an entry learns of the end of a run.
type endReport int

const (
	// firstReport is the agent's report on its session, which goes to the dispatcher.
	firstReport endReport = iota
	// repeatedReport is what the agent sends again until the end is acknowledged, which goes to the coordinator.
	repeatedReport
	// storedReport is what the agent stores, and the owner reads.
	storedReport
)

func (r endReport) String() string {
	return [...]string{"first report", "repeat", "stored end"}[r]
}

// failedRunTest is an entry that owns a job of one task, whose runs are at agents of its own.
type failedRunTest struct {
	*deciderTest
	t *testing.T
}

const failedRunTask = testJob + ".0.0.0"

func newFailedRunTest(t *testing.T, attempts int) *failedRunTest {
	d := newDeciderTest()
	d.decider.handleDurable(durable.EntriesChanged{Names: []string{"entry-1"}})
	d.decider.handleDurable(durable.ClaimsRead{HasJobs: true})
	d.settle()
	for _, id := range []dispatch.AgentID{"agent-1", "agent-2", "agent-3"} {
		d.decider.handleDispatch(
			dispatch.AgentUp{Agent: id},
			dispatch.WorkerDescribed{Agent: id, Record: worker.Record{ID: "w-" + string(id), Service: "svc", Capacity: worker.Resources{CPU: 8000}}},
			dispatch.LoadReceived{Agent: id, Load: runner.Load{Accepts: true, KnowsAllEnds: true}},
		)
	}
	d.decider.handleDurable(durable.Submitted{Waiter: 1, Job: dispatch.Job{
		ID: testJob, Kind: dispatch.Kind{Name: "k", Service: "svc", Attempts: attempts, Stretch: 1.6},
		Steps: []dispatch.Step{{Count: 1, Needs: worker.Resources{CPU: 1000}, Expected: 100 * time.Millisecond}},
	}})
	d.settle()
	return &failedRunTest{deciderTest: d, t: t}
}

// starts returns the starts of the task so far.
func (f *failedRunTest) starts() []dispatch.StartTask {
	var starts []dispatch.StartTask
	for _, e := range f.performed {
		if start, ok := e.dispatch.(dispatch.StartTask); ok {
			starts = append(starts, start)
		}
	}
	return starts
}

// report passes the end of a run on in one of the ways.
func (f *failedRunTest) report(how endReport, start dispatch.StartTask, outcome runner.Outcome) {
	update := runner.Update{Name: start.Task.Name, Run: start.Task.Run, Outcome: outcome}
	switch how {
	case firstReport:
		f.decider.handleDispatch(dispatch.RunUpdated{Agent: start.Agent, Update: update})
	case repeatedReport:
		update.Unacknowledged = true
		f.decider.handleDurable(durable.TaskEnded{Agent: start.Agent, Update: update})
	case storedReport:
		update.Unacknowledged = true
		shard := durable.ShardOf(testJob)
		f.storedEnds = []durable.StoredEnds{{Shard: shard, Process: durable.AgentProcess{Agent: start.Agent, Incarnation: 1}, Ends: []runner.Update{update}, Revision: 5}}
		f.decider.handleDurable(durable.StoredEndsRequested{Job: testJob})
		f.settle()
		f.storedEnds = nil
	}
}

// state returns the state of the job that callers are shown.
func (f *failedRunTest) state() durable.State {
	f.t.Helper()
	f.settle()
	asked := len(f.performed)
	f.decider.handleDurable(durable.StateRequested{Job: testJob, Waiter: 9})
	f.settle()
	for _, e := range f.performed[asked:] {
		if reply, ok := e.durable.(durable.Reply); ok && reply.Waiter == 9 {
			if known, ok := reply.Answer.(durable.Known); ok {
				return known.State
			}
		}
	}
	f.t.Fatal("the state of the job is not known")
	return 0
}

// hasJob reports whether the dispatcher runs the job.
func (f *failedRunTest) hasJob() bool {
	jobs, _, _ := f.decider.dispatcher.Counts()
	return jobs > 0
}

// The failure: the repeat of an end was handled before its first report. The dispatcher counted the failed run twice and dropped the job, while
// the coordinator counted it once and waited for the next run, so that the job was shown as running for good.
func TestAFailedRunCountsOnceInWhateverOrderItsReportsAreHandled(t *testing.T) {
	for name, order := range map[string][]endReport{
		"first report only":             {firstReport},
		"first report, repeat":          {firstReport, repeatedReport},
		"repeat, first report":          {repeatedReport, firstReport},
		"two repeats, first report":     {repeatedReport, repeatedReport, firstReport},
		"repeat, first report, repeat":  {repeatedReport, firstReport, repeatedReport},
		"stored end, first report":      {storedReport, firstReport},
		"first report, stored end":      {firstReport, storedReport},
		"stored end, repeat, first":     {storedReport, repeatedReport, firstReport},
		"repeat, stored end, and first": {repeatedReport, storedReport, firstReport},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFailedRunTest(t, 3)
			for run := 1; run <= 3; run++ {
				starts := f.starts()
				if len(starts) != run {
					t.Fatalf("%d starts after %d failed runs, want %d", len(starts), run-1, run)
				}
				for _, how := range order {
					f.report(how, starts[run-1], runner.OutcomeFailed)
				}
				f.settle()
			}
			if state := f.state(); state != durable.StateFailed || f.hasJob() || len(f.starts()) != 3 {
				t.Errorf("after 3 failed runs the state is %v, the dispatcher has the job: %t, %d starts; want a failed job after 3 starts", state, f.hasJob(), len(f.starts()))
			}
		})
	}
}

// A done run that is reported in two ways must complete the job once, and start nothing.
func TestADoneRunCompletesItsJobInWhateverOrderItsReportsAreHandled(t *testing.T) {
	for _, order := range [][]endReport{
		{firstReport, repeatedReport}, {repeatedReport, firstReport}, {storedReport, firstReport}, {firstReport, storedReport}, {storedReport, repeatedReport},
	} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			f := newFailedRunTest(t, 2)
			f.report(firstReport, f.starts()[0], runner.OutcomeFailed)
			for _, how := range order {
				f.report(how, f.starts()[1], runner.OutcomeDone)
			}
			if state := f.state(); state != durable.StateCompleted || f.hasJob() || len(f.starts()) != 2 {
				t.Errorf("the state is %v, the dispatcher has the job: %t, %d starts; want a completed job after 2 starts", state, f.hasJob(), len(f.starts()))
			}
		})
	}
}

// The session of the agent may end with the failed run's report in the same batch of events, or in place of it.
func TestAFailedRunCountsOnceIfItsAgentIsLost(t *testing.T) {
	for name, isReported := range map[string]bool{"after the report": true, "in place of the report": false} {
		t.Run(name, func(t *testing.T) {
			f := newFailedRunTest(t, 2)
			first := f.starts()[0]
			events := []dispatch.Event{dispatch.AgentDown{Agent: first.Agent}}
			if isReported {
				update := runner.Update{Name: failedRunTask, Run: first.Task.Run, Outcome: runner.OutcomeFailed}
				events = append([]dispatch.Event{dispatch.RunUpdated{Agent: first.Agent, Update: update}}, events...)
			}
			f.decider.handleDispatch(events...)
			f.report(repeatedReport, first, runner.OutcomeFailed)
			for waited := time.Duration(0); len(f.starts()) < 2 && waited < time.Minute; waited += 20 * 20 * time.Millisecond {
				f.settle()
				f.decider.handleDispatch(dispatch.Ticked{})
				f.passAnswers()
			}
			if len(f.starts()) != 2 {
				t.Fatalf("%d starts after one failed run, want 2", len(f.starts()))
			}
			f.report(repeatedReport, first, runner.OutcomeFailed)
			f.report(firstReport, f.starts()[1], runner.OutcomeFailed)
			if state := f.state(); state != durable.StateFailed || f.hasJob() || len(f.starts()) != 2 {
				t.Errorf("the state is %v, the dispatcher has the job: %t, %d starts; want a failed job after 2 starts", state, f.hasJob(), len(f.starts()))
			}
		})
	}
}

// Whatever the order of the reports, the dispatcher must run a job exactly as long as the coordinator has not ended it, and a task has no more
// failed runs than its kind allows.
func TestRandomOrdersOfReportsLeaveNoJobWithoutARun(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 81))
		attempts := 1 + random.IntN(4)
		f := newFailedRunTest(t, attempts)
		failed := 0
		for f.hasJob() && len(f.starts()) <= attempts {
			starts := f.starts()
			latest := starts[len(starts)-1]
			outcome := runner.OutcomeFailed
			if random.IntN(5) == 0 {
				outcome = runner.OutcomeDone
			} else {
				failed++
			}
			before, after := random.IntN(3), random.IntN(3)
			for range before {
				f.report(endReport(1+random.IntN(2)), latest, outcome)
			}
			f.report(firstReport, latest, outcome)
			for range after {
				// All earlier runs have failed, as the job goes on.
				if earlier := random.IntN(len(starts)); earlier < len(starts)-1 {
					f.report(endReport(1+random.IntN(2)), starts[earlier], runner.OutcomeFailed)
				} else {
					f.report(endReport(1+random.IntN(2)), latest, outcome)
				}
			}
			f.settle()
			if f.hasJob() && len(f.starts()) == len(starts) {
				t.Fatalf("seed %d: nothing runs after %d failed runs of %d allowed", seed, failed, attempts)
			}
		}
		state := f.state()
		if !state.IsEnd() || f.hasJob() || failed > attempts || (failed == attempts) != (state == durable.StateFailed) {
			t.Errorf("seed %d: state %v after %d failed runs of %d allowed and %d starts; the dispatcher has the job: %t", seed, state, failed, attempts, len(f.starts()), f.hasJob())
		}
	}
}
