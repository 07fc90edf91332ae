// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// workerDelay is the time of a message between an agent and its worker.
const workerDelay = 200 * time.Microsecond

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

// fakeWorker is a worker that carries out every call. The payload of a task is its run time.
type fakeWorker struct {
	site    *site
	running map[string]fakeRun
	ends    []worker.End
	number  uint64
	// poll answers the long poll that waits for an end, nil if there is none.
	poll func()
}

func newFakeWorker(s *site) *fakeWorker {
	return &fakeWorker{site: s, running: make(map[string]fakeRun)}
}

func (w *fakeWorker) reply() worker.Reply {
	return worker.Reply{Clock: w.site.now.Sub(origin) + time.Hour, Received: w.site.now}
}

func (w *fakeWorker) start(request worker.StartRequest) worker.StartResult {
	length, err := time.ParseDuration(request.Payload)
	if err != nil {
		return worker.Invalid{Reply: w.reply(), Reason: err.Error()}
	}
	w.running[request.Name] = fakeRun{run: request.Run, began: w.site.now, length: length}
	w.site.after(length, func() { w.end(request.Name, request.Run, worker.EndingDone) })
	return worker.Accepted{Reply: w.reply()}
}

func (w *fakeWorker) stop(request worker.StopRequest) worker.StopResult {
	w.end(request.Name, request.Run, worker.EndingStopped)
	return worker.Accepted{Reply: w.reply()}
}

// end ends a run, unless it has ended before, and answers the long poll.
func (w *fakeWorker) end(name string, run uint32, ending worker.Ending) {
	if w.running[name].run != run {
		return
	}
	delete(w.running, name)
	w.number++
	w.ends = append(w.ends, worker.End{Number: w.number, Name: name, Run: run, Ending: ending})
	if w.poll != nil {
		w.poll()
	}
}

// renew calls answer with the listing: at once, or for a long poll once a run has ended or the wait is over.
func (w *fakeWorker) renew(request worker.RenewRequest, answer func(worker.RenewResult)) {
	for len(w.ends) > 0 && w.ends[0].Number <= request.AcknowledgedEnd {
		w.ends = w.ends[1:]
	}
	if request.Wait == 0 || len(w.ends) > 0 {
		answer(w.list())
		return
	}
	isAnswered := false
	w.poll = func() {
		if !isAnswered {
			isAnswered = true
			w.poll = nil
			answer(w.list())
		}
	}
	w.site.after(request.Wait, w.poll)
}

func (w *fakeWorker) list() worker.Listing {
	listing := worker.Listing{Reply: w.reply(), Ended: append([]worker.End(nil), w.ends...)}
	for name, r := range w.running {
		listing.Running = append(listing.Running, worker.Run{Name: name, Run: r.run, Percent: r.percent(w.site.now)})
	}
	return listing
}

// call carries out a call of an agent to its worker and hands the agent the answer.
func (a *agent) call(effect runner.Effect) {
	back := func(event runner.Event) {
		a.site.after(workerDelay, func() { a.handle(event) })
	}
	switch e := effect.(type) {
	case runner.CallStart:
		result := a.worker.start(e.Start)
		back(runner.StartAnswered{Incarnation: e.Incarnation, Name: e.Start.Name, Run: e.Start.Run, Result: result})
	case runner.CallStop:
		result := a.worker.stop(e.Stop)
		back(runner.StopAnswered{Incarnation: e.Incarnation, Name: e.Stop.Name, Run: e.Stop.Run, Result: result})
	case runner.CallRenew:
		sent := a.site.now.Add(-workerDelay)
		a.worker.renew(e.Renew, func(result worker.RenewResult) {
			back(runner.RenewAnswered{Incarnation: e.Incarnation, Sent: sent, Fence: e.Renew.Fence, LongPoll: e.Renew.Wait > 0, Result: result})
		})
	}
}
