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

// DurableStore is the platform's store as the coordinator uses it. Each method makes its calls and returns what came of
// them; calls may block and are made from goroutines of their own.
type DurableStore interface {
	// Lease grants a lease for a time, or renews the one given; 0 is none.
	Lease(lease durable.Lease, time time.Duration) durable.LeaseResult
	// EndLease ends a lease. A failure is not reported: the lease runs out by itself.
	EndLease(lease durable.Lease)
	// Claim writes a claim if the shard has none.
	Claim(claim durable.Claim) durable.ClaimResult
	// LoadShard reads the batches of a shard in the order of their sequence numbers.
	LoadShard(shard durable.Shard) ([]durable.StoredBatch, error)
	// Commit writes all parts of a commit, or nothing.
	Commit(commit durable.Commit) durable.CommitResult
}

const (
	// statusTime is how long the state of a durable job is known after its end. The platform asks for 120 s (status_s).
	statusTime = 130 * time.Second
	// commitDivisor divides the store's rate of writes for the commits of all entries: half of it is left for claims, members and the
	// operators.
	commitDivisor = 2
)

// newCoordinator returns the coordinator of this entry's shards.
func (e *Entry) newCoordinator() *durable.Coordinator {
	self := durable.Claim{Owner: e.self.Name, Address: e.self.Address, Incarnation: e.self.Incarnation}
	return durable.New(self, durable.Limits{
		Jobs: e.settings.Jobs, StatusTime: statusTime, LeaseTime: timing.ClaimLease, Commits: e.settings.StoreWrites / commitDivisor,
	})
}

// performDurable carries out an effect of the coordinator.
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
		// Calls to the store and to other entries may block: the loop does not wait for them.
		go e.call(effect)
	}
}

// call makes one call for the coordinator and posts the result.
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
	case durable.Load:
		batches, err := store.LoadShard(effect.Shard)
		e.postDurable(durable.Loaded{Shard: effect.Shard, Token: effect.Token, Batches: batches, Err: err})
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
