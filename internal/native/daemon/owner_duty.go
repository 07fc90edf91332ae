// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sailhead/internal/metric"
	"sailhead/internal/native/guard"
	"sailhead/internal/native/model"
	"sailhead/internal/native/owner"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer"
	"sailhead/internal/native/peer/peerpb"
	"sailhead/internal/timeline"
)

// ownerDuty runs the owner's state machine in one goroutine behind a bounded ring.
type ownerDuty struct {
	node    *node
	guard   *guardDuty
	peers   guardPeer
	machine *owner.Owner
	ring    chan ownerRequest
	next    atomic.Uint64

	mu      sync.Mutex
	waiters map[owner.Waiter]chan owner.Response
	running int
	known   int
}

// guardPeer reaches the guards of other processes.
type guardPeer interface {
	Start(ctx context.Context, to ownership.Member, task guard.Task) (model.Outcome, model.Load, error)
	Report(ctx context.Context, to ownership.Member, asked guard.ReportAsked, asker ownership.MemberID) (model.Outcome, model.Load, error)
}

// ownerRequest is an event, or a function to run between events.
type ownerRequest struct {
	event owner.Event
	look  func(*owner.Owner)
}

func newOwnerDuty(n *node, machine *owner.Owner, g *guardDuty) *ownerDuty {
	return &ownerDuty{
		node: n, guard: g, peers: n.client, machine: machine,
		ring:    make(chan ownerRequest, n.settings.Ring),
		waiters: make(map[owner.Waiter]chan owner.Response),
	}
}

func (d *ownerDuty) run(ctx context.Context) {
	handle := func(request ownerRequest) { d.handle(ctx, request) }
	serve(ctx, d.ring, expireInterval, func() { handle(ownerRequest{event: owner.Ticked{}}) }, handle)
}

func (d *ownerDuty) handle(ctx context.Context, request ownerRequest) {
	if request.look != nil {
		request.look(d.machine)
		return
	}
	effects := d.machine.Handle(clock(), request.event)
	d.publish()
	for _, effect := range effects {
		d.perform(ctx, effect)
	}
}

// publish makes the numbers of submissions readable from other goroutines.
func (d *ownerDuty) publish() {
	table := d.machine.Table()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running = table.Running()
	d.known = table.Len()
}

// perform carries out an effect without holding up the duty.
func (d *ownerDuty) perform(ctx context.Context, effect owner.Effect) {
	switch e := effect.(type) {
	case owner.Respond:
		d.respond(e)
	case owner.AskFence:
		go d.askFence(ctx, e)
	case owner.StartTask:
		go d.startTask(ctx, e)
	case owner.WithdrawTask:
		go d.withdrawTask(ctx, e)
	case owner.WatchDeadline:
		time.AfterFunc(time.Until(e.At), func() { d.tell(owner.DeadlinePassed{Key: e.Key}) })
	}
}

func (d *ownerDuty) respond(e owner.Respond) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range e.Waiters {
		if waiter, ok := d.waiters[w]; ok {
			waiter <- e.Response
			delete(d.waiters, w)
		}
	}
}

// tell posts an event.
func (d *ownerDuty) tell(event owner.Event) {
	post(d.node.context, d.ring, ownerRequest{event: event})
}

// look runs a function between two events and waits for its end.
func (d *ownerDuty) look(function func(*owner.Owner)) {
	done := make(chan struct{})
	request := ownerRequest{look: func(o *owner.Owner) {
		function(o)
		close(done)
	}}
	post(d.node.context, d.ring, request)
	select {
	case <-done:
	case <-d.node.context.Done():
	}
}

// offer posts an entry's offer and waits for the response.
func (d *ownerDuty) offer(ctx context.Context, offer ownership.Offer) (owner.Response, error) {
	id := owner.Waiter(d.next.Add(1))
	waiter := make(chan owner.Response, 1)
	d.mu.Lock()
	d.waiters[id] = waiter
	d.mu.Unlock()
	d.tell(owner.Offered{Offer: offer, Waiter: id})
	select {
	case response := <-waiter:
		return response, nil
	case <-ctx.Done():
		d.mu.Lock()
		delete(d.waiters, id)
		d.mu.Unlock()
		return nil, ctx.Err()
	case <-d.node.context.Done():
		return nil, d.node.context.Err()
	}
}

func (d *ownerDuty) isIdle() bool {
	if len(d.ring) > 0 {
		return false
	}
	idle := false
	d.look(func(o *owner.Owner) { idle = o.Table().Running() == 0 })
	return idle
}

func (d *ownerDuty) inspect(response *peerpb.InspectResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	response.Submissions = uint32(d.known)
	response.RunningSubmissions = uint32(d.running)
}

// handover is a leaving owner's table, split by heir.
type handover struct {
	heirs map[ownership.MemberID][]ownership.Record
	epoch uint64
}

func (d *ownerDuty) handover() handover {
	var h handover
	d.look(func(o *owner.Owner) { h.heirs, h.epoch = o.Table().Handover() })
	return h
}

// reopen lets the owner inherit from others after a hand-over that failed.
func (d *ownerDuty) reopen() {
	d.look(func(o *owner.Owner) { o.Table().Reopen() })
}

// askFence asks an entry for its promise and tells the owner what came of it.
func (d *ownerDuty) askFence(ctx context.Context, e owner.AskFence) {
	ctx, cancel := context.WithDeadline(ctx, e.Until)
	defer cancel()
	d.node.metrics.Add(metric.FencesAsked, 1)
	d.node.metrics.Add(metric.MessagesWasted, 2)
	d.node.timeline.Add(timeline.Event{Kind: timeline.FenceAsked, Submission: string(e.Key), Task: timeline.NoTask, Detail: e.Entry.Name})
	verdict, epoch, err := d.node.client.Fence(ctx, e.Entry, e.Key, d.node.self.ID, e.Epoch)
	if err == nil {
		d.node.catchUp(ctx, peer.Versions{Epoch: epoch}, e.Entry.Address)
	}
	if _, promised := verdict.(ownership.Promised); !promised {
		d.node.metrics.Add(metric.FencesRefused, 1)
	}
	d.tell(owner.FenceAnswered{Key: e.Key, Entry: e.Entry.ID, Verdict: verdict, Epoch: epoch})
}

// ownerService serves the entries.
type ownerService struct{ duty *ownerDuty }

func (d *ownerDuty) record(kind timeline.Kind, job model.Job, detail string) {
	d.node.timeline.Add(timeline.Event{Kind: kind, Trace: job.Trace, Submission: string(job.Key), Task: timeline.NoTask, Detail: detail})
}
