// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/metric"
	"sailhead/internal/timing"
)

const (
	// ownerWait is how long a request waits for its shard to have an owner, ownerPause lies between two looks.
	ownerWait  = 700 * time.Millisecond
	ownerPause = 40 * time.Millisecond
)

// askOwner asks the owner of a job's shard, here or at another entry, until one answers for it.
func (e *Entry) askOwner(ctx context.Context, job string, here func(durable.Waiter) durable.Event, there func(context.Context, string) durable.Answer) durable.Answer {
	deadline := time.Now().Add(ownerWait)
	for {
		var answer durable.Answer = durable.NotOwner{}
		switch claim, ok := e.ownerOf(job); {
		case ok && claim.Owner == e.self.Name:
			answer = e.AskLocal(ctx, here)
		case ok:
			answer = there(ctx, claim.Address)
		}
		if _, isNotOwner := answer.(durable.NotOwner); !isNotOwner || time.Now().After(deadline) || !e.pause(ownerPause) {
			return answer
		}
	}
}

// publishOwners lets other goroutines see who owns what.
func (e *Entry) publishOwners() {
	owners := e.coordinator.Owners()
	var claims [durable.Shards]*durable.Claim
	for shard := range claims {
		if claim, ok := e.coordinator.OwnerOf(durable.Shard(shard)); ok {
			claims[shard] = &claim
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.claims, e.ownerAddresses = claims, owners
}

func (e *Entry) ownerOf(job string) (durable.Claim, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if claim := e.claims[durable.ShardOf(job)]; claim != nil {
		return *claim, true
	}
	return durable.Claim{}, false
}

// SubmitDurable hands a job that must be kept to its owner and returns what it says.
func (e *Entry) SubmitDurable(ctx context.Context, job dispatch.Job) durable.Answer {
	e.metrics.Add(metric.JobsReceived, 1)
	e.postDurable(durable.ActivationRequested{})
	answer := e.askOwner(ctx, job.ID,
		func(w durable.Waiter) durable.Event { return durable.Submitted{Job: job, Waiter: w} },
		func(ctx context.Context, address string) durable.Answer { return e.peers.Submit(ctx, address, job) })
	if known, ok := answer.(durable.Known); !ok {
		_ = e.others.Log("msg", "kept job not taken", "job", job.ID, "kind", job.Kind.Name, "answer", describeDurable(answer))
	} else {
		e.metrics.Add(metric.JobsKept, 1)
		_ = e.successes.Log("msg", "kept job taken", "job", job.ID, "kind", job.Kind.Name, "state", known.State)
	}
	return answer
}

// StateDurable returns the state of a job that must be kept.
func (e *Entry) StateDurable(ctx context.Context, id string) durable.Answer {
	return e.askOwner(ctx, id,
		func(w durable.Waiter) durable.Event { return durable.StateRequested{Job: id, Waiter: w} },
		func(ctx context.Context, address string) durable.Answer { return e.peers.State(ctx, address, id) })
}

// CancelDurable ends a job that must be kept.
func (e *Entry) CancelDurable(ctx context.Context, id string) durable.Answer {
	return e.askOwner(ctx, id,
		func(w durable.Waiter) durable.Event { return durable.CancelRequested{Job: id, Waiter: w} },
		func(ctx context.Context, address string) durable.Answer { return e.peers.Cancel(ctx, address, id) })
}

// HasDurableJobs reports whether there may be jobs that must be kept: also if the store was not heard lately.
func (e *Entry) HasDurableJobs() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.lastStoreUpdate) > timing.StoreUpdateLifetime {
		return true
	}
	for _, claim := range e.claims {
		if claim != nil {
			return true
		}
	}
	return e.durableSeen
}

// Pending counts the accepted jobs of a kind of which no task has begun, at all owners; ok is false if an owner is not
// known or does not answer. A job that need not be kept is accepted by its final answer, so it is never among them.
func (e *Entry) Pending(ctx context.Context, kind string) (jobs int, ok bool) {
	if !e.HasDurableJobs() {
		return 0, true
	}
	addresses, ok := e.allOwners()
	if !ok {
		return 0, false
	}
	type count struct {
		jobs int
		ok   bool
	}
	counts := make(chan count, len(addresses))
	for _, address := range addresses {
		go func() {
			jobs, ok := e.peers.Pending(ctx, address, kind)
			counts <- count{jobs: jobs, ok: ok}
		}()
	}
	total, ok := e.PendingLocal(ctx, kind)
	for range addresses {
		each := <-counts
		total += each.jobs
		ok = ok && each.ok
	}
	return total, ok
}

// allOwners returns the addresses of the other entries that own shards; ok is false if a shard has no owner.
func (e *Entry) allOwners() (addresses []string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, claim := range e.claims {
		if claim == nil {
			return nil, false
		}
	}
	return e.ownerAddresses, true
}

// PendingLocal counts the jobs of a kind that are owned here and have not begun. The count is not complete while the
// jobs of a shard that is claimed here are not read yet, or if the context or the process ended first.
func (e *Entry) PendingLocal(ctx context.Context, kind string) (jobs int, isComplete bool) {
	waiter, answered := e.pendingWaiters.add()
	e.postDurable(durable.PendingRequested{Kind: kind, Waiter: waiter})
	reply, ok := await(ctx, e, e.pendingWaiters, waiter, answered)
	return reply.Jobs, ok && reply.IsComplete
}

// SurrenderLocal releases a shard that another entry has claimed, and returns once nothing more is started for it.
func (e *Entry) SurrenderLocal(ctx context.Context, shard durable.Shard, token durable.Token) {
	waiter, answered := e.surrenderWaiters.add()
	e.postDurable(durable.SurrenderRequested{Shard: shard, Token: token, Waiter: waiter})
	// Without an answer the other entry has left, or this process ends: both make the result needless.
	_, _ = await(ctx, e, e.surrenderWaiters, waiter, answered)
}

func describeDurable(answer durable.Answer) string {
	switch a := answer.(type) {
	case durable.Known:
		return "known"
	case durable.Unknown:
		return "unknown"
	case durable.NotOwner:
		return "no owner"
	case durable.Refused:
		return "refused: " + a.Reason
	case durable.InDoubt:
		return "in doubt: " + a.Reason
	default:
		return ""
	}
}
