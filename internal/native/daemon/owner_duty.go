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
	// next is the number of the last waiter.
	next atomic.Uint64

	mu      sync.Mutex
	waiters map[owner.Waiter]chan owner.Response
	// running and known are the numbers of submissions without an answer and of all that the table has.
	running int
	known   int
}

// guardPeer calls the guards of other processes.
type guardPeer interface {
	Start(ctx context.Context, to ownership.Member, task guard.Task) (model.Outcome, model.Load, error)
	Report(ctx context.Context, to ownership.Member, asked guard.ReportAsked, asker ownership.MemberID) (model.Outcome, model.Load, error)
}

// ownerRequest is an event, or a function to run between events.
type ownerRequest struct {
	event owner.Event
	run   func(*owner.Owner)
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
	if request.run != nil {
		request.run(d.machine)
		return
	}
	effects := d.machine.Handle(time.Now(), request.event)
	d.publish()
	for _, effect := range effects {
		d.perform(ctx, effect)
	}
}

// publish lets other goroutines read the numbers of submissions.
func (d *ownerDuty) publish() {
	table := d.machine.Table()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running = table.Running()
	d.known = table.Len()
}

// perform carries out an effect. What waits for a peer gets a goroutine of its own, so that the duty goes on.
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
		time.AfterFunc(time.Until(e.At), func() { d.post(owner.DeadlinePassed{Key: e.Key}) })
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

// post hands an event to the duty and waits while its ring is full.
func (d *ownerDuty) post(event owner.Event) {
	post(d.node.context, d.ring, ownerRequest{event: event})
}

// runInLoop runs a function on the duty's goroutine, between two events, and waits for its end.
func (d *ownerDuty) runInLoop(function func(*owner.Owner)) {
	done := make(chan struct{})
	request := ownerRequest{run: func(o *owner.Owner) {
		function(o)
		close(done)
	}}
	post(d.node.context, d.ring, request)
	select {
	case <-done:
	case <-d.node.context.Done():
	}
}

// offer hands an entry's offer to the duty and waits for the response.
func (d *ownerDuty) offer(ctx context.Context, offer ownership.Offer) (owner.Response, error) {
	id := owner.Waiter(d.next.Add(1))
	waiter := make(chan owner.Response, 1)
	d.mu.Lock()
	d.waiters[id] = waiter
	d.mu.Unlock()
	d.post(owner.Offered{Offer: offer, Waiter: id})
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
	d.runInLoop(func(o *owner.Owner) { idle = o.Table().Running() == 0 })
	return idle
}

func (d *ownerDuty) inspect(response *peerpb.InspectResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	response.Submissions = uint32(d.known)
	response.RunningSubmissions = uint32(d.running)
}

// askFence asks an entry for its promise and posts its verdict. Without an answer the verdict is CannotTell.
func (d *ownerDuty) askFence(ctx context.Context, e owner.AskFence) {
	ctx, cancel := context.WithDeadline(ctx, e.Until)
	defer cancel()
	d.node.metrics.Add(metric.FencesAsked, 1)
	d.node.metrics.Add(metric.MessagesWasted, messagesPerCall)
	d.node.timeline.Add(timeline.Event{Kind: timeline.FenceAsked, Submission: string(e.Key), Task: timeline.NoTask, Detail: e.Entry.Name})
	verdict, epoch, err := d.node.client.Fence(ctx, e.Entry, e.Key, d.node.self.ID, e.Epoch)
	if err == nil {
		d.node.catchUp(ctx, peer.Versions{Epoch: epoch}, e.Entry.Address)
	}
	if _, promised := verdict.(ownership.Promised); !promised {
		d.node.metrics.Add(metric.FencesRefused, 1)
	}
	d.post(owner.FenceAnswered{Key: e.Key, Entry: e.Entry.ID, Verdict: verdict, Epoch: epoch})
}
