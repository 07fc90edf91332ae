// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"sailhead/internal/clock"
	"sailhead/internal/cluster"
	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/logging"
	"sailhead/internal/runner"
	"sailhead/internal/session"
	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

// lateSessionTime is the time in which a session opens that does not wait for the event loop, also on a busy machine.
const lateSessionTime = time.Second

// TestAStartIsNotSentOnASessionThatTheDispatcherDoesNotKnow redials an agent whose record has changed, while an event that starts a task is
// ahead of the end of the earlier session in the queue of the event loop.
//
// The failure: the start goes out on the new session, the end of the earlier one is then taken for the loss of the run, and the task is
// started elsewhere while the agent goes on with the first run in the right of the new session.
func TestAStartIsNotSentOnASessionThatTheDispatcherDoesNotKnow(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opened, closed := make(chan runner.SessionID, 2), make(chan runner.SessionID, 2)
	started := make(chan runner.StartRequested, 2)
	_, closeServer := session.NewServer(listener, 1, new(session.Traffic), func(event runner.Event) {
		switch e := event.(type) {
		case runner.SessionOpened:
			opened <- e.Session
		case runner.SessionClosed:
			closed <- e.Session
		case runner.StartRequested:
			started <- e
		}
	}, logging.Discard())
	defer closeServer()
	e := &Entry{
		context: t.Context(), directory: cluster.NewDirectory(), sessions: newSessionTable(), choice: newAgentChoice(clock.Now()),
		traffic: new(session.Traffic), logger: logging.Discard(), events: make(chan dispatch.Event, 8),
	}
	// now is the time of the state machines; startedElsewhere is set once they start the task at the other agent, isStopped once they stop it.
	now, startedElsewhere, isStopped := time.Unix(1_000_000, 0), false, false
	e.decider = &decider{
		dispatcher:  dispatch.New(dispatch.Limits{Jobs: 10}, rand.New(rand.NewPCG(1, 2))),
		coordinator: durable.New(durable.Claim{Owner: "entry-1"}, durable.Limits{}),
		now:         func() time.Time { return now },
		perform: func(next effect) {
			switch effect := next.dispatch.(type) {
			case dispatch.StartTask:
				startedElsewhere = startedElsewhere || effect.Agent == "agent-2"
				e.perform(next)
			case dispatch.StopTask:
				isStopped = true
				e.perform(next)
			}
		},
	}
	accept := func(id dispatch.AgentID) {
		e.decider.handleDispatch(
			dispatch.WorkerDescribed{Agent: id, Record: worker.Record{ID: "w-" + string(id), Service: "svc", Capacity: worker.Resources{CPU: 1000}}},
			dispatch.LoadReceived{Agent: id, Load: runner.Load{Accepts: true}},
		)
	}
	agents := map[string]cluster.Member{string(testAgent): {Name: string(testAgent), Address: listener.Addr().String(), Incarnation: 1}}
	dials := make(agentDialers)
	e.dialMissing(dials, agents)
	if _, ok := awaitSession(opened, sessionTestTimeout); !ok {
		t.Fatal("no session was opened")
	}
	e.decider.handleDispatch(<-e.events)
	accept(testAgent)

	// The record changes. The event loop is late, so the end of the session and the start of the new one stay in its queue, behind the job.
	e.stopOutdated(dials, nil)
	e.dialMissing(dials, agents)
	second, ok := awaitSession(opened, lateSessionTime)
	if !ok {
		// The new session waits until the end of the earlier one is handled.
		return
	}
	for begin := time.Now(); len(e.events) < 2 && time.Since(begin) < lateSessionTime; {
		time.Sleep(time.Millisecond)
	}
	e.decider.handleDispatch(dispatch.Submitted{Waiter: 1, Job: dispatch.Job{
		ID: testJob, Kind: dispatch.Kind{Name: "k", Service: "svc", Attempts: 2, Stretch: 100}, RemainingTime: time.Minute,
		Steps: []dispatch.Step{{Count: 1, Needs: worker.Resources{CPU: 1000}, Expected: 500 * time.Millisecond}},
	}})
	var first runner.StartRequested
	select {
	case first = <-started:
	case <-time.After(earlySessionTime):
		// The start was not sent on the new session, so the agent has no run.
		return
	}
	for len(e.events) > 0 {
		e.decider.handleDispatch(<-e.events)
	}
	e.decider.handleDispatch(dispatch.AgentUp{Agent: "agent-2"})
	accept("agent-2")
	for lost := now; now.Sub(lost) <= timing.RerunDelay; now = now.Add(tickInterval) {
		e.decider.handleDispatch(dispatch.Ticked{})
	}
	e.decider.handleDispatch(dispatch.Ticked{})
	if current, isOpen := e.sessions.get(testAgent); !startedElsewhere || isStopped || !isOpen || current.conn == nil || first.Session != second {
		return
	}
	// The agent was told neither by a stop nor by the end of the session that the run has to end.
	for len(closed) > 0 {
		if <-closed == second {
			return
		}
	}
	t.Errorf("%s was started elsewhere %s after its start on session %d, which is open and keeps the right of the first run",
		first.Task.Name, timing.RerunDelay, first.Session)
}
