// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"strings"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// callKind is the kind of a call of an agent to its worker.
type callKind string

const (
	callStart    callKind = "start"
	callStop     callKind = "stop"
	callRenew    callKind = "renewal"
	callLongPoll callKind = "long poll"
)

// callFate is what the link between an agent and its worker does to a call. The zero value carries it.
type callFate struct {
	// isRequestLost is set if the worker does not get the request, and isAnswerLost if the agent does not get the answer. Unless the
	// connection is closed, the call times out.
	isRequestLost, isAnswerLost bool
	// requestDelay is how much later than usual the worker gets the request, and answerDelay how much later the agent gets the answer.
	requestDelay, answerDelay time.Duration
	// closesAfter is when the agent learns that the connection was closed, zero if it stays open. No answer follows.
	closesAfter time.Duration
}

func (f callFate) String() string {
	var parts []string
	if f.isRequestLost {
		parts = append(parts, "lost")
	}
	if f.isAnswerLost {
		parts = append(parts, "answer lost")
	}
	if f.requestDelay > 0 {
		parts = append(parts, fmt.Sprintf("carried out %s later", f.requestDelay))
	}
	if f.answerDelay > 0 {
		parts = append(parts, fmt.Sprintf("answered %s later", f.answerDelay))
	}
	if f.closesAfter > 0 {
		parts = append(parts, fmt.Sprintf("connection closed after %s", f.closesAfter))
	}
	return strings.Join(parts, ", ")
}

// fateRule decides the fate of a call.
type fateRule func(callKind) callFate

// linkRule is a rule that a link follows at present.
type linkRule struct{ decide fateRule }

// fate returns the fate of a call to the worker, by the first rule that does something to it.
func (a *clusterAgent) fate(kind callKind) callFate {
	for _, rule := range a.rules {
		if fate := rule.decide(kind); fate != (callFate{}) {
			return fate
		}
	}
	return callFate{}
}

// carryAll carries all calls.
func carryAll(callKind) callFate { return callFate{} }

// loseStops loses all stops and carries all other calls.
func loseStops(kind callKind) callFate { return callFate{isRequestLost: kind == callStop} }

// workerCall is a call of an agent on the link to its worker.
type workerCall[Result any] struct {
	kind    callKind
	timeout time.Duration
	// acceptsLate is set if an answer after the time-out is passed on, too.
	acceptsLate bool
	// execute carries the call out at the worker, and finish passes the result to the agent.
	execute func(answer func(Result))
	finish  func(Result)
}

// carryCall carries a call to the worker of an agent and its result back.
func carryCall[Result any](a *clusterAgent, call workerCall[Result]) {
	c := a.cluster
	fate := a.fate(call.kind)
	isAnswered, hasTimedOut := false, false
	noResponse := func(response worker.NoResponse) {
		if result, ok := any(response).(Result); ok && !isAnswered && !hasTimedOut {
			call.finish(result)
		}
	}
	if fate != (callFate{}) {
		c.record("link of %s: %s %s", a.id, call.kind, fate)
	}
	if fate.closesAfter > 0 {
		c.after(fate.closesAfter, func() {
			noResponse(worker.NoResponse{Reason: "connection closed", IsClosed: true})
			isAnswered = true
		})
	}
	c.after(call.timeout, func() {
		noResponse(worker.NoResponse{Reason: "timeout"})
		hasTimedOut = true
	})
	if fate.isRequestLost {
		return
	}
	c.after(workerDelay+fate.requestDelay, func() {
		call.execute(func(result Result) {
			if fate.isAnswerLost {
				return
			}
			c.after(workerDelay+fate.answerDelay, func() {
				if !isAnswered && (!hasTimedOut || call.acceptsLate) {
					isAnswered = true
					call.finish(result)
				}
			})
		})
	})
}

// call carries out a call that the runner of an agent requested at the time emitted.
func (a *clusterAgent) call(effect runner.Effect, emitted time.Time) {
	switch e := effect.(type) {
	case runner.CallStart:
		a.callStart(e)
	case runner.CallStop:
		a.cluster.recordStopCall(a.worker, e.Stop)
		a.callStop(e)
	case runner.CallRenew:
		a.callRenew(e, emitted)
	}
}

// callStart starts a run. Like package agent, it does not send the call once the lease of the entry's session has expired.
func (a *clusterAgent) callStart(e runner.CallStart) {
	sent := a.cluster.now
	post := a.poster()
	finish := func(result worker.StartResult) {
		post(func() runner.Event {
			now := a.cluster.now
			return runner.StartAnswered{Incarnation: e.Incarnation, Name: e.Start.Name, Run: e.Start.Run, Sent: sent, Ended: now, Result: received(now, result)}
		})
	}
	if sent.After(e.Before) {
		finish(worker.Invalid{Reason: "the session ended before the start"})
		return
	}
	execute := func(answer func(worker.StartResult)) { answer(a.worker.start(e.Incarnation.ID, e.Start)) }
	carryCall(a, workerCall[worker.StartResult]{kind: callStart, timeout: callTimeout, execute: execute, finish: finish})
}

func (a *clusterAgent) callStop(e runner.CallStop) {
	post := a.poster()
	finish := func(result worker.StopResult) {
		post(func() runner.Event {
			return runner.StopAnswered{Incarnation: e.Incarnation, Name: e.Stop.Name, Run: e.Stop.Run, Result: received(a.cluster.now, result)}
		})
	}
	execute := func(answer func(worker.StopResult)) { answer(a.worker.stop(e.Incarnation.ID, e.Stop)) }
	carryCall(a, workerCall[worker.StopResult]{kind: callStop, timeout: callTimeout, execute: execute, finish: finish})
}

// callRenew renews the lease. Like package agent, it passes an answer on even after the call has timed out.
func (a *clusterAgent) callRenew(e runner.CallRenew, emitted time.Time) {
	kind := callRenew
	if e.Renew.Wait > 0 {
		kind = callLongPoll
	}
	started, wasAnswered, post := a.cluster.now, false, a.poster()
	finish := func(result worker.RenewResult) {
		post(func() runner.Event {
			now, isLate := a.cluster.now, wasAnswered
			wasAnswered = true
			return runner.RenewAnswered{
				Incarnation: e.Incarnation, Sent: emitted, Took: now.Sub(started), Ended: now, Fence: e.Renew.Fence,
				LongPoll: kind == callLongPoll && !isLate, Result: received(now, result),
			}
		})
	}
	execute := func(answer func(worker.RenewResult)) { a.worker.renew(e.Incarnation.ID, e.Renew, answer) }
	carryCall(a, workerCall[worker.RenewResult]{kind: kind, timeout: e.Renew.Wait + renewTimeout, acceptsLate: true, execute: execute, finish: finish})
}

// received adds the time at which it arrived to the result of a call.
func received[Result worker.Result](now time.Time, result Result) Result {
	var stamped worker.Result = result
	switch r := stamped.(type) {
	case worker.Accepted:
		r.Received = now
		stamped = r
	case worker.Fenced:
		r.Received = now
		stamped = r
	case worker.StaleRun:
		r.Received = now
		stamped = r
	case worker.TooLate:
		r.Received = now
		stamped = r
	case worker.InsufficientResources:
		r.Received = now
		stamped = r
	case worker.Listing:
		r.Received = now
		stamped = r
	}
	return stamped.(Result)
}
