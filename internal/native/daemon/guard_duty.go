// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sailhead/internal/metric"
	"sailhead/internal/native/guard"
	"sailhead/internal/native/model"
	"sailhead/internal/native/peer"
	"sailhead/internal/native/peer/peerpb"
	"sailhead/internal/timeline"
)

// guardTickInterval is the time between two ticks of the guard, which refuses waiting tasks by time.
const guardTickInterval = 20 * time.Millisecond

// drainReason is who drains a worker. The worker drains while any reason is set.
type drainReason int

const (
	byOperator drainReason = iota
	byPlatform
	byStop
	drainReasons
)

// guardDuty runs the guard's state machine in one goroutine behind a bounded ring.
type guardDuty struct {
	node *node
	// runAt runs a task at the backend server.
	runAt   func(context.Context, guard.Task) model.Outcome
	machine *guard.Guard
	ring    chan guardRequest
	// waiters belongs to the duty's goroutine.
	waiters map[model.TaskID][]chan model.Outcome

	mu       sync.Mutex
	latest   model.Load
	idle     bool
	draining [drainReasons]bool
}

// guardRequest is an event, with a waiter for the task's outcome or a function to run between events.
type guardRequest struct {
	event  guard.Event
	task   model.TaskID
	waiter chan model.Outcome
	run    func(*guard.Guard)
}

func newGuardDuty(n *node, runAt func(context.Context, guard.Task) model.Outcome, limits guard.Limits) *guardDuty {
	machine := guard.New(limits, newRandom())
	return &guardDuty{
		node: n, runAt: runAt, machine: machine, idle: true,
		ring:    make(chan guardRequest, n.settings.Ring),
		waiters: make(map[model.TaskID][]chan model.Outcome),
		latest:  machine.Load(time.Now()),
	}
}

func (d *guardDuty) run(ctx context.Context) {
	serve(ctx, d.ring, guardTickInterval, func() { d.handle(guardRequest{event: guard.Ticked{}}) }, d.handle)
}

// handle applies one request to the state machine and performs the effects.
func (d *guardDuty) handle(request guardRequest) {
	if request.run != nil {
		request.run(d.machine)
		return
	}
	if request.waiter != nil {
		d.waiters[request.task] = append(d.waiters[request.task], request.waiter)
	}
	effects := d.machine.Handle(time.Now(), request.event)
	d.publish()
	for _, effect := range effects {
		switch e := effect.(type) {
		case guard.RunTask:
			go d.runTask(e.Task)
		case guard.Answer:
			d.answer(e)
		}
	}
}

// publish lets other goroutines read the load.
func (d *guardDuty) publish() {
	load := d.machine.Load(time.Now())
	load.Worker = d.node.self.Name
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latest = load
	d.idle = d.machine.IsIdle()
}

// answer wakes all that wait for the outcome of a task.
func (d *guardDuty) answer(answer guard.Answer) {
	for _, waiter := range d.waiters[answer.ID] {
		waiter <- answer.Outcome
	}
	delete(d.waiters, answer.ID)
	if _, refused := answer.Outcome.(model.TaskNotStarted); refused {
		d.node.metrics.Add(metric.TasksRefused, 1)
	}
}

// runTask runs a task at the backend server and posts its end.
func (d *guardDuty) runTask(task guard.Task) {
	d.node.metrics.Add(metric.TasksStarted, 1)
	d.record(timeline.TaskStarted, task, "")
	outcome := d.runAt(d.node.context, task)
	d.node.metrics.Add(metric.TasksEnded, 1)
	d.record(timeline.TaskEnded, task, describeOutcome(outcome))
	d.post(guardRequest{event: guard.Ended{ID: task.ID, Outcome: outcome}})
}

// record adds an event of a task at this worker to the time line.
func (d *guardDuty) record(kind timeline.Kind, task guard.Task, detail string) {
	d.node.timeline.Add(timeline.Event{
		Kind: kind, Trace: task.Trace, Submission: string(task.ID.Key), Task: int(task.ID.Index),
		Worker: d.node.self.Name, Detail: detail,
	})
}

// post hands a request to the duty and waits while its ring is full.
func (d *guardDuty) post(request guardRequest) {
	post(d.node.context, d.ring, request)
}

// postAndWait hands an event to the duty and waits for the outcome of its task.
func (d *guardDuty) postAndWait(ctx context.Context, id model.TaskID, event guard.Event) (model.Outcome, error) {
	waiter := make(chan model.Outcome, 1)
	d.post(guardRequest{event: event, task: id, waiter: waiter})
	select {
	case outcome := <-waiter:
		return outcome, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-d.node.context.Done():
		return nil, d.node.context.Err()
	}
}

// load returns the latest load.
func (d *guardDuty) load() model.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latest
}

func (d *guardDuty) isIdle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.idle && len(d.ring) == 0
}

// setDraining starts or ends one reason to refuse new tasks.
func (d *guardDuty) setDraining(reason drainReason, draining bool) {
	d.mu.Lock()
	if d.draining[reason] == draining {
		d.mu.Unlock()
		return
	}
	d.draining[reason] = draining
	leaving := false
	for _, each := range d.draining {
		leaving = leaving || each
	}
	d.mu.Unlock()
	d.node.timeline.Add(timeline.Event{Kind: timeline.WorkerDrained, Task: timeline.NoTask, Worker: d.node.self.Name, Detail: fmt.Sprint(leaving)})
	d.post(guardRequest{event: guard.Drained{Leaving: leaving}})
}

// inspect adds the load and the tasks to the answer to an operator.
func (d *guardDuty) inspect(response *peerpb.InspectResponse) {
	response.Load = peer.LoadToWire(d.load())
	done := make(chan []guard.Active, 1)
	d.post(guardRequest{run: func(g *guard.Guard) { done <- g.ActiveTasks() }})
	select {
	case active := <-done:
		for _, each := range active {
			response.Tasks = append(response.Tasks, &peerpb.RunningTask{
				Key: string(each.Task.ID.Key), Task: each.Task.ID.Index, Kind: each.Task.Service + "/" + each.Task.Kind,
				Owner: each.Task.Owner, SinceUnixNs: each.Since.UnixNano(), Queued: each.Queued,
			})
		}
	case <-d.node.context.Done():
	}
}

// start queues a task for an owner in this or another process.
func (d *guardDuty) start(ctx context.Context, task guard.Task) (model.Outcome, error) {
	return d.postAndWait(ctx, task.ID, guard.StartAsked{Task: task})
}
