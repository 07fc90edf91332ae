// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync"
	"time"

	"sailhead/internal/clock"
	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/metric"
	"sailhead/internal/timing"
)

// shardView is the state of the shards as last published by the event loop. It is safe for concurrent use.
type shardView struct {
	mu sync.Mutex
	// claims holds the owners by shard; nil for a shard without an owner.
	claims [durable.Shards]*durable.Claim
	// addresses are the addresses of the other entries that own shards.
	addresses []string
	// hadDurableJobs is set once there was a durable job. Until then no owner needs to be asked about jobs.
	hadDurableJobs bool
	// updated is when the store was last read or last answered a watch; zero before that.
	updated time.Time
}

func (v *shardView) set(claims [durable.Shards]*durable.Claim, addresses []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.claims, v.addresses = claims, addresses
}

// storeUpdated records that the store answered now, and reports whether it is the first answer with durable jobs.
func (v *shardView) storeUpdated(now time.Time, hasDurableJobs bool) (isFirst bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.updated = now
	isFirst = hasDurableJobs && !v.hadDurableJobs
	v.hadDurableJobs = v.hadDurableJobs || hasDurableJobs
	return isFirst
}

// ownerOf returns the claim of a job's shard; ok is false if no owner is known.
func (v *shardView) ownerOf(job string) (claim durable.Claim, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if claim := v.claims[durable.ShardOf(job)]; claim != nil {
		return *claim, true
	}
	return durable.Claim{}, false
}

// otherOwners returns the addresses of the other entries that own shards; ok is false if a shard has no owner.
func (v *shardView) otherOwners() (addresses []string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, claim := range v.claims {
		if claim == nil {
			return nil, false
		}
	}
	return v.addresses, true
}

// mayHaveJobs reports whether there may be durable jobs. It returns true if the store has not answered for
// timing.StoreDataMaxAge, because another entry may have accepted the first durable job meanwhile.
func (v *shardView) mayHaveJobs(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Sub(v.updated) > timing.StoreDataMaxAge {
		return true
	}
	for _, claim := range v.claims {
		if claim != nil {
			return true
		}
	}
	return v.hadDurableJobs
}

const (
	// ownerWait is how long a request waits for its shard to have an owner before the caller is asked to retry later.
	ownerWait = 700 * time.Millisecond
	// ownerPollInterval is the time between two attempts to reach the owner.
	ownerPollInterval = 40 * time.Millisecond
	// durableTimeout limits the wait for an answer from the coordinator, which may wait for a write to the store. It equals
	// the time-out of durable.Client, so that forwarded and local requests time out alike.
	durableTimeout = 1500 * time.Millisecond
)

// ownerRequest is a request to the owner of a job's shard, in its local and its remote form.
type ownerRequest struct {
	job string
	// local returns the event for this entry's coordinator, remote calls the owner at an address.
	local  func(durable.Waiter) durable.Event
	remote func(ctx context.Context, address string) durable.Answer
}

// askOwner sends a request to the owner of a job's shard, which may be this entry. It retries for up to ownerWait while
// the shard has no owner or the asked entry is not the owner.
func (e *Entry) askOwner(ctx context.Context, request ownerRequest) durable.Answer {
	deadline := clock.Now().Add(ownerWait)
	for {
		answer := e.askOwnerOnce(ctx, request)
		if _, isNotOwner := answer.(durable.NotOwner); !isNotOwner {
			return answer
		}
		if clock.Now().After(deadline) || !e.pause(ownerPollInterval) {
			return answer
		}
	}
}

func (e *Entry) askOwnerOnce(ctx context.Context, request ownerRequest) durable.Answer {
	claim, ok := e.shards.ownerOf(request.job)
	switch {
	case !ok:
		return durable.NotOwner{}
	case claim.Owner == e.self.Name:
		return e.AskLocal(ctx, request.local)
	default:
		return request.remote(ctx, claim.Address)
	}
}

// AskLocal posts an event with a waiter to the coordinator and returns its answer. It returns InDoubt if none arrives in
// time, or if the context is cancelled or the entry stops first.
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

// SubmitDurable submits a durable job to the owner of its shard and returns the owner's answer. The first durable job
// makes the entries claim shards.
func (e *Entry) SubmitDurable(ctx context.Context, job dispatch.Job) durable.Answer {
	e.metrics.Add(metric.JobsReceived, 1)
	e.postDurable(durable.ActivationRequested{})
	answer := e.askOwner(ctx, ownerRequest{
		job:    job.ID,
		local:  func(w durable.Waiter) durable.Event { return durable.Submitted{Job: job, Waiter: w} },
		remote: func(ctx context.Context, address string) durable.Answer { return e.peers.Submit(ctx, address, job) },
	})
	known, ok := answer.(durable.Known)
	if !ok {
		_ = e.limitedLogger.Log("msg", "durable job not accepted", "job", job.ID, "kind", job.Kind.Name, "answer", describeDurable(answer))
		return answer
	}
	e.metrics.Add(metric.DurableJobsAccepted, 1)
	_ = e.successLogger.Log("msg", "durable job accepted", "job", job.ID, "kind", job.Kind.Name, "state", known.State)
	return answer
}

// StateDurable returns the state of a durable job.
func (e *Entry) StateDurable(ctx context.Context, id string) durable.Answer {
	return e.askOwner(ctx, ownerRequest{
		job:    id,
		local:  func(w durable.Waiter) durable.Event { return durable.StateRequested{Job: id, Waiter: w} },
		remote: func(ctx context.Context, address string) durable.Answer { return e.peers.State(ctx, address, id) },
	})
}

// CancelDurable cancels a durable job.
func (e *Entry) CancelDurable(ctx context.Context, id string) durable.Answer {
	return e.askOwner(ctx, ownerRequest{
		job:    id,
		local:  func(w durable.Waiter) durable.Event { return durable.CancelRequested{Job: id, Waiter: w} },
		remote: func(ctx context.Context, address string) durable.Answer { return e.peers.Cancel(ctx, address, id) },
	})
}

// HasDurableJobs reports whether there may be durable jobs, in which case the owner must be asked about a job that is
// unknown here.
func (e *Entry) HasDurableJobs() bool {
	return e.shards.mayHaveJobs(clock.Now())
}

// pendingCount is one owner's number of jobs that have not started; ok is false if the number is unknown.
type pendingCount struct {
	jobs int
	ok   bool
}

// CountPending counts the accepted jobs of a kind without a started task over all owners; ok is false if an owner is unknown or
// does not answer. Only durable jobs count, since other jobs are accepted only with their final answer.
func (e *Entry) CountPending(ctx context.Context, kind string) (jobs int, ok bool) {
	if !e.HasDurableJobs() {
		return 0, true
	}
	addresses, ok := e.shards.otherOwners()
	if !ok {
		return 0, false
	}
	counts := make(chan pendingCount, len(addresses))
	for _, address := range addresses {
		go func() {
			jobs, ok := e.peers.Pending(ctx, address, kind)
			counts <- pendingCount{jobs: jobs, ok: ok}
		}()
	}
	total, ok := e.PendingLocal(ctx, kind)
	for range addresses {
		count := <-counts
		total += count.jobs
		ok = ok && count.ok
	}
	return total, ok
}

// PendingLocal counts the jobs of a kind that are owned here and have not started. The count is incomplete while the jobs
// of a shard claimed here have not been loaded, or if the context is cancelled or the entry stops first.
func (e *Entry) PendingLocal(ctx context.Context, kind string) (jobs int, isComplete bool) {
	waiter, answered := e.pendingWaiters.add()
	e.postDurable(durable.PendingRequested{Kind: kind, Waiter: waiter})
	reply, ok := await(ctx, e, e.pendingWaiters, waiter, answered)
	return reply.Jobs, ok && reply.IsComplete
}

// SurrenderLocal releases a shard that another entry has claimed, and returns once no more tasks are started for it here.
func (e *Entry) SurrenderLocal(ctx context.Context, shard durable.Shard, token durable.Token) {
	waiter, answered := e.surrenderWaiters.add()
	e.postDurable(durable.SurrenderRequested{Shard: shard, Token: token, Waiter: waiter})
	// There is no answer only if the other entry has left or this one is stopping; nobody needs the result then.
	_, _ = await(ctx, e, e.surrenderWaiters, waiter, answered)
}

// describeDurable returns the log value of an answer.
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
