// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/metric"
)

const (
	// ownerWait is how long a request waits for its shard to have an owner, ownerPause lies between two looks.
	ownerWait  = 700 * time.Millisecond
	ownerPause = 40 * time.Millisecond
)

// askOwner asks the owner of a job's shard, here or at another entry, until one answers for it.
func (f *Frontend) askOwner(ctx context.Context, job string, here func(durable.Waiter) durable.Event, there func(context.Context, string) durable.Answer) durable.Answer {
	deadline := time.Now().Add(ownerWait)
	for {
		var answer durable.Answer = durable.NotOwner{}
		switch claim, ok := f.ownerOf(job); {
		case ok && claim.Owner == f.self.Name:
			answer = f.AskHere(ctx, here)
		case ok:
			answer = there(ctx, claim.Address)
		}
		if _, isNotOwner := answer.(durable.NotOwner); !isNotOwner || time.Now().After(deadline) || !f.pause(ownerPause) {
			return answer
		}
	}
}

// publishOwners lets other goroutines see who owns what.
func (f *Frontend) publishOwners() {
	owners := f.keeper.Owners()
	var claims [durable.Shards]*durable.Claim
	for shard := range claims {
		if claim, ok := f.keeper.OwnerOf(durable.Shard(shard)); ok {
			claims[shard] = &claim
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claims, f.ownerAddresses = claims, owners
}

func (f *Frontend) ownerOf(job string) (durable.Claim, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if claim := f.claims[durable.ShardOf(job)]; claim != nil {
		return *claim, true
	}
	return durable.Claim{}, false
}

// SubmitKept hands a job that must be kept to its owner and returns what it says.
func (f *Frontend) SubmitKept(ctx context.Context, job dispatch.Job) durable.Answer {
	f.metrics.Add(metric.JobsReceived, 1)
	f.postKeep(durable.OwnerWanted{})
	answer := f.askOwner(ctx, job.ID,
		func(w durable.Waiter) durable.Event { return durable.Submitted{Job: job, Waiter: w} },
		func(ctx context.Context, address string) durable.Answer { return f.owners.Submit(ctx, address, job) })
	if known, ok := answer.(durable.Known); !ok {
		_ = f.others.Log("msg", "kept job not taken", "job", job.ID, "kind", job.Kind.Name, "answer", describeKept(answer))
	} else {
		f.metrics.Add(metric.JobsKept, 1)
		_ = f.successes.Log("msg", "kept job taken", "job", job.ID, "kind", job.Kind.Name, "state", known.State)
	}
	return answer
}

// StateKept returns the state of a job that must be kept.
func (f *Frontend) StateKept(ctx context.Context, id string) durable.Answer {
	return f.askOwner(ctx, id,
		func(w durable.Waiter) durable.Event { return durable.StateAsked{Job: id, Waiter: w} },
		func(ctx context.Context, address string) durable.Answer { return f.owners.State(ctx, address, id) })
}

// CancelKept ends a job that must be kept.
func (f *Frontend) CancelKept(ctx context.Context, id string) durable.Answer {
	return f.askOwner(ctx, id,
		func(w durable.Waiter) durable.Event { return durable.CancelAsked{Job: id, Waiter: w} },
		func(ctx context.Context, address string) durable.Answer { return f.owners.Cancel(ctx, address, id) })
}

// newsTime is how long what the store said holds: a watch is answered sooner.
const newsTime = 2500 * time.Millisecond

// Keeps reports whether there may be jobs that must be kept: also if the store was not heard lately.
func (f *Frontend) Keeps() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.storeHeard) > newsTime {
		return true
	}
	for _, claim := range f.claims {
		if claim != nil {
			return true
		}
	}
	return f.keptSeen
}

// Pending counts the accepted jobs of a kind of which no task has begun, at all owners; ok is false if an owner is not
// known or does not answer. A job that need not be kept is accepted by its final answer, so it is never among them.
func (f *Frontend) Pending(ctx context.Context, kind string) (jobs int, ok bool) {
	if !f.Keeps() {
		return 0, true
	}
	addresses, ok := f.allOwners()
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
			jobs, ok := f.owners.Pending(ctx, address, kind)
			counts <- count{jobs: jobs, ok: ok}
		}()
	}
	total, ok := f.PendingHere(ctx, kind)
	for range addresses {
		each := <-counts
		total += each.jobs
		ok = ok && each.ok
	}
	return total, ok
}

// allOwners returns the addresses of the other entries that own shards; ok is false if a shard has no owner.
func (f *Frontend) allOwners() (addresses []string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, claim := range f.claims {
		if claim == nil {
			return nil, false
		}
	}
	return f.ownerAddresses, true
}

// PendingHere counts the jobs of a kind that are owned here and have not begun.
func (f *Frontend) PendingHere(ctx context.Context, kind string) (jobs int, isComplete bool) {
	counted := make(chan struct{})
	f.postKeep(durable.PendingAsked{Kind: kind, Done: func(count int, complete bool) {
		jobs, isComplete = count, complete
		close(counted)
	}})
	select {
	case <-counted:
		return jobs, isComplete
	case <-ctx.Done():
	case <-f.context.Done():
	}
	return 0, false
}

// SurrenderHere gives a shard up that another entry has claimed.
func (f *Frontend) SurrenderHere(ctx context.Context, shard durable.Shard, token durable.Token) {
	done := make(chan struct{})
	f.postKeep(durable.SurrenderAsked{Shard: shard, Token: token, Done: func() { close(done) }})
	select {
	case <-done:
	case <-ctx.Done():
	case <-f.context.Done():
	}
}

func describeKept(answer durable.Answer) string {
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
