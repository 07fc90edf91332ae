// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package agent

import (
	"slices"
	"testing"

	"github.com/go-faster/errors"

	"sailhead/internal/cluster"
	"sailhead/internal/durable"
	"sailhead/internal/logging"
	"sailhead/internal/metric"
	"sailhead/internal/runner"
)

// recordKey is the key of a record of stored ends.
type recordKey struct {
	shard   durable.Shard
	process durable.AgentProcess
}

func keyOf(r durable.StoredEnds) recordKey { return recordKey{shard: r.Shard, process: r.Process} }

// fakeEndStore is an EndStore that can lose answers.
type fakeEndStore struct {
	revision int64
	records  map[recordKey]durable.StoredEnds
	// losesAnswers is set if calls are carried out and not answered, and isDown if they are not carried out.
	losesAnswers, isDown bool
}

// Put implements EndStore. Like the platform's store it gives each key of a write a revision of its own.
func (s *fakeEndStore) Put(records []durable.StoredEnds) (stored []durable.StoredEnds, isWritten bool, err error) {
	if s.isDown {
		return nil, false, errors.New("no answer")
	}
	isChanged := func(r durable.StoredEnds) bool { return s.records[keyOf(r)].Revision != r.Revision }
	if slices.ContainsFunc(records, isChanged) {
		for _, r := range records {
			r.Revision = s.records[keyOf(r)].Revision
			stored = append(stored, r)
		}
		return stored, false, nil
	}
	for _, r := range records {
		s.revision++
		r.Revision = s.revision
		s.records[keyOf(r)] = r
		if len(r.Ends) == 0 {
			delete(s.records, keyOf(r))
		}
	}
	for _, r := range records {
		r.Revision = s.revision
		if len(r.Ends) == 0 {
			r.Revision = 0
		}
		stored = append(stored, r)
	}
	if s.losesAnswers {
		return nil, false, errors.New("no answer")
	}
	return stored, true, nil
}

// names returns the runs whose ends are stored, sorted.
func (s *fakeEndStore) names() []string {
	var names []string
	for _, record := range s.records {
		for _, end := range record.Ends {
			names = append(names, end.Name)
		}
	}
	slices.Sort(names)
	return names
}

// The store must hold exactly the latest ends after each write that succeeds, whatever happened to earlier answers and records. An end that
// is missing there is one whose task runs twice.
func TestTheStoreHoldsTheLatestEnds(t *testing.T) {
	store := &fakeEndStore{records: make(map[recordKey]durable.StoredEnds)}
	a := &Agent{settings: Settings{Name: "side-1", Ends: store}, pendingEnds: newPendingEnds(), metrics: metric.NewSet(), logger: logging.Discard()}
	process := durable.AgentProcess{Agent: "side-1", Incarnation: 1}
	records := &endRecords{process: process}
	ends := func(names ...string) []runner.Update {
		var updates []runner.Update
		for _, name := range names {
			updates = append(updates, runner.Update{Name: name, Run: 1, Outcome: runner.OutcomeDone})
		}
		return updates
	}
	steps := []struct {
		name    string
		before  func()
		ends    []runner.Update
		isError bool
		want    []string
	}{
		{"the first ends", func() {}, ends("a.0.0.0", "b.0.0.0", "c.0.0.0"), false, []string{"a.0.0.0", "b.0.0.0", "c.0.0.0"}},
		{"the store is down", func() { store.isDown = true }, ends("a.0.0.0", "d.0.0.0"), true, []string{"a.0.0.0", "b.0.0.0", "c.0.0.0"}},
		{"it is up again", func() { store.isDown = false }, ends("a.0.0.0", "d.0.0.0"), false, []string{"a.0.0.0", "d.0.0.0"}},
		{"the answer is lost", func() { store.losesAnswers = true }, ends("e.0.0.0"), true, []string{"e.0.0.0"}},
		{"another write after that", func() { store.losesAnswers = false }, ends("e.0.0.0", "f.0.0.0"), false, []string{"e.0.0.0", "f.0.0.0"}},
		{"an owner has removed a record", func() { delete(store.records, recordKey{shard: durable.ShardOf("e"), process: process}) }, ends("e.0.0.0", "f.0.0.0", "g.0.0.0"), false, []string{"e.0.0.0", "f.0.0.0", "g.0.0.0"}},
		{"all are acknowledged", func() {}, nil, false, nil},
	}
	for _, step := range steps {
		step.before()
		a.pendingEnds.set(step.ends)
		if isStored := a.putEnds(records); isStored == step.isError {
			t.Errorf("%s: stored is %t", step.name, isStored)
		}
		if got := store.names(); !slices.Equal(got, step.want) {
			t.Errorf("%s: the store holds %v, want %v", step.name, got, step.want)
		}
	}
	if next := records.next(nil); len(next) != 0 {
		t.Errorf("%v are written although the store holds no record", next)
	}
}

// The failure: a restarted agent stores an end of a shard and replaces the record of its earlier process there, which held the end of a run on
// an ended worker. Nobody knows of that end then, and an owner that has not read the record runs the task again.
func TestARestartedAgentKeepsTheEndsThatItsEarlierProcessStored(t *testing.T) {
	store := &fakeEndStore{records: make(map[recordKey]durable.StoredEnds)}
	for i, task := range []string{"a.0.0.0", "a.0.0.1"} {
		self := cluster.Member{Name: "side-1", Incarnation: int64(i + 1)}
		a := &Agent{self: self, settings: Settings{Name: "side-1", Ends: store}, pendingEnds: newPendingEnds(), metrics: metric.NewSet(), logger: logging.Discard()}
		a.pendingEnds.set([]runner.Update{{Name: task, Run: 1, Outcome: runner.OutcomeDone}})
		if !a.putEnds(&endRecords{process: a.process()}) {
			t.Fatal("the end is not stored")
		}
	}
	if got, want := store.names(), []string{"a.0.0.0", "a.0.0.1"}; !slices.Equal(got, want) {
		t.Errorf("the store holds %v, want %v", got, want)
	}
}
