// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
)

// effect is one action that the dispatcher or the coordinator asks for. Exactly one field is set.
type effect struct {
	dispatch dispatch.Effect
	durable  durable.Effect
}

// decider runs the dispatcher and the coordinator as one state machine: what one of them has for the other is handled
// here, every other effect is performed in the order in which it was emitted. It is not safe for concurrent use.
//
// The order matters. If a shard is lost while the effects of a batch are being performed, the stop of a run must not
// overtake its start: the agent would ignore the stop and then begin the run.
type decider struct {
	dispatcher  *dispatch.Dispatcher
	coordinator *durable.Coordinator
	now         func() time.Time
	perform     func(effect)
	queue       []effect
}

// handleDispatch applies events of callers and agents. Events that came together are best handled together: each call
// plans placements once.
func (d *decider) handleDispatch(events ...dispatch.Event) {
	d.addDispatch(d.dispatcher.Handle(d.now(), events...))
	d.drain()
}

// handleDurable applies an event that concerns the durable jobs.
func (d *decider) handleDurable(event durable.Event) {
	d.addDurable(d.coordinator.Handle(d.now(), event))
	d.drain()
}

// expire releases the shards at once if their lease may have run out, as after a pause of the process. It comes before
// every other event, so that a process that was frozen acts on nothing that it may no longer own.
func (d *decider) expire() {
	d.addDurable(d.coordinator.Expire(d.now()))
	d.drain()
}

func (d *decider) addDispatch(effects []dispatch.Effect) {
	for _, e := range effects {
		d.queue = append(d.queue, effect{dispatch: e})
	}
}

func (d *decider) addDurable(effects []durable.Effect) {
	for _, e := range effects {
		d.queue = append(d.queue, effect{durable: e})
	}
}

// drain performs the queued effects and those that they lead to, which are queued behind them.
func (d *decider) drain() {
	for i := 0; i < len(d.queue); i++ {
		d.apply(d.queue[i])
	}
	clear(d.queue)
	d.queue = d.queue[:0]
}

// apply hands an effect of one state machine to the other, or performs it.
func (d *decider) apply(next effect) {
	switch e := next.dispatch.(type) {
	case dispatch.RecordEnd:
		d.addDurable(d.coordinator.Handle(d.now(), durable.TaskEnded{Agent: e.Agent, Update: e.Update}))
		return
	case dispatch.DurableGivenUp:
		d.addDurable(d.coordinator.Handle(d.now(), durable.JobGivenUp{Job: e.Job}))
		return
	case dispatch.DurableStarted:
		d.addDurable(d.coordinator.Handle(d.now(), durable.JobStarted{Job: e.Job}))
		return
	}
	if e, ok := next.durable.(durable.ToDispatcher); ok {
		d.addDispatch(d.dispatcher.Handle(d.now(), e.Event))
		return
	}
	d.perform(next)
}
