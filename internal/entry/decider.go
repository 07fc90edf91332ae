// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
)

// effect is an action requested by the dispatcher or the coordinator. Exactly one field is set.
type effect struct {
	dispatch dispatch.Effect
	durable  durable.Effect
}

// decider runs the dispatcher and the coordinator as one state machine. It routes effects of one that are events for the
// other, and performs all other effects in the order in which they were emitted. It is not safe for concurrent use.
//
// The order matters: if a shard is lost while the effects of a batch are performed, the stop of a run must not overtake
// its start, because the agent would ignore the stop and then start the run.
type decider struct {
	dispatcher  *dispatch.Dispatcher
	coordinator *durable.Coordinator
	now         func() time.Time
	perform     func(effect)
	queue       []effect
}

// handleDispatch passes events to the dispatcher. Each call plans placements once, so callers should batch events.
func (d *decider) handleDispatch(events ...dispatch.Event) {
	d.addDispatch(d.dispatcher.Handle(d.now(), events...))
	d.drain()
}

// handleDurable passes an event to the coordinator.
func (d *decider) handleDurable(event durable.Event) {
	d.addDurable(d.coordinator.Handle(d.now(), event))
	d.drain()
}

// tick applies the rules of both state machines that depend on time alone. The coordinator gets the number of runs after the dispatcher has
// started those that are due, since it releases a shard without runs to a next owner that starts its tasks at once.
func (d *decider) tick() {
	d.handleDispatch(dispatch.Ticked{})
	d.handleDurable(durable.Ticked{DurableRuns: d.dispatcher.DurableRuns(d.now())})
}

// expire releases the shards if their lease may have expired, for example after the process was suspended. It must be
// called before handling any other event, so that a resumed process does not act on shards it may no longer own.
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

// drain performs the queued effects, and the effects that these cause, which are appended to the queue.
func (d *decider) drain() {
	for i := 0; i < len(d.queue); i++ {
		d.apply(d.queue[i])
	}
	clear(d.queue)
	d.queue = d.queue[:0]
}

// apply routes an effect to the other state machine, or performs it.
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
	case dispatch.ReadStoredEnds:
		d.addDurable(d.coordinator.Handle(d.now(), durable.StoredEndsRequested{Job: e.Job}))
		return
	}
	if e, ok := next.durable.(durable.ToDispatcher); ok {
		d.addDispatch(d.dispatcher.Handle(d.now(), e.Event))
		return
	}
	d.perform(next)
}
