// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package frontend

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/dispatch"
	"sailhead/internal/keep"
	"sailhead/internal/metric"
)

// KeepStore is the platform's store as the keeper of jobs sees it. No method decides anything: each makes its calls and
// tells what came of them.
type KeepStore interface {
	// Lease asks for a lease, or renews the one given.
	Lease(lease keep.Lease, time time.Duration) keep.LeaseResult
	// EndLease ends a lease; an answer is not waited for long.
	EndLease(lease keep.Lease)
	// Claim writes a claim if the shard has none.
	Claim(claim keep.Claim) keep.ClaimResult
	// LoadShard reads the batches of a shard in order.
	LoadShard(shard keep.Shard) ([]keep.StoredBatch, error)
	// Commit writes all parts of a commit, or nothing.
	Commit(commit keep.Commit) keep.CommitResult
}

const (
	// statusTime is how long the state of a kept job is known after its end, beyond what the platform asks for.
	statusTime = 130 * time.Second
	// leaseTime is the time of the lease that an entry's claims live by.
	leaseTime = 6 * time.Second
	// commitShare is the part of the store's rate of writes that commits may take.
	commitShare = 2
	// keptWait is how long a request waits for the store to have written what it asks for.
	keptWait = 1500 * time.Millisecond
	// leaveMargin is how long before the end of a planned stop the shards are given up at the latest.
	leaveMargin = 1200 * time.Millisecond
)

// newKeeper returns the keeper of an entry.
func (f *Frontend) newKeeper() *keep.Keeper {
	self := keep.Claim{Owner: f.self.Name, Address: f.self.Address, Incarnation: f.self.Incarnation}
	return keep.New(self, keep.Limits{
		Jobs: f.settings.Jobs, StatusTime: statusTime, LeaseTime: leaseTime, Commits: f.settings.StoreWrites / commitShare,
	})
}

func (f *Frontend) postKeep(event keep.Event) {
	select {
	case f.keepEvents <- event:
	case <-f.context.Done():
	}
}

// keep gives the keeper an event and does what it wants done.
func (f *Frontend) keep(event keep.Event) {
	f.carryKept(f.keeper.Handle(time.Now(), event))
}

// carryKept does what the keeper wants done. Calls to the store and to other entries are made beside.
func (f *Frontend) carryKept(effects []keep.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case keep.Reply:
			f.answerKept(e.Waiter, e.Answer)
		case keep.ToDispatcher:
			f.dispatch(e.Event)
		case keep.NoteEnd:
			f.noteEnd(e)
		case keep.Note:
			f.logKept(e)
		default:
			go f.callKept(effect)
		}
	}
}

// callKept makes one call and posts what came of it.
func (f *Frontend) callKept(effect keep.Effect) {
	switch e := effect.(type) {
	case keep.CallLease:
		asked := time.Now()
		f.postKeep(keep.LeaseAnswered{Lease: e.Lease, Asked: asked, Result: f.settings.Keep.Lease(e.Lease, e.Time)})
	case keep.EndLease:
		f.settings.Keep.EndLease(e.Lease)
	case keep.CallClaim:
		f.postKeep(keep.ClaimAnswered{Shard: e.Claim.Shard, Lease: e.Claim.Lease, Result: f.settings.Keep.Claim(e.Claim)})
	case keep.Load:
		batches, err := f.settings.Keep.LoadShard(e.Shard)
		f.postKeep(keep.Loaded{Shard: e.Shard, Token: e.Token, Batches: batches, Err: err})
	case keep.Commit:
		f.metrics.Add(metric.Commits, 1)
		f.postKeep(keep.Committed{Number: e.Number, Result: f.settings.Keep.Commit(e)})
	case keep.CallSurrender:
		isSure := f.owners.Surrender(f.context, e.Address, e.Shard, e.Token)
		f.postKeep(keep.Surrendered{Shard: e.Shard, Token: e.Token, IsSure: isSure})
	}
}

func (f *Frontend) noteEnd(e keep.NoteEnd) {
	if s := f.session(e.Agent); s != nil {
		s.Noted(e.Name, e.Run)
	}
}

func (f *Frontend) logKept(n keep.Note) {
	shards, jobs := f.keeper.Counts()
	_ = level.Info(f.logger).Log("msg", n.Decision, "shard", n.Shard, "token", n.Token, "detail", n.Detail, "shards", shards, "kept_jobs", jobs)
}

// AskHere posts an event with a waiter and waits for the answer.
func (f *Frontend) AskHere(ctx context.Context, event func(keep.Waiter) keep.Event) keep.Answer {
	waiter := keep.Waiter(f.nextWaiter.Add(1))
	answered := make(chan keep.Answer, 1)
	f.mu.Lock()
	f.keptWaiters[waiter] = answered
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.keptWaiters, waiter)
	}()
	f.postKeep(event(waiter))
	select {
	case answer := <-answered:
		return answer
	case <-time.After(keptWait):
		return keep.InDoubt{Reason: "the store does not answer"}
	case <-ctx.Done():
		return keep.InDoubt{Reason: "the caller has left"}
	case <-f.context.Done():
		return keep.InDoubt{Reason: "the entry has stopped"}
	}
}

func (f *Frontend) answerKept(waiter keep.Waiter, answer keep.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if answered, ok := f.keptWaiters[waiter]; ok {
		answered <- answer
		delete(f.keptWaiters, waiter)
	}
}

const (
	// ownerWait is how long a request waits for its shard to have an owner, ownerPause lies between two looks.
	ownerWait  = 700 * time.Millisecond
	ownerPause = 40 * time.Millisecond
)

// askOwner asks the owner of a job's shard, here or at another entry, until one answers for it.
func (f *Frontend) askOwner(ctx context.Context, job string, here func(keep.Waiter) keep.Event, there func(context.Context, string) keep.Answer) keep.Answer {
	deadline := time.Now().Add(ownerWait)
	f.postKeep(keep.OwnerWanted{})
	for {
		var answer keep.Answer = keep.NotOwner{}
		switch claim, ok := f.ownerOf(job); {
		case ok && claim.Owner == f.self.Name:
			answer = f.AskHere(ctx, here)
		case ok:
			answer = there(ctx, claim.Address)
		}
		if _, isNotOwner := answer.(keep.NotOwner); !isNotOwner || time.Now().After(deadline) || !f.pause(ownerPause) {
			return answer
		}
	}
}

// publishOwners lets other goroutines see who owns what.
func (f *Frontend) publishOwners() {
	owners := f.keeper.Owners()
	var claims [keep.Shards]*keep.Claim
	for shard := range claims {
		if claim, ok := f.keeper.OwnerOf(keep.Shard(shard)); ok {
			claims[shard] = &claim
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claims, f.ownerAddresses = claims, owners
}

func (f *Frontend) ownerOf(job string) (keep.Claim, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if claim := f.claims[keep.ShardOf(job)]; claim != nil {
		return *claim, true
	}
	return keep.Claim{}, false
}

// SubmitKept hands a job that must be kept to its owner and returns what it says.
func (f *Frontend) SubmitKept(ctx context.Context, job dispatch.Job) keep.Answer {
	f.metrics.Add(metric.JobsReceived, 1)
	answer := f.askOwner(ctx, job.ID,
		func(w keep.Waiter) keep.Event { return keep.Submitted{Job: job, Waiter: w} },
		func(ctx context.Context, address string) keep.Answer { return f.owners.Submit(ctx, address, job) })
	if known, ok := answer.(keep.Known); !ok {
		_ = f.others.Log("msg", "kept job not taken", "job", job.ID, "kind", job.Kind.Name, "answer", describeKept(answer))
	} else {
		f.metrics.Add(metric.JobsKept, 1)
		_ = f.successes.Log("msg", "kept job taken", "job", job.ID, "kind", job.Kind.Name, "state", known.State)
	}
	return answer
}

// StateKept returns the state of a job that must be kept.
func (f *Frontend) StateKept(ctx context.Context, id string) keep.Answer {
	return f.askOwner(ctx, id,
		func(w keep.Waiter) keep.Event { return keep.StateAsked{Job: id, Waiter: w} },
		func(ctx context.Context, address string) keep.Answer { return f.owners.State(ctx, address, id) })
}

// CancelKept ends a job that must be kept.
func (f *Frontend) CancelKept(ctx context.Context, id string) keep.Answer {
	return f.askOwner(ctx, id,
		func(w keep.Waiter) keep.Event { return keep.CancelAsked{Job: id, Waiter: w} },
		func(ctx context.Context, address string) keep.Answer { return f.owners.Cancel(ctx, address, id) })
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
	f.postKeep(keep.PendingAsked{Kind: kind, Done: func(count int, complete bool) {
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
func (f *Frontend) SurrenderHere(ctx context.Context, shard keep.Shard, token keep.Token) {
	done := make(chan struct{})
	f.postKeep(keep.SurrenderAsked{Shard: shard, Token: token, Done: func() { close(done) }})
	select {
	case <-done:
	case <-ctx.Done():
	case <-f.context.Done():
	}
}

func describeKept(answer keep.Answer) string {
	switch a := answer.(type) {
	case keep.Known:
		return "known"
	case keep.Unknown:
		return "unknown"
	case keep.NotOwner:
		return "no owner"
	case keep.Refused:
		return "refused: " + a.Reason
	case keep.InDoubt:
		return "in doubt: " + a.Reason
	default:
		return ""
	}
}
