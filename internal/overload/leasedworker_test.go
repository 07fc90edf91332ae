// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sailhead/internal/worker"
)

const (
	// maxWorkerLease is the longest lease that a worker grants, on its clock, and maxWorkerStop the longest time from the answer to a stop
	// to the end of the run. Sources: hold_max_ms and stop_ms.
	maxWorkerLease = time.Second
	maxWorkerStop  = 50 * time.Millisecond
	// slowClock is the rate of the slowest clock that a worker may have.
	slowClock = 0.98
	// failPayload is the prefix of the run time in the payload of a job whose first task fails earlyEnd after its start. With crashPayload it
	// crashes its worker then.
	failPayload = "fail:"
	earlyEnd    = 60 * time.Millisecond
)

// leasedRun is a run on a leasedWorker.
type leasedRun struct {
	name       string
	run        uint32
	isStopping bool
	// stopCalled is when the agent first called to stop the run, and lastLease when the worker's lease was last extended.
	stopCalled, lastLease time.Time
}

// describeStop describes why the run still goes on.
func (r *leasedRun) describeStop(now time.Time) string {
	stop := "whose stop no agent has called for"
	if !r.stopCalled.IsZero() {
		stop = fmt.Sprintf("whose stop was first called for %s ago", now.Sub(r.stopCalled))
	}
	return fmt.Sprintf("%s (being stopped: %t), and whose lease was last extended %s ago", stop, r.isStopping, now.Sub(r.lastLease))
}

// leasedWorker is a simulated worker that follows the users' protocol for running tasks: one lease for all runs, fencing tokens, and run
// numbers that are refused once a run with that number or a higher one was stopped or has ended.
type leasedWorker struct {
	cluster *cluster
	agent   *clusterAgent
	// id is the current incarnation, lives the number of them so far, and isDown is set between two of them.
	id     string
	lives  int
	isDown bool
	// isDraining is set once the current incarnation says that it drains.
	isDraining bool
	// stopTime returns how long the next stop takes.
	stopTime func() time.Duration
	// rate is the rate of the worker's clock: 1, or less if it is slow.
	rate float64
	// suspended is the time for which the worker's clock has stood still.
	suspended time.Duration
	// leaseUntil is the end of the lease on the worker's clock.
	leaseUntil time.Duration
	fence      uint64
	runs       map[string]*leasedRun
	// highest is the highest number of a run that was stopped or has ended, by task.
	highest map[string]uint32
	ends    []worker.End
	lastEnd uint64
	// notes are the ends that were taken note of, by an acknowledgement, while they were listed.
	notes []endNote
	// lapses are the times at which the lease ran out.
	lapses []time.Time
	// polls are the pending long polls.
	polls []*workerPoll
	// heartbeats counts the heartbeats sent.
	heartbeats uint64
}

// workerPoll is a long poll that waits on a leasedWorker.
type workerPoll struct{ answer func(worker.RenewResult) }

func newLeasedWorker(a *clusterAgent) *leasedWorker {
	w := &leasedWorker{cluster: a.cluster, agent: a, rate: 1, stopTime: func() time.Duration { return maxWorkerStop }}
	w.startLife()
	return w
}

// startLife starts a new incarnation. It knows nothing of the earlier ones.
func (w *leasedWorker) startLife() {
	w.lives++
	w.id = fmt.Sprintf("w%d-%d", w.agent.number, w.lives)
	w.isDown, w.isDraining, w.fence, w.leaseUntil, w.lastEnd = false, false, 0, 0, 0
	w.runs, w.highest, w.ends, w.polls = make(map[string]*leasedRun), make(map[string]uint32), nil, nil
}

// crash ends the incarnation with all its runs; the next one starts after the given time.
func (w *leasedWorker) crash(downtime time.Duration) {
	if w.isDown {
		return
	}
	w.cluster.record("%s crashes", w.id)
	w.isDown = true
	for _, poll := range w.polls {
		poll.answer(worker.NoResponse{Reason: "connection closed", IsClosed: true})
	}
	w.cluster.after(downtime, w.startLife)
}

// clock returns the time on the worker's clock.
func (w *leasedWorker) clock() time.Duration {
	return time.Hour + time.Duration(w.rate*float64(w.cluster.now.Sub(origin)-w.suspended))
}

func (w *leasedWorker) reply() worker.Reply { return worker.Reply{Clock: w.clock()} }

// record returns the content of the worker's next heartbeat.
func (w *leasedWorker) record() worker.Record {
	w.heartbeats++
	capacity := worker.Resources{CPU: workerCPU, Memory: 128 << 10}
	return worker.Record{ID: w.id, Service: service, Capacity: capacity, Sequence: w.heartbeats, Clock: w.clock(), Draining: w.isDraining}
}

// reject returns why a call to an incarnation is not carried out, or nil if it is. A call that is carried out raises the fence.
func (w *leasedWorker) reject(incarnation string, fence uint64) worker.Failure {
	switch {
	case w.isDown:
		return worker.Unreachable{Reason: "connection refused"}
	case incarnation != w.id:
		return worker.WrongIncarnation{Reply: w.reply()}
	case fence < w.fence:
		return worker.Fenced{Reply: w.reply()}
	default:
		w.fence = fence
		return nil
	}
}

// start begins a run. A start that is too late by the lease that it carries is rejected, even if the worker has a longer one.
func (w *leasedWorker) start(incarnation string, request worker.StartRequest) worker.StartResult {
	if failure := w.reject(incarnation, request.Fence); failure != nil {
		return failure
	}
	present, isPresent := w.runs[request.Name]
	switch {
	case isPresent && present.run == request.Run:
		w.extendLease(request.LeaseUntil)
		return worker.Accepted{Reply: w.reply()}
	case isPresent, request.Run <= w.highest[request.Name]:
		w.extendLease(request.LeaseUntil)
		return worker.StaleRun{Reply: w.reply()}
	case request.LeaseUntil <= w.clock():
		return worker.TooLate{Reply: w.reply()}
	case (len(w.runs)+1)*taskCPU > workerCPU:
		w.extendLease(request.LeaseUntil)
		return worker.InsufficientResources{Reply: w.reply()}
	}
	w.begin(&leasedRun{name: request.Name, run: request.Run}, request.Payload)
	w.extendLease(request.LeaseUntil)
	return worker.Accepted{Reply: w.reply()}
}

// begin begins a run. The payload is its run time; if it has a prefix, the first task of the job fails or crashes its worker early.
func (w *leasedWorker) begin(run *leasedRun, payload string) {
	w.cluster.checkBegin(w, run)
	w.runs[run.name] = run
	isFirst := strings.HasSuffix(run.name, ".0.0.0")
	runTime, fails := strings.CutPrefix(payload, failPayload)
	runTime, crashes := strings.CutPrefix(runTime, crashPayload)
	length, err := time.ParseDuration(runTime)
	switch {
	case err != nil:
		panic(err)
	case fails && isFirst:
		w.cluster.after(earlyEnd, func() { w.end(run, worker.EndingFailed) })
	case crashes && isFirst:
		w.cluster.after(earlyEnd, func() {
			if w.runs[run.name] == run {
				w.crash(time.Second)
			}
		})
	default:
		w.cluster.after(length, func() { w.end(run, worker.EndingDone) })
	}
}

// stop ends a run within maxWorkerStop, and makes the worker refuse it if it has not begun.
func (w *leasedWorker) stop(incarnation string, request worker.StopRequest) worker.StopResult {
	if failure := w.reject(incarnation, request.Fence); failure != nil {
		return failure
	}
	w.highest[request.Name] = max(w.highest[request.Name], request.Run)
	if run, ok := w.runs[request.Name]; ok && run.run <= request.Run && !run.isStopping {
		run.isStopping = true
		w.cluster.record("%s stops %s run %d", w.id, run.name, run.run)
		w.cluster.after(w.stopTime(), func() { w.end(run, worker.EndingStopped) })
	}
	return worker.Accepted{Reply: w.reply()}
}

// renew extends the lease and answers with the listing: at once, or for a long poll when a run ends or the time of the poll is over.
func (w *leasedWorker) renew(incarnation string, request worker.RenewRequest, answer func(worker.RenewResult)) {
	if failure := w.reject(incarnation, request.Fence); failure != nil {
		answer(failure)
		return
	}
	w.extendLease(request.LeaseUntil)
	for _, end := range w.ends {
		if end.Number <= request.AcknowledgedEnd {
			w.notes = append(w.notes, endNote{task: end.Name, run: end.Run, at: w.cluster.now})
		}
	}
	w.ends = slices.DeleteFunc(w.ends, func(e worker.End) bool { return e.Number <= request.AcknowledgedEnd })
	if request.Wait == 0 || len(w.ends) > 0 {
		answer(w.list())
		return
	}
	poll := &workerPoll{}
	poll.answer = func(result worker.RenewResult) {
		w.polls = slices.DeleteFunc(slices.Clone(w.polls), func(p *workerPoll) bool { return p == poll })
		poll.answer = func(worker.RenewResult) {}
		answer(result)
	}
	w.polls = append(w.polls, poll)
	w.cluster.after(request.Wait, func() { poll.answer(w.list()) })
}

// extendLease extends the lease of all runs, and never shortens it.
func (w *leasedWorker) extendLease(until time.Duration) {
	until = min(until, w.clock()+maxWorkerLease)
	if until <= w.leaseUntil {
		return
	}
	w.leaseUntil = until
	for _, run := range w.runs {
		run.lastLease = w.cluster.now
	}
	left := time.Duration(float64(until-w.clock())/w.rate) + time.Microsecond
	id := w.id
	w.cluster.after(left, func() { w.expireLease(id) })
}

// expireLease ends all runs if the lease is over.
func (w *leasedWorker) expireLease(incarnation string) {
	if w.id != incarnation || w.clock() < w.leaseUntil {
		return
	}
	w.lapses = append(w.lapses, w.cluster.now)
	for _, name := range slices.Sorted(maps.Keys(w.runs)) {
		w.end(w.runs[name], worker.EndingLeaseExpired)
	}
}

// end ends a run, unless it has already ended, and answers the pending long polls.
func (w *leasedWorker) end(run *leasedRun, ending worker.Ending) {
	if w.isDown || w.runs[run.name] != run {
		return
	}
	if run.isStopping {
		ending = worker.EndingStopped
	}
	w.cluster.record("%s: %s run %d ends (%d)", w.id, run.name, run.run, ending)
	w.cluster.recordEnd(w, run.name, ending)
	delete(w.runs, run.name)
	w.highest[run.name] = max(w.highest[run.name], run.run)
	w.lastEnd++
	w.ends = append(w.ends, worker.End{Number: w.lastEnd, Name: run.name, Run: run.run, Ending: ending})
	for _, poll := range w.polls {
		poll.answer(w.list())
	}
}

func (w *leasedWorker) list() worker.Listing {
	listing := worker.Listing{Reply: w.reply(), Ended: slices.Clone(w.ends)}
	for _, name := range slices.Sorted(maps.Keys(w.runs)) {
		listing.Running = append(listing.Running, worker.Run{Name: name, Run: w.runs[name].run, Percent: 1})
	}
	return listing
}
