// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"sailhead/internal/clock"
	"sailhead/internal/cluster"
	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/evacuation"
	"sailhead/internal/learned"
	"sailhead/internal/logging"
	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// runListener stores the tasks of the unended runs that an exchanger receives.
type runListener struct{ tasks *sync.Map }

func (runListener) Accept([]byte) (uint64, error)               { return 0, nil }
func (runListener) CrashReceived(cluster.Crash)                 {}
func (l runListener) UnendedRunReceived(run cluster.UnendedRun) { l.tasks.Store(run.Task, true) }
func (runListener) LearnedReceived([]learned.Kind)              {}
func (runListener) EvacuationsReceived(evacuation.State)        {}

// holdRest is the rest of the time for which an answer is held once its late run is known: that which the other entries have to respond.
const holdRest = 75 * time.Millisecond

// TestAnEntryThatAnswersIsToldOfARunBesideASilentEntry lets two jobs fail 15 ms apart while another run of each goes on. One of the two other
// entries is silent, the other one answers at once.
//
// The failure: the call of all entries for the first job took 120 ms because of the silent entry. The call for the second job waited for it,
// so the job was answered before any entry had been told of its run.
func TestAnEntryThatAnswersIsToldOfARunBesideASilentEntry(t *testing.T) {
	end := make(chan struct{})
	known := new(sync.Map)
	exchanger, closeExchanger := cluster.NewExchanger(cluster.NewDirectory(), runListener{known})
	t.Cleanup(closeExchanger)
	silent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-end:
		case <-r.Context().Done():
		}
	})
	e := &Entry{
		context: t.Context(), directory: cluster.NewDirectory(), dependencies: newDependencies(logging.Discard()), logger: logging.Discard(),
		events: make(chan dispatch.Event, 8), recordShares: make(chan dispatch.ShareRecords, recordShareQueueSize),
	}
	for i, handler := range []http.Handler{silent, exchanger.Handler()} {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		e.directory.AddMember(cluster.Member{
			Name: fmt.Sprintf("entry-%d", i), Role: cluster.RoleEntry, Address: server.Listener.Addr().String(), Incarnation: 1,
		})
	}
	t.Cleanup(func() { close(end) })
	own, closeOwn := cluster.NewExchanger(e.directory, runListener{new(sync.Map)})
	t.Cleanup(closeOwn)
	e.exchanger = own
	go e.shareRecords()

	now := clock.Now()
	agentOf := make(map[string]dispatch.AgentID)
	var answered []dispatch.Waiter
	e.decider = &decider{
		dispatcher:  dispatch.New(dispatch.Limits{Jobs: 10}, rand.New(rand.NewPCG(1, 2))),
		coordinator: durable.New(durable.Claim{Owner: "entry-1"}, durable.Limits{}),
		now:         func() time.Time { return now },
		perform: func(next effect) {
			switch effect := next.dispatch.(type) {
			case dispatch.StartTask:
				agentOf[effect.Task.Name] = effect.Agent
			case dispatch.Reply:
				answered = append(answered, effect.Waiters...)
			case dispatch.PropagateUnendedRun, dispatch.ShareRecords:
				e.perform(next)
			}
		},
	}
	advance := func(by time.Duration) {
		now = now.Add(by)
		e.decider.handleDispatch(dispatch.Ticked{})
	}
	// awaitTold handles the events of the calls until the entry that answers knows of a run, or the time is over.
	awaitTold := func(task string, timeout time.Duration) bool {
		for begin := time.Now(); ; time.Sleep(time.Millisecond) {
			if _, isKnown := known.Load(task); isKnown {
				return true
			}
			if time.Since(begin) >= timeout {
				return false
			}
			select {
			case event := <-e.events:
				e.decider.handleDispatch(event)
			default:
			}
		}
	}
	for _, id := range []dispatch.AgentID{"a", "b", "c", "d"} {
		e.decider.handleDispatch(
			dispatch.AgentUp{Agent: id},
			dispatch.WorkerDescribed{Agent: id, Record: worker.Record{ID: "w-" + string(id), Service: "svc", Capacity: worker.Resources{CPU: 1000}}},
			dispatch.LoadReceived{Agent: id, Load: runner.Load{Accepts: true}},
		)
	}
	jobs := []string{"00000000000000aa", "00000000000000bb"}
	for i, id := range jobs {
		e.decider.handleDispatch(dispatch.Submitted{Waiter: dispatch.Waiter(i + 1), Job: dispatch.Job{
			ID: id, Kind: dispatch.Kind{Name: "k", Service: "svc", Attempts: 1, Stretch: 100}, RemainingTime: time.Minute,
			Steps: []dispatch.Step{{Count: 2, Needs: worker.Resources{CPU: 1000}, Expected: 500 * time.Millisecond}},
		}})
	}
	fail := func(job string) {
		failed := job + ".0.0.0"
		update := runner.Update{Name: failed, Run: 1, Outcome: runner.OutcomeFailed}
		e.decider.handleDispatch(dispatch.RunUpdated{Agent: agentOf[failed], Update: update})
	}
	fail(jobs[0])
	advance(15 * time.Millisecond)
	fail(jobs[1])
	advance(holdRest - 15*time.Millisecond)
	if !awaitTold(jobs[0]+".0.0.1", sessionTestTimeout) {
		t.Fatal("the entry that answers was not told of the first run")
	}
	advance(15 * time.Millisecond)
	isTold := awaitTold(jobs[1]+".0.0.1", holdRest)
	advance(holdRest)
	if !slices.Contains(answered, 2) {
		t.Fatalf("answered requests: %v, want the second one among them", answered)
	}
	if !isTold {
		t.Errorf("the second job was answered before the entry that answers was told of its run")
	}
}
