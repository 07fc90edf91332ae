// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable/durablepb"
	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// The batches in testdata were written by an earlier version. The stores of running systems hold such
// batches, so the files must not be changed: code that fails with them cannot read the stored jobs.

const storedID = "00000000000000aa"

// storedJob is the job of testdata/accepted.batch.
var storedJob = dispatch.Job{
	ID: storedID, Payload: "payload äö",
	Kind: dispatch.Kind{Name: "render", Service: "pictures", Priority: 7, Attempts: 3, Stretch: 2.5, Target: 1250 * time.Millisecond},
	Steps: []dispatch.Step{
		{Count: 2, Needs: worker.Resources{CPU: 1500, Memory: 512, GPU: 1}, Expected: 240 * time.Millisecond, Label: "fast", Rack: "r1", MaxPerWorker: 1},
		{Count: 1, Needs: worker.Resources{CPU: 250, Memory: 64}, Expected: 30 * time.Millisecond, After: []int{0}},
		{Count: 3, Needs: worker.Resources{CPU: 100, Memory: 32}, Expected: 10 * time.Millisecond, After: []int{0, 1}},
	},
}

func storedBatch(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name+".batch"))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// loadStored returns a coordinator that has claimed the shard of the stored job, and the effects of loading batches.
func loadStored(t *testing.T, names ...string) (*Coordinator, []Effect) {
	t.Helper()
	c, shard := newOwner(storedID)
	loaded := Loaded{Shard: shard, Token: 20}
	for i, name := range names {
		loaded.Batches = append(loaded.Batches, StoredBatch{Sequence: Sequence(i + 1), Data: storedBatch(t, name)})
	}
	return c, c.Handle(testStart, loaded)
}

func TestStoredRecordsAreDecoded(t *testing.T) {
	progress := &durablepb.Progress{
		Id: storedID, Done: []uint32{0, 2},
		Failed: []*durablepb.FailedRun{{Task: 1, Run: 4, Agent: "agent-2"}, {Task: 1, Run: 5, Agent: "agent-3"}},
	}
	accepted := &durablepb.Job{
		Id: storedID, Kind: "render", Service: "pictures", Priority: 7, Attempts: 3, Stretch: 2.5, TargetMs: 1250, Payload: "payload äö",
		Steps: []*durablepb.Step{
			{Count: 2, Cpu: 1500, Memory: 512, Gpu: 1, ExpectedMs: 240, Label: "fast", Rack: "r1", PerWorker: 1},
			{Count: 1, Cpu: 250, Memory: 64, ExpectedMs: 30, After: []uint32{0}},
			{Count: 3, Cpu: 100, Memory: 32, ExpectedMs: 10, After: []uint32{0, 1}},
		},
	}
	ended := func(state durablepb.State) *durablepb.Record {
		return &durablepb.Record{Record: &durablepb.Record_Ended{Ended: &durablepb.Ended{Id: storedID, State: state}}}
	}
	for name, want := range map[string]*durablepb.Record{
		"owned":           {Record: &durablepb.Record_Owned{Owned: &durablepb.Owned{Name: "entry-0", Address: "10.0.0.1:7000"}}},
		"released":        {Record: &durablepb.Record_Owned{Owned: &durablepb.Owned{Name: "entry-1", Address: "10.0.0.2:7000", Released: true}}},
		"accepted":        {Record: &durablepb.Record_Accepted{Accepted: accepted}},
		"progress":        {Record: &durablepb.Record_Progress{Progress: progress}},
		"ended-completed": ended(durablepb.State_STATE_COMPLETED),
		"ended-failed":    ended(durablepb.State_STATE_FAILED),
		"ended-cancelled": ended(durablepb.State_STATE_CANCELLED),
	} {
		records, err := decodeBatch(storedBatch(t, name))
		if err != nil {
			t.Fatalf("%s: %s", name, err)
		}
		if len(records) != 1 || !proto.Equal(records[0], want) {
			t.Errorf("%s: decoded %v, want %v", name, records, want)
		}
		if again := encodeBatch([]*durablepb.Record{want}); string(again) != string(storedBatch(t, name)) {
			t.Errorf("%s: encoded as %x, want %x", name, again, storedBatch(t, name))
		}
	}
}

func TestStoredJobIsRestored(t *testing.T) {
	c, effects := loadStored(t, "released", "accepted", "progress")
	restored, ok := find[ToDispatcher](effects)
	if !ok {
		t.Fatal("the job is not passed to the dispatcher")
	}
	want := dispatch.DurableAccepted{
		Job: storedJob, DoneTasks: []string{storedID + ".0.0.0", storedID + ".0.1.0"},
		Failures: map[string]int{storedID + ".0.0.1": 2},
	}
	if !reflect.DeepEqual(restored.Event, want) {
		t.Fatalf("restored %+v, want %+v", restored.Event, want)
	}
	if got := c.stateOf(storedID); got != (Known{State: StateRunning}) {
		t.Errorf("state %v", got)
	}
	// A recorded failed run is reported again and must not count twice.
	c.Handle(testStart, TaskEnded{Agent: "agent-3", Update: runner.Update{Name: storedID + ".0.0.1", Run: 5, Outcome: runner.OutcomeFailed}})
	if got := c.shards[ShardOf(storedID)].jobs[storedID].failures(1); got != 2 {
		t.Errorf("%d failed runs after a repeated report, want 2", got)
	}
	// The stored job allows three attempts, so its third failed run fails it.
	c.Handle(testStart, TaskEnded{Agent: "agent-3", Update: runner.Update{Name: storedID + ".0.0.1", Run: 6, Outcome: runner.OutcomeFailed}})
	if got := c.shards[ShardOf(storedID)].jobs[storedID].state; got != StateFailed {
		t.Errorf("state %v after the third failed run", got)
	}
}

func TestStoredEndsAreRestored(t *testing.T) {
	for name, want := range map[string]State{"ended-completed": StateCompleted, "ended-failed": StateFailed, "ended-cancelled": StateCancelled} {
		for _, batches := range [][]string{{"accepted", "progress", name}, {name}} {
			c, effects := loadStored(t, append([]string{"released"}, batches...)...)
			if _, ok := find[ToDispatcher](effects); ok {
				t.Errorf("%v: an ended job is passed to the dispatcher", batches)
			}
			if got := c.stateOf(storedID); got != (Known{State: want}) {
				t.Errorf("%v: state %v, want %v", batches, got, want)
			}
		}
	}
}

func TestStoredOwnersAreRestored(t *testing.T) {
	// The stored owner has the name of the coordinator under test but another address, so its process may still run.
	_, effects := loadStored(t, "owned")
	call, ok := find[CallSurrender](effects)
	if want := (CallSurrender{Shard: ShardOf(storedID), Token: 20, Address: "10.0.0.1:7000"}); !ok || call != want {
		t.Errorf("called %+v, want %+v", call, want)
	}
	// An owner that has released the shard must not be called.
	_, effects = loadStored(t, "owned", "released")
	if _, ok := find[CallSurrender](effects); ok {
		t.Error("the owner of a released shard is called")
	}
}

// TestARecordThatIsNotUnderstoodIsNoUnendedJob loads records of a later version: an end with an unknown state, and a record of
// an unknown type. It guards against treating such an end as a queued state, which would run an ended job again, and against
// skipping an unknown record. The shard must not be served, as with a batch that cannot be decoded.
func TestARecordThatIsNotUnderstoodIsNoUnendedJob(t *testing.T) {
	ended := &durablepb.Record{Record: &durablepb.Record_Ended{Ended: &durablepb.Ended{Id: storedID, State: 17}}}
	for name, record := range map[string]*durablepb.Record{"unknown state": ended, "unknown kind": {}} {
		c, shard := newOwner(storedID)
		effects := c.Handle(testStart, Loaded{Shard: shard, Token: 20, Batches: []StoredBatch{
			{Sequence: 1, Data: storedBatch(t, "accepted")}, {Sequence: 2, Data: encodeBatch([]*durablepb.Record{record})},
		}})
		if accepted, ok := find[ToDispatcher](effects); ok {
			t.Errorf("%s: %+v is passed to the dispatcher", name, accepted.Event)
		}
		if decision, ok := find[DecisionMade](effects); !ok || decision.Decision != DecisionUnreadable {
			t.Errorf("%s: decision %+v, want DecisionUnreadable", name, decision)
		}
	}
}

func TestAnAnswerWithAnUnknownStateIsInDoubt(t *testing.T) {
	answer := UnpackAnswer(&durablepb.Answer{Status: durablepb.Status_STATUS_KNOWN, State: 17})
	if _, isInDoubt := answer.(InDoubt); !isInDoubt {
		t.Errorf("got %+v, want InDoubt", answer)
	}
}
