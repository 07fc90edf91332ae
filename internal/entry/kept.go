// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/durable"
	"sailhead/internal/metric"
)

// KeepStore is the platform's store as the keeper of jobs sees it. No method decides anything: each makes its calls and
// tells what came of them.
type KeepStore interface {
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
func (f *Frontend) newKeeper() *durable.Keeper {
	self := durable.Claim{Owner: f.self.Name, Address: f.self.Address, Incarnation: f.self.Incarnation}
	return durable.New(self, durable.Limits{
		Jobs: f.settings.Jobs, StatusTime: statusTime, LeaseTime: leaseTime, Commits: f.settings.StoreWrites / commitShare,
	})
}

func (f *Frontend) postKeep(event durable.Event) {
	select {
	case f.keepEvents <- event:
	case <-f.context.Done():
	}
}

// keep gives the keeper an event and does what it wants done.
func (f *Frontend) keep(event durable.Event) {
	f.carryKept(f.keeper.Handle(time.Now(), event))
}

// carryKept does what the keeper wants done. Calls to the store and to other entries are made beside.
func (f *Frontend) carryKept(effects []durable.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case durable.Reply:
			f.answerKept(e.Waiter, e.Answer)
		case durable.ToDispatcher:
			f.dispatch(e.Event)
		case durable.NoteEnd:
			f.noteEnd(e)
		case durable.Note:
			f.logKept(e)
		default:
			go f.callKept(effect)
		}
	}
}

// callKept makes one call and posts what came of it.
func (f *Frontend) callKept(effect durable.Effect) {
	switch e := effect.(type) {
	case durable.CallLease:
		asked := time.Now()
		f.postKeep(durable.LeaseAnswered{Lease: e.Lease, Asked: asked, Result: f.settings.Keep.Lease(e.Lease, e.Time)})
	case durable.EndLease:
		f.settings.Keep.EndLease(e.Lease)
	case durable.CallClaim:
		f.postKeep(durable.ClaimAnswered{Shard: e.Claim.Shard, Lease: e.Claim.Lease, Result: f.settings.Keep.Claim(e.Claim)})
	case durable.Load:
		batches, err := f.settings.Keep.LoadShard(e.Shard)
		f.postKeep(durable.Loaded{Shard: e.Shard, Token: e.Token, Batches: batches, Err: err})
	case durable.Commit:
		f.metrics.Add(metric.Commits, 1)
		f.postKeep(durable.Committed{Number: e.Number, Result: f.settings.Keep.Commit(e)})
	case durable.CallSurrender:
		isSure := f.owners.Surrender(f.context, e.Address, e.Shard, e.Token)
		f.postKeep(durable.Surrendered{Shard: e.Shard, Token: e.Token, IsSure: isSure})
	}
}

func (f *Frontend) noteEnd(e durable.NoteEnd) {
	if s := f.session(e.Agent); s != nil {
		s.Noted(e.Name, e.Run)
	}
}

func (f *Frontend) logKept(n durable.Note) {
	shards, jobs := f.keeper.Counts()
	_ = level.Info(f.logger).Log("msg", n.Decision, "shard", n.Shard, "token", n.Token, "detail", n.Detail, "shards", shards, "kept_jobs", jobs)
}

// AskHere posts an event with a waiter and waits for the answer.
func (f *Frontend) AskHere(ctx context.Context, event func(durable.Waiter) durable.Event) durable.Answer {
	waiter := durable.Waiter(f.nextWaiter.Add(1))
	answered := make(chan durable.Answer, 1)
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
		return durable.InDoubt{Reason: "the store does not answer"}
	case <-ctx.Done():
		return durable.InDoubt{Reason: "the caller has left"}
	case <-f.context.Done():
		return durable.InDoubt{Reason: "the entry has stopped"}
	}
}

func (f *Frontend) answerKept(waiter durable.Waiter, answer durable.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if answered, ok := f.keptWaiters[waiter]; ok {
		answered <- answer
		delete(f.keptWaiters, waiter)
	}
}
