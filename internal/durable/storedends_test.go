// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable/durablepb"
	"sailhead/internal/runner"
)

const endsTestJob = "00000000000000aa"

// newOwnerOfJob returns a coordinator that serves the shard of endsTestJob, an unfinished job of two tasks, and has written that it does.
func newOwnerOfJob() (*Coordinator, Shard) {
	c, shard := newOwner(endsTestJob)
	job := testJob(endsTestJob)
	job.Steps[0].Count = 2
	batch := encodeBatch([]*durablepb.Record{{Record: &durablepb.Record_Accepted{Accepted: PackJob(job)}}})
	effects := c.Handle(testStart, Loaded{Shard: shard, Token: 20, Batches: []StoredBatch{{Sequence: 1, Data: batch}}})
	if commit, ok := find[Commit](effects); ok {
		c.Handle(testStart, Committed{Number: commit.Number, Result: CommitWritten{}})
	}
	return c, shard
}

// eventsForDispatcher returns the events that effects pass to the dispatcher.
func eventsForDispatcher(effects []Effect) []dispatch.Event {
	var events []dispatch.Event
	for _, effect := range effects {
		if e, ok := effect.(ToDispatcher); ok {
			events = append(events, e.Event)
		}
	}
	return events
}

func doneEnd(task int) runner.Update {
	return runner.Update{Name: dispatch.TaskName(endsTestJob, 0, task), Run: 1, Outcome: runner.OutcomeDone, Unacknowledged: true}
}

// A task whose end is stored would start again if the answer to the dispatcher preceded the end, and the end would be lost if its record were
// removed before the end is written.
func TestStoredEndsPrecedeTheAnswerAndAreRemovedOnceWritten(t *testing.T) {
	c, shard := newOwnerOfJob()
	now := testStart.Add(time.Second)
	c.Handle(now, StoredEndsRequested{Job: endsTestJob})
	if read, ok := find[CallReadEnds](c.Handle(now, Ticked{})); !ok || read != (CallReadEnds{Shard: shard, Token: 20}) {
		t.Fatalf("read %v, want one of the shard", read)
	}
	record := StoredEnds{Shard: shard, Process: AgentProcess{Agent: "side-1", Incarnation: 3}, Ends: []runner.Update{doneEnd(0)}, Revision: 44}
	effects := c.Handle(now, StoredEndsAnswered{Shard: shard, Token: 20, Records: []StoredEnds{record}})
	want := []dispatch.Event{dispatch.DurableTaskEnded{Task: doneEnd(0).Name}, dispatch.StoredEndsRead{Job: endsTestJob}}
	if got := eventsForDispatcher(effects); !slices.Equal(got, want) {
		t.Fatalf("passed %v to the dispatcher, want %v", got, want)
	}
	if _, isRemoved := find[CallRemoveEnds](effects); isRemoved {
		t.Fatal("the record was removed before its end was written")
	}
	commit, ok := find[Commit](effects)
	if !ok {
		t.Fatal("the end is not written")
	}
	effects = c.Handle(now, Committed{Number: commit.Number, Result: CommitWritten{}})
	if acknowledged, ok := find[AcknowledgeEnd](effects); !ok || acknowledged.Agent != "side-1" {
		t.Fatalf("acknowledged %v, want the end of side-1", acknowledged)
	}
	now = now.Add(minEndsReadInterval)
	if _, isRead := find[CallReadEnds](c.Handle(now, Ticked{})); !isRead {
		t.Fatal("no read of the record that is left")
	}
	effects = c.Handle(now, StoredEndsAnswered{Shard: shard, Token: 20, Records: []StoredEnds{record}})
	if removed, ok := find[CallRemoveEnds](effects); !ok || removed.Record.Process != record.Process || removed.Record.Revision != 44 {
		t.Fatalf("removed %v, want the record of side-1 at revision 44", removed)
	}
	c.Handle(now.Add(minEndsReadInterval), Ticked{})
	c.Handle(now.Add(minEndsReadInterval), StoredEndsAnswered{Shard: shard, Token: 20})
	if _, isRead := find[CallReadEnds](c.Handle(now.Add(time.Minute), Ticked{})); isRead {
		t.Fatal("the stored ends are read although none is left")
	}
}

// A request that is answered by an earlier read, or by one that failed, would let a task start again whose end was stored meanwhile.
func TestARequestForStoredEndsIsAnsweredByALaterReadOnly(t *testing.T) {
	c, shard := newOwnerOfJob()
	now := testStart.Add(time.Second)
	if _, isRead := find[CallReadEnds](c.Handle(now, Ticked{})); !isRead {
		t.Fatal("no read after the shard was taken over")
	}
	c.Handle(now, StoredEndsRequested{Job: endsTestJob})
	if got := eventsForDispatcher(c.Handle(now, StoredEndsAnswered{Shard: shard, Token: 20})); len(got) > 0 {
		t.Fatalf("the earlier read is passed on as %v", got)
	}
	now = now.Add(minEndsReadInterval)
	if _, isRead := find[CallReadEnds](c.Handle(now, Ticked{})); !isRead {
		t.Fatal("no read after the request")
	}
	failed := c.Handle(now, StoredEndsAnswered{Shard: shard, Token: 20, Err: errors.New("no answer from the store")})
	if got := eventsForDispatcher(failed); len(got) > 0 {
		t.Fatalf("the read that failed is passed on as %v", got)
	}
	want := DecisionMade{Decision: DecisionEndsUnread, Shard: shard, Token: 20, Detail: "no answer from the store"}
	if decision, ok := find[DecisionMade](failed); !ok || decision != want {
		t.Fatalf("decision %+v, want %+v", decision, want)
	}
	now = now.Add(minEndsReadInterval)
	if _, isRead := find[CallReadEnds](c.Handle(now, Ticked{})); !isRead {
		t.Fatal("the read that failed is not repeated")
	}
	got := eventsForDispatcher(c.Handle(now, StoredEndsAnswered{Shard: shard, Token: 20}))
	if !slices.Equal(got, []dispatch.Event{dispatch.StoredEndsRead{Job: endsTestJob}}) {
		t.Fatalf("passed %v to the dispatcher, want the answer to the request", got)
	}
}

// Agents and entries of different versions read each other's records during a rollout.
func TestStoredEndsKeepTheirForm(t *testing.T) {
	ends := []runner.Update{
		{Name: "00000000000000aa.0.0.1", Run: 3, Outcome: runner.OutcomeDone, Unacknowledged: true},
		{Name: "00000000000000ab.0.1.0", Run: 1, Outcome: runner.OutcomeFailed, Unacknowledged: true},
	}
	const form = `{"ends":[{"task":"00000000000000aa.0.0.1","run":3},{"task":"00000000000000ab.0.1.0","run":1,"failed":true}]}`
	if got := string(EncodeEnds(ends)); got != form {
		t.Errorf("encoded as %s, want %s", got, form)
	}
	if got, err := DecodeEnds([]byte(form)); err != nil || !slices.Equal(got, ends) {
		t.Errorf("decoded as %v (%v), want %v", got, err, ends)
	}
	for _, invalid := range []string{"", "[]", `{"ends":[{"run":1}]}`, `{"ends":[{"task":"a","run":-1}]}`} {
		if _, err := DecodeEnds([]byte(invalid)); err == nil {
			t.Errorf("%q is decoded without an error", invalid)
		}
	}
}

func TestEndsByShardHasEachEndOnce(t *testing.T) {
	var ends []runner.Update
	for i := range 100 {
		ends = append(ends, runner.Update{Name: dispatch.TaskName(string(rune('a'+i%26))+"x", 0, i), Run: 1, Outcome: runner.OutcomeDone})
	}
	count := 0
	for _, record := range EndsByShard(AgentProcess{Agent: "side-1"}, ends) {
		for _, end := range record.Ends {
			if ShardOf(runner.JobOf(end.Name)) != record.Shard {
				t.Errorf("%s is in the record of shard %d", end.Name, record.Shard)
			}
			count++
		}
	}
	if count != len(ends) {
		t.Errorf("%d ends in all records, want %d", count, len(ends))
	}
}
