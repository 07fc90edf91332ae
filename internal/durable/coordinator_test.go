// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable/durablepb"
	"sailhead/internal/runner"
)

var testStart = time.Unix(1_000_000, 0)

// newOwner returns a coordinator that holds a lease and has claimed the shard of a job under token 20 but not loaded it.
func newOwner(job string) (*Coordinator, Shard) {
	c := New(Claim{Owner: "entry-0", Address: "a", Incarnation: 1}, Limits{Jobs: 160, StatusRetention: time.Minute, LeaseTTL: 6 * time.Second, CommitsPerSecond: 1000})
	c.Handle(testStart, ActivationRequested{})
	c.Handle(testStart, ClaimsRead{})
	c.Handle(testStart, Ticked{})
	c.Handle(testStart, LeaseAnswered{Sent: testStart, Result: LeaseGranted{Lease: 7, Time: 6 * time.Second}})
	c.Handle(testStart, Ticked{})
	shard := ShardOf(job)
	c.Handle(testStart, ClaimAnswered{Shard: shard, Lease: 7, Result: ClaimWon{Token: 20}})
	return c, shard
}

// find returns the first effect of type T.
func find[T Effect](effects []Effect) (found T, ok bool) {
	for _, effect := range effects {
		if found, ok = effect.(T); ok {
			return found, true
		}
	}
	return found, false
}

func testJob(id string) dispatch.Job {
	return dispatch.Job{ID: id, Kind: dispatch.Kind{Name: "k", Attempts: 2}, Steps: []dispatch.Step{{Count: 1}}}
}

func TestASubmissionIsAnsweredOnceTheJobIsWritten(t *testing.T) {
	const id = "00000000000000aa"
	c, shard := newOwner(id)
	if commit, ok := find[Commit](c.Handle(testStart, Loaded{Shard: shard, Token: 20})); ok {
		c.Handle(testStart, Committed{Number: commit.Number, Result: CommitWritten{}})
	}
	now := testStart.Add(time.Second)
	effects := c.Handle(now, Submitted{Job: testJob(id), Waiter: 1})
	if _, ok := find[Reply](effects); ok {
		t.Fatal("answered before the write")
	}
	for {
		commit, ok := find[Commit](effects)
		if !ok {
			now = now.Add(time.Second / 100)
			effects = c.Handle(now, Ticked{})
			if now.After(testStart.Add(3 * time.Second)) {
				t.Fatal("no answer after the write")
			}
			continue
		}
		effects = c.Handle(now, Committed{Number: commit.Number, Result: CommitWritten{}})
		if reply, ok := find[Reply](effects); ok {
			if reply.Answer != (Known{State: StateQueued}) {
				t.Fatalf("answer %v", reply.Answer)
			}
			return
		}
	}
}

func TestPendingIsIncompleteWhileAClaimedShardIsNotLoaded(t *testing.T) {
	const id = "00000000000000aa"
	c, shard := newOwner(id)
	count := func() (isComplete bool) {
		reply, ok := find[PendingReply](c.Handle(testStart, PendingRequested{Kind: "k", Waiter: 7}))
		if !ok || reply.Waiter != 7 {
			t.Fatalf("no reply to the request for pending jobs: %v", reply)
		}
		return reply.IsComplete
	}
	if count() {
		t.Fatal("the count is complete while the shard is being loaded")
	}
	c.Handle(testStart, Loaded{Shard: shard, Token: 20})
	if !count() {
		t.Fatal("the count is incomplete after the shard was loaded")
	}
	c.Handle(testStart.Add(7*time.Second), Ticked{})
	if count() {
		t.Fatal("the count is complete although the lease has expired and the claim may still be in the store")
	}
}

func TestAnEndIsAcknowledgedOnceItIsWritten(t *testing.T) {
	const id = "00000000000000aa"
	c, shard := newOwner(id)
	batch := encodeBatch([]*durablepb.Record{{Record: &durablepb.Record_Accepted{Accepted: PackJob(testJob(id))}}})
	effects := c.Handle(testStart, Loaded{Shard: shard, Token: 20, Batches: []StoredBatch{{Sequence: 1, Data: batch}}})
	if accepted, ok := find[ToDispatcher](effects); !ok || accepted.Event.(dispatch.DurableAccepted).Job.ID != id {
		t.Fatal("the restored job is not passed to the dispatcher")
	}
	if commit, ok := find[Commit](effects); ok {
		c.Handle(testStart, Committed{Number: commit.Number, Result: CommitWritten{}})
	}
	now := testStart.Add(time.Second)
	effects = c.Handle(now, TaskEnded{Agent: "a", Update: runner.Update{Name: id + ".0.0.0", Run: 1, Outcome: runner.OutcomeDone}})
	if _, ok := find[AcknowledgeEnd](effects); ok {
		t.Fatal("acknowledged before the write")
	}
	commit, ok := find[Commit](effects)
	if !ok {
		t.Fatal("the end is not written")
	}
	if _, ok := find[AcknowledgeEnd](c.Handle(now, Committed{Number: commit.Number, Result: CommitUnknown{}})); ok {
		t.Fatal("acknowledged although the write is not confirmed")
	}
	effects = c.Handle(now.Add(time.Second), Ticked{})
	again, ok := find[Commit](effects)
	if !ok || again.Number != commit.Number {
		t.Fatal("the commit is not retried with the same number")
	}
	if _, ok := find[AcknowledgeEnd](c.Handle(now.Add(time.Second), Committed{Number: again.Number, Result: CommitWritten{}})); !ok {
		t.Fatal("not acknowledged after the write")
	}
}

func TestAShardThatCannotBeReadIsLoggedAndReadAgain(t *testing.T) {
	c, shard := newOwner("00000000000000aa")
	failed := Loaded{Shard: shard, Token: 20, Err: errors.New("no answer from the store")}
	decision, ok := find[DecisionMade](c.Handle(testStart, failed))
	want := DecisionMade{Decision: DecisionLoadFailed, Shard: shard, Token: 20, Detail: "no answer from the store"}
	if !ok || decision != want {
		t.Fatalf("decision %+v, want %+v", decision, want)
	}
	if _, ok := find[Load](c.Handle(testStart.Add(loadRetryInterval-time.Millisecond), Ticked{})); ok {
		t.Fatal("read again too early")
	}
	if load, ok := find[Load](c.Handle(testStart.Add(loadRetryInterval), Ticked{})); !ok || load != (Load{Shard: shard, Token: 20}) {
		t.Fatalf("not read again: %+v", load)
	}
	failed.Token = 19
	if _, ok := find[DecisionMade](c.Handle(testStart, failed)); ok {
		t.Fatal("logged the failed read of an earlier claim")
	}
}

func TestAShardWithABatchOfALaterVersionIsLoggedAndKept(t *testing.T) {
	c, shard := newOwner("00000000000000aa")
	unreadable := Loaded{Shard: shard, Token: 20, Batches: []StoredBatch{{Sequence: 1, Data: []byte{0xff}}}}
	effects := c.Handle(testStart, unreadable)
	decision, ok := find[DecisionMade](effects)
	if !ok || decision.Decision != DecisionUnreadable || decision.Token != 20 || decision.Detail == "" {
		t.Fatalf("decision %+v", decision)
	}
	if _, ok := find[Commit](effects); ok {
		t.Fatal("a commit was made for a shard that cannot be decoded")
	}
	if _, ok := find[Load](c.Handle(testStart.Add(loadRetryInterval), Ticked{})); !ok {
		t.Fatal("not read again")
	}
}

func TestAJobThatIsGivenUpIsWrittenAsFailed(t *testing.T) {
	const id = "00000000000000aa"
	c, shard := newOwner(id)
	batch := encodeBatch([]*durablepb.Record{{Record: &durablepb.Record_Accepted{Accepted: PackJob(testJob(id))}}})
	effects := c.Handle(testStart, Loaded{Shard: shard, Token: 20, Batches: []StoredBatch{{Sequence: 1, Data: batch}}})
	if commit, ok := find[Commit](effects); ok {
		c.Handle(testStart, Committed{Number: commit.Number, Result: CommitWritten{}})
	}
	now := testStart.Add(time.Second)
	commit, ok := find[Commit](c.Handle(now, JobGivenUp{Job: id}))
	if !ok {
		t.Fatal("the end is not written")
	}
	if got := c.stateOf(id); got != (Known{State: StateQueued}) {
		t.Fatalf("state %v before the write", got)
	}
	c.Handle(now, Committed{Number: commit.Number, Result: CommitWritten{}})
	if got := c.stateOf(id); got != (Known{State: StateFailed}) {
		t.Fatalf("state %v after the write", got)
	}
	// A job that has ended keeps its state, and a job that is unknown here is left to its owner.
	if effects := c.Handle(now, JobGivenUp{Job: id}); len(effects) > 0 {
		t.Errorf("effects %v of a job that has ended", effects)
	}
	if effects := c.Handle(now, JobGivenUp{Job: "00000000000000bb"}); len(effects) > 0 {
		t.Errorf("effects %v of an unknown job", effects)
	}
}
