// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

const (
	// workerDelay is the latency of a message between an agent and its worker, unless agent.delay overrides it.
	workerDelay = 200 * time.Microsecond
	// callTimeout limits a start or a stop. renewTimeout limits a renewal in addition to the time of its long poll,
	// as in the client of the worker.
	callTimeout  = 25 * time.Millisecond
	renewTimeout = 50 * time.Millisecond
)

// fakeRun is a run on a fakeWorker.
type fakeRun struct {
	run    uint32
	began  time.Time
	length time.Duration
}

// percent returns the progress of the run at a time.
func (r fakeRun) percent(now time.Time) int {
	return int(100 * now.Sub(r.began) / r.length)
}

const (
	// crashPayload is the prefix of the run time in the payload of a job whose first task crashes its worker. The
	// crash happens crashAfter after the start of the task, unless site.crashAfter overrides it.
	crashPayload = "crash "
	crashAfter   = 10 * time.Millisecond
	// restartAfter is the time from a crash to the next incarnation of the worker, unless site.restartAfter overrides
	// it.
	restartAfter = 2 * time.Second
)

// fakeWorker is a simulated worker that carries out every call. The payload of a task is its run time, with or
// without crashPayload.
type fakeWorker struct {
	site  *site
	agent *agent
	// id is the current incarnation, incarnations the number of them so far, and isDown is set between two of them.
	id           string
	incarnations int
	isDown       bool
	// startedMillis is the start time of its process, or zero if the worker does not report it.
	startedMillis int64
	// timeFactor is the factor of all run times, zero for 1.
	timeFactor float64
	// fault is the current fault; the zero value is none.
	fault   fault
	running map[string]fakeRun
	ends    []worker.End
	lastEnd uint64
	// heartbeats counts the heartbeats sent.
	heartbeats uint64
	// longPoll answers the pending long poll, nil if there is none.
	longPoll func(worker.RenewResult)
}

func newFakeWorker(a *agent) *fakeWorker {
	w := &fakeWorker{site: a.site, agent: a}
	w.startIncarnation()
	return w
}

// startIncarnation starts a new incarnation, which reports to the agent.
func (w *fakeWorker) startIncarnation() {
	w.incarnations++
	w.id = fmt.Sprintf("%s-%d", w.agent.id, w.incarnations)
	w.running, w.ends, w.lastEnd, w.isDown = make(map[string]fakeRun), nil, 0, false
	w.setStartTime()
	w.site.after(0, func() { w.sendHeartbeat(false) })
}

// setStartTime sets the start time of a new process, if the workers of the site report it.
func (w *fakeWorker) setStartTime() {
	if w.site.reportsStartTimes {
		w.startedMillis = w.site.now.UnixMilli()
	}
}

func (w *fakeWorker) sendHeartbeat(isDraining bool) {
	w.heartbeats++
	capacity := worker.Resources{CPU: w.agent.cpu, Memory: 128 << 10}
	record := worker.Record{ID: w.id, Service: service, Capacity: capacity, Labels: []string{w.agent.rack}, Draining: isDraining, Sequence: w.heartbeats, Clock: w.reply().Clock, StartedMillis: w.startedMillis}
	w.agent.handle(runner.HeartbeatReceived{Record: record})
}

// crash ends the incarnation with all its runs. The next one starts after site.restartAfter.
func (w *fakeWorker) crash() {
	if w.isDown {
		return
	}
	w.isDown = true
	w.site.recordCrash(w.running)
	w.closeLongPoll()
	w.site.after(w.site.restartAfter, w.startIncarnation)
}

// closeLongPoll closes the connection of the pending long poll.
func (w *fakeWorker) closeLongPoll() {
	if w.longPoll != nil {
		w.longPoll(worker.NoResponse{Reason: "connection closed", IsClosed: true})
	}
}

// reject returns why a call to an incarnation is not carried out, or nil if it is.
func (w *fakeWorker) reject(incarnation string) worker.Failure {
	switch {
	case w.isDown:
		return worker.Unreachable{Reason: "connection refused"}
	case incarnation != w.id:
		return worker.WrongIncarnation{Reply: w.reply()}
	default:
		return nil
	}
}

func (w *fakeWorker) reply() worker.Reply {
	return worker.Reply{Clock: w.site.now.Sub(origin) + time.Hour, Received: w.site.now}
}

func (w *fakeWorker) start(incarnation string, request worker.StartRequest) worker.StartResult {
	if failure := w.reject(incarnation); failure != nil {
		return failure
	}
	payload, crashes := strings.CutPrefix(request.Payload, crashPayload)
	length, err := time.ParseDuration(payload)
	if err != nil {
		return worker.Invalid{Reply: w.reply(), Reason: err.Error()}
	}
	if own, ok := w.site.runTimes[request.Name]; ok {
		length = own
	}
	if rack, ok := w.site.racks[request.Name]; ok && rack != w.agent.rack {
		length = time.Duration(w.site.crossRackFactor * float64(length))
	}
	if w.timeFactor > 0 {
		length = time.Duration(w.timeFactor * float64(length))
	}
	length, ending, isLost := w.fault.apply(w.site.faults, length)
	if w.site.faults.Float64() < w.site.failing[request.Name] {
		length, ending = minFailTime, worker.EndingFailed
	}
	if isLost {
		return worker.NoResponse{Reason: "connection closed", IsClosed: true}
	}
	if crashes && strings.HasSuffix(request.Name, ".0.0.0") {
		w.site.after(w.site.crashAfter, func() { w.crashIfRunning(incarnation, request.Name, request.Run) })
	}
	w.running[request.Name] = fakeRun{run: request.Run, began: w.site.now, length: length}
	w.site.after(length, func() { w.end(incarnation, request.Name, request.Run, ending) })
	w.site.recordStart(w, request.Name)
	return worker.Accepted{Reply: w.reply()}
}

// crashIfRunning crashes the worker unless the run has ended.
func (w *fakeWorker) crashIfRunning(incarnation, name string, run uint32) {
	if w.id == incarnation && w.running[name].run == run {
		w.crash()
	}
}

func (w *fakeWorker) stop(incarnation string, request worker.StopRequest) worker.StopResult {
	if failure := w.reject(incarnation); failure != nil {
		return failure
	}
	if w.site.stopTime == 0 {
		w.end(incarnation, request.Name, request.Run, worker.EndingStopped)
	} else {
		w.site.after(w.site.stopTime, func() { w.end(incarnation, request.Name, request.Run, worker.EndingStopped) })
	}
	return worker.Accepted{Reply: w.reply()}
}

// end ends a run, unless it has already ended, and answers the pending long poll.
func (w *fakeWorker) end(incarnation, name string, run uint32, ending worker.Ending) {
	if w.id != incarnation || w.isDown || w.running[name].run != run {
		return
	}
	delete(w.running, name)
	w.lastEnd++
	if ending == worker.EndingFailed {
		w.site.failedRuns++
	}
	w.ends = append(w.ends, worker.End{Number: w.lastEnd, Name: name, Run: run, Ending: ending})
	if w.longPoll != nil {
		w.longPoll(w.list())
	}
}

// renew calls answer with the listing: at once, or for a long poll when a run ends or the time of the poll is over.
func (w *fakeWorker) renew(incarnation string, request worker.RenewRequest, answer func(worker.RenewResult)) {
	if failure := w.reject(incarnation); failure != nil {
		answer(failure)
		return
	}
	for len(w.ends) > 0 && w.ends[0].Number <= request.AcknowledgedEnd {
		w.ends = w.ends[1:]
	}
	if request.Wait == 0 || len(w.ends) > 0 {
		answer(w.list())
		return
	}
	isAnswered := false
	w.longPoll = func(result worker.RenewResult) {
		if !isAnswered {
			isAnswered = true
			w.longPoll = nil
			answer(result)
		}
	}
	poll := w.longPoll
	w.site.after(request.Wait, func() { poll(w.list()) })
}

func (w *fakeWorker) list() worker.Listing {
	listing := worker.Listing{Reply: w.reply(), StartedMillis: w.startedMillis, Ended: append([]worker.End(nil), w.ends...)}
	for _, name := range slices.Sorted(maps.Keys(w.running)) {
		r := w.running[name]
		listing.Running = append(listing.Running, worker.Run{Name: name, Run: r.run, Percent: r.percent(w.site.now)})
	}
	return listing
}

// call sends a call of an agent to its worker and passes the result to the agent.
func (a *agent) call(effect runner.Effect) {
	switch e := effect.(type) {
	case runner.CallStart:
		sent := a.site.now
		answer := func(result worker.StartResult) runner.Event {
			return runner.StartAnswered{Incarnation: e.Incarnation, Name: e.Start.Name, Run: e.Start.Run, Sent: sent, Ended: a.site.now, Result: result}
		}
		roundTrip(a, callTimeout, answer, func(back func(worker.StartResult)) { a.answerStart(a.worker.start(e.Incarnation.ID, e.Start), back) })
	case runner.CallStop:
		answer := func(result worker.StopResult) runner.Event {
			return runner.StopAnswered{Incarnation: e.Incarnation, Name: e.Stop.Name, Run: e.Stop.Run, Result: result}
		}
		roundTrip(a, callTimeout, answer, func(back func(worker.StopResult)) { back(a.worker.stop(e.Incarnation.ID, e.Stop)) })
	case runner.CallRenew:
		if a.link != nil {
			a.link.renew(a, e)
			return
		}
		sent := a.site.now
		answer := func(result worker.RenewResult) runner.Event {
			return runner.RenewAnswered{
				Incarnation: e.Incarnation, Sent: sent, Took: a.site.now.Sub(sent), Ended: a.site.now, Fence: e.Renew.Fence, LongPoll: e.Renew.Wait > 0, Result: result,
			}
		}
		roundTrip(a, e.Renew.Wait+renewTimeout, answer, func(back func(worker.RenewResult)) { a.worker.renew(e.Incarnation.ID, e.Renew, back) })
	}
}

// answerStart passes the result of a start on, after startAnswerDelay if that is set.
func (a *agent) answerStart(result worker.StartResult, back func(worker.StartResult)) {
	if a.losesStartAnswers {
		result = closedConnection
	}
	if a.startAnswerDelay == 0 {
		back(result)
		return
	}
	a.site.after(a.startAnswerDelay, func() { back(result) })
}

// roundTrip carries a call to the worker, and the event made of its result back. The result is NoResponse after the
// timeout.
func roundTrip[Result any](a *agent, timeout time.Duration, event func(Result) runner.Event, call func(back func(Result))) {
	isOver := false
	end := func(result Result) {
		if !isOver {
			isOver = true
			a.handle(event(result))
		}
	}
	a.site.after(a.delay, func() {
		call(func(result Result) { a.site.after(a.delay, func() { end(result) }) })
	})
	if unanswered, ok := any(worker.NoResponse{Reason: "timeout"}).(Result); ok && a.delay > workerDelay {
		a.site.after(timeout, func() { end(unanswered) })
	}
}
