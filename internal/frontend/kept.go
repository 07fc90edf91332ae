// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package frontend

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

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
