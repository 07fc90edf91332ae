// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"sailhead/internal/clock"
	"sailhead/internal/cluster"
	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/handover"
	"sailhead/internal/logging"
	"sailhead/internal/metric"
	"sailhead/internal/session"
	"sailhead/internal/timing"
)

const (
	// tickInterval is the time between two ticks, on which the state machines handle time-outs, expiries and renewals.
	tickInterval = 10 * time.Millisecond
	// batchSize is the largest number of events handled together. The dispatcher plans over all workers once per batch;
	// without batches it would do so for each load.
	batchSize = 512
)

// run is the event loop: the only goroutine that uses the dispatcher and the coordinator.
func (e *Entry) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lateness := logging.NewLateness(e.logger, tickInterval)
	events := make([]dispatch.Event, 0, batchSize)
	loads := newLoadFilter()
	for {
		events = events[:0]
		var durableEvent durable.Event
		isTick := false
		select {
		case <-e.context.Done():
			e.accepted.flush(e.logger)
			return
		case event := <-e.events:
			events = loads.dropSuperseded(e.fillBatch(append(events, event)))
		case durableEvent = <-e.durableEvents:
		case <-ticker.C:
			lateness.Ticked(clock.Now())
			e.accepted.flush(e.logger)
			e.publishLearned(clock.Now())
			isTick = true
		}
		e.decider.expire()
		if isTick {
			e.decider.tick()
			e.publishOwners()
		}
		if len(events) > 0 {
			e.decider.handleDispatch(events...)
		}
		if durableEvent != nil {
			e.decider.handleDurable(durableEvent)
			e.publishOwners()
		}
		e.publishCounts()
	}
}

// fillBatch appends queued events, up to batchSize in all, without blocking.
func (e *Entry) fillBatch(events []dispatch.Event) []dispatch.Event {
	for len(events) < batchSize {
		select {
		case event := <-e.events:
			events = append(events, event)
		default:
			return events
		}
	}
	return events
}

// post queues an event for the dispatcher. It blocks while the queue is full.
func (e *Entry) post(event dispatch.Event) {
	select {
	case e.events <- event:
	case <-e.context.Done():
	}
}

// postDurable queues an event for the coordinator. It blocks while the queue is full.
func (e *Entry) postDurable(event durable.Event) {
	select {
	case e.durableEvents <- event:
	case <-e.context.Done():
	}
}

// publishCounts copies the counts of the state machines to where other goroutines and the metrics read them.
func (e *Entry) publishCounts() {
	jobs, _, agents := e.decider.dispatcher.Counts()
	isJobsChanged := e.jobs.Swap(int64(jobs)) != int64(jobs)
	isAgentsChanged := e.agents.Swap(int64(agents)) != int64(agents)
	if isJobsChanged || isAgentsChanged {
		e.metrics.Set(metric.JobsOpen, int64(jobs))
		e.metrics.Set(metric.Agents, int64(agents))
	}
	if ejected := e.decider.dispatcher.EjectedAgents(); ejected != e.ejectedAgents {
		e.ejectedAgents = ejected
		e.metrics.Set(metric.AgentsEjected, int64(ejected))
	}
	shards, _ := e.decider.coordinator.Counts()
	e.ownedShards.Store(int64(shards))
}

// publishLearnedInterval is the time between two updates of the learned data for other entries, which is that between two
// exchanges.
const publishLearnedInterval = timing.ExchangeInterval

// publishLearned copies what the dispatcher has learned to the directory, from which exchanges read it.
func (e *Entry) publishLearned(now time.Time) {
	if !e.settings.ShareLearned || now.Sub(e.learnedPublished) < publishLearnedInterval {
		return
	}
	e.learnedPublished = now
	kinds := e.decider.dispatcher.Learned(now)
	e.directory.SetLearned(kinds)
	e.metrics.Set(metric.KindsLearned, int64(len(kinds)))
}

// publishOwners copies the owners of the shards to where other goroutines read them.
func (e *Entry) publishOwners() {
	coordinator := e.decider.coordinator
	if !coordinator.IsActive() {
		return
	}
	var claims [durable.Shards]*durable.Claim
	for shard := range claims {
		if claim, ok := coordinator.OwnerOf(durable.Shard(shard)); ok {
			claims[shard] = &claim
		}
	}
	e.shards.set(claims, coordinator.Owners())
	e.choice.requireAll()
}

// perform executes an effect of the state machines.
func (e *Entry) perform(next effect) {
	if next.durable != nil {
		e.performDurable(next.durable)
		return
	}
	switch effect := next.dispatch.(type) {
	case dispatch.Reply:
		for _, waiter := range effect.Waiters {
			e.jobWaiters.answer(waiter, effect.Answer)
		}
	case dispatch.StateReply:
		e.stateWaiters.answer(effect.Waiter, effect.State)
	case dispatch.CancelReply:
		e.cancelWaiters.answer(effect.Waiter, effect.Known)
	case dispatch.StartTask:
		e.onSession(effect.Agent, func(agent *session.AgentConn) { agent.Start(effect.Number, effect.Task) })
	case dispatch.StopTask:
		e.onSession(effect.Agent, func(agent *session.AgentConn) { agent.Stop(effect.Name) })
	case dispatch.Reserve:
		e.onSession(effect.Agent, func(agent *session.AgentConn) { agent.Reserve(effect.Reservation) })
	case dispatch.AnswerOffer:
		e.onSession(effect.Agent, func(agent *session.AgentConn) { agent.AnswerOffer(effect.Offer) })
	case dispatch.EchoPing:
		e.onSession(effect.Agent, func(agent *session.AgentConn) { agent.EchoPing(effect.Time) })
	case dispatch.SessionEnded:
		e.sessions.endHandled(effect.Agent)
	case dispatch.CloseSession:
		e.agentIdle(effect.Agent)
	case dispatch.HandOver:
		e.handOver(effect)
	case dispatch.WithdrawHandOver:
		e.handOvers.Withdraw(effect.Number)
	case dispatch.EchoHandOverPing:
		e.handOvers.EchoPing(handover.LinkID(effect.Link), effect.Time)
	case dispatch.PropagateCrash:
		e.directory.AddCrash(clock.Now(), cluster.Crash{Agent: string(effect.Agent), Crash: effect.Crash})
	case dispatch.PropagateUnendedRun:
		e.directory.AddUnendedRun(clock.Now(), cluster.UnendedRun{Task: effect.Task, EndedBy: effect.EndedBy})
	case dispatch.ShareRecords:
		e.recordShares <- effect
	case dispatch.DecisionMade:
		e.log(effect)
	}
}

// onSession calls send with the connection to an agent. It does nothing if there is no session; the dispatcher learns of
// the session's end from an event.
func (e *Entry) onSession(id dispatch.AgentID, send func(*session.AgentConn)) {
	if s, ok := e.sessions.get(id); ok {
		send(s.conn)
	}
}
