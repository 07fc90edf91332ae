// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/durable"
	"sailhead/internal/metric"
	"sailhead/internal/timing"
)

// DurableStore is the platform's store as the keeper of jobs sees it. No method decides anything: each makes its calls and
// tells what came of them.
type DurableStore interface {
	// Lease asks for a lease, or renews the one given.
	Lease(lease durable.Lease, time time.Duration) durable.LeaseResult
	// EndLease ends a lease; an answer is not waited for long.
	EndLease(lease durable.Lease)
	// Claim writes a claim if the shard has none.
	Claim(claim durable.Claim) durable.ClaimResult
	// LoadShard reads the batches of a shard in order.
	LoadShard(shard durable.Shard) ([]durable.StoredBatch, error)
	// Commit writes all parts of a commit, or nothing.
	Commit(commit durable.Commit) durable.CommitResult
}

const (
	// statusTime is how long the state of a kept job is known after its end, beyond what the platform asks for.
	statusTime = 130 * time.Second
	// commitShare is the part of the store's rate of writes that commits may take.
	commitShare = 2
	// durableTimeout is how long a request waits for the store to have written what it asks for.
	durableTimeout = 1500 * time.Millisecond
	// releaseMargin is how long before the end of a planned stop the shards are given up at the latest.
	releaseMargin = 1200 * time.Millisecond
)

// newCoordinator returns the keeper of an entry.
func (e *Entry) newCoordinator() *durable.Coordinator {
	self := durable.Claim{Owner: e.self.Name, Address: e.self.Address, Incarnation: e.self.Incarnation}
	return durable.New(self, durable.Limits{
		Jobs: e.settings.Jobs, StatusTime: statusTime, LeaseTime: timing.ClaimLease, Commits: e.settings.StoreWrites / commitShare,
	})
}

func (e *Entry) postDurable(event durable.Event) {
	select {
	case e.durableEvents <- event:
	case <-e.context.Done():
	}
}

// handleDurable gives the keeper an event and does what it wants done.
func (e *Entry) handleDurable(event durable.Event) {
	e.applyDurable(e.coordinator.Handle(time.Now(), event))
}

// applyDurable does what the keeper wants done. Calls to the store and to other entries are made beside.
func (e *Entry) applyDurable(effects []durable.Effect) {
	for _, effect := range effects {
		switch ev := effect.(type) {
		case durable.Reply:
			e.durableWaiters.answer(ev.Waiter, ev.Answer)
		case durable.PendingReply:
			e.pendingWaiters.answer(ev.Waiter, ev)
		case durable.SurrenderReply:
			e.surrenderWaiters.answer(ev.Waiter, ev)
		case durable.ToDispatcher:
			e.dispatch(ev.Event)
		case durable.AcknowledgeEnd:
			e.acknowledgeEnd(ev)
		case durable.DecisionMade:
			e.logDurable(ev)
		default:
			go e.callDurableStore(effect)
		}
	}
}

// callDurableStore makes one call and posts what came of it.
func (e *Entry) callDurableStore(effect durable.Effect) {
	switch ev := effect.(type) {
	case durable.CallLease:
		asked := time.Now()
		e.postDurable(durable.LeaseAnswered{Lease: ev.Lease, Sent: asked, Result: e.settings.Durable.Lease(ev.Lease, ev.Time)})
	case durable.EndLease:
		e.settings.Durable.EndLease(ev.Lease)
	case durable.CallClaim:
		e.postDurable(durable.ClaimAnswered{Shard: ev.Claim.Shard, Lease: ev.Claim.Lease, Result: e.settings.Durable.Claim(ev.Claim)})
	case durable.Load:
		batches, err := e.settings.Durable.LoadShard(ev.Shard)
		e.postDurable(durable.Loaded{Shard: ev.Shard, Token: ev.Token, Batches: batches, Err: err})
	case durable.Commit:
		e.metrics.Add(metric.Commits, 1)
		e.postDurable(durable.Committed{Number: ev.Number, Result: e.settings.Durable.Commit(ev)})
	case durable.CallSurrender:
		isSure := e.peers.Surrender(e.context, ev.Address, ev.Shard, ev.Token)
		e.postDurable(durable.Surrendered{Shard: ev.Shard, Token: ev.Token, IsConfirmed: isSure})
	}
}

func (e *Entry) acknowledgeEnd(ev durable.AcknowledgeEnd) {
	if s := e.session(ev.Agent); s != nil {
		s.AcknowledgeEnd(ev.Name, ev.Run)
	}
}

func (e *Entry) logDurable(n durable.DecisionMade) {
	shards, jobs := e.coordinator.Counts()
	_ = level.Info(e.logger).Log("msg", n.Decision, "shard", n.Shard, "token", n.Token, "detail", n.Detail, "shards", shards, "kept_jobs", jobs)
}

// AskLocal posts an event with a waiter to the coordinator and returns its answer.
func (e *Entry) AskLocal(ctx context.Context, event func(durable.Waiter) durable.Event) durable.Answer {
	waiter, answered := e.durableWaiters.add()
	defer e.durableWaiters.remove(waiter)
	e.postDurable(event(waiter))
	select {
	case answer := <-answered:
		return answer
	case <-time.After(durableTimeout):
		return durable.InDoubt{Reason: "the store does not answer"}
	case <-ctx.Done():
		return durable.InDoubt{Reason: "the caller has left"}
	case <-e.context.Done():
		return durable.InDoubt{Reason: "the entry has stopped"}
	}
}
