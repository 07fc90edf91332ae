// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/clock"
	"sailhead/internal/durable"
	"sailhead/internal/metric"
	"sailhead/internal/session"
	"sailhead/internal/timing"
)

// DurableStore is the part of the platform's store that the coordinator uses. Methods may block, and each call is made
// from its own goroutine.
type DurableStore interface {
	// Lease renews the given lease for a time, or grants a new one if the lease is 0.
	Lease(lease durable.Lease, time time.Duration) durable.LeaseResult
	// EndLease ends a lease. Failures are not reported, since the lease expires by itself.
	EndLease(lease durable.Lease)
	// Claim writes a claim if the shard is unclaimed.
	Claim(claim durable.Claim) durable.ClaimResult
	// HasJobs reads whether the store has ever held a durable job.
	HasJobs() (bool, error)
	// LoadShard reads the batches of a shard in the order of their sequence numbers.
	LoadShard(shard durable.Shard) ([]durable.StoredBatch, error)
	// ReadEnds reads the records of stored ends of a shard.
	ReadEnds(shard durable.Shard) ([]durable.StoredEnds, error)
	// RemoveEnds removes a record of stored ends if it is unchanged. Failures are not reported, since the record is found again.
	RemoveEnds(record durable.StoredEnds)
	// Commit writes a commit atomically.
	Commit(commit durable.Commit) durable.CommitResult
}

const (
	// statusRetention is how long the state of a durable job is kept after its end. The platform requires 120 s (status_s).
	statusRetention = 130 * time.Second
	// commitDivisor is the divisor of the store's write rate that gives the rate for the commits of all entries. The other
	// half is reserved for claims, members and operators.
	commitDivisor = 2
)

// newCoordinator returns the coordinator of this entry's shards.
func (e *Entry) newCoordinator() *durable.Coordinator {
	self := durable.Claim{Owner: e.self.Name, Address: e.self.Address, Incarnation: e.self.Incarnation}
	return durable.New(self, durable.Limits{
		Jobs: e.settings.Jobs, StatusRetention: statusRetention, LeaseTTL: timing.ClaimLease, CommitsPerSecond: e.settings.StoreWrites / commitDivisor,
	})
}

// performDurable executes an effect of the coordinator.
func (e *Entry) performDurable(effect durable.Effect) {
	switch effect := effect.(type) {
	case durable.Reply:
		e.durableWaiters.answer(effect.Waiter, effect.Answer)
	case durable.PendingReply:
		e.pendingWaiters.answer(effect.Waiter, effect)
	case durable.SurrenderReply:
		e.surrenderWaiters.answer(effect.Waiter, effect)
	case durable.AcknowledgeEnd:
		e.onSession(effect.Agent, func(agent *session.AgentConn) { agent.AcknowledgeEnd(effect.Name, effect.Run) })
	case durable.DecisionMade:
		e.logDurable(effect)
	default:
		// Calls to the store and to other entries may block and must not delay the event loop.
		go e.call(effect)
	}
}

// call executes one call for the coordinator and posts the result.
func (e *Entry) call(effect durable.Effect) {
	store := e.settings.Durable
	switch effect := effect.(type) {
	case durable.CallLease:
		sent := clock.Now()
		e.postDurable(durable.LeaseAnswered{Lease: effect.Lease, Sent: sent, Result: store.Lease(effect.Lease, effect.Time)})
	case durable.EndLease:
		store.EndLease(effect.Lease)
	case durable.CallClaim:
		claim := effect.Claim
		e.postDurable(durable.ClaimAnswered{Shard: claim.Shard, Lease: claim.Lease, Result: store.Claim(claim)})
	case durable.CallHasJobs:
		hasJobs, err := store.HasJobs()
		e.postDurable(durable.HasJobsAnswered{HasJobs: hasJobs, Err: err})
	case durable.Load:
		batches, err := store.LoadShard(effect.Shard)
		e.postDurable(durable.Loaded{Shard: effect.Shard, Token: effect.Token, Batches: batches, Err: err})
	case durable.CallReadEnds:
		records, err := store.ReadEnds(effect.Shard)
		e.postDurable(durable.StoredEndsAnswered{Shard: effect.Shard, Token: effect.Token, Records: records, Err: err})
	case durable.CallRemoveEnds:
		store.RemoveEnds(effect.Record)
	case durable.Commit:
		e.metrics.Add(metric.Commits, 1)
		e.postDurable(durable.Committed{Number: effect.Number, Result: store.Commit(effect)})
	case durable.CallSurrender:
		isConfirmed := e.peers.Surrender(e.context, effect.Address, effect.Shard, effect.Token)
		e.postDurable(durable.Surrendered{Shard: effect.Shard, Token: effect.Token, IsConfirmed: isConfirmed})
	}
}

func (e *Entry) logDurable(decision durable.DecisionMade) {
	shards, jobs := e.decider.coordinator.Counts()
	_ = level.Info(e.logger).Log("msg", decision.Decision, "shard", decision.Shard, "token", decision.Token,
		"detail", decision.Detail, "shards", shards, "kept_jobs", jobs)
}
