// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cluster

import (
	"context"
	"fmt"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"sailhead/internal/clock"
	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

func testCrash(incarnation string) Crash {
	return Crash{Agent: "agent-1", Crash: runner.Crash{Incarnation: worker.Incarnation{ID: incarnation, StartedMillis: 1796280000000}, Runs: []runner.CrashedRun{
		{RunID: runner.RunID{Task: "j.0.0.0", Run: 2}, WasRunning: true, IsLatest: true}, {RunID: runner.RunID{Task: "j.0.0.1", Run: 1}},
	}}}
}

func TestCrashesAreExchangedInBothDirections(t *testing.T) {
	own, other := NewDirectory(), NewDirectory()
	own.AddCrash(clock.Now(), testCrash("own"))
	other.AddCrash(clock.Now(), testCrash("other"))
	received := make(map[string][]Crash)
	served, closeServed := NewExchanger(other, testListener{crashed: func(c Crash) { received["other"] = append(received["other"], c) }})
	defer closeServed()
	server := httptest.NewServer(served.Handler())
	defer server.Close()
	caller, closeCaller := NewExchanger(own, testListener{crashed: func(c Crash) { received["own"] = append(received["own"], c) }})
	defer closeCaller()
	for range 2 {
		if err := caller.ExchangeWith(context.Background(), server.Listener.Addr().String()); err != nil {
			t.Fatal(err)
		}
	}
	for _, crashes := range received {
		for i := range crashes {
			if crashes[i].Age < 0 || crashes[i].Age > time.Minute {
				t.Errorf("a recent crash has the age %s", crashes[i].Age)
			}
			crashes[i].Age = 0
		}
	}
	want := map[string][]Crash{"own": {testCrash("other")}, "other": {testCrash("own")}}
	if !reflect.DeepEqual(received, want) {
		t.Fatalf("received %+v, want %+v", received, want)
	}
}

func TestCrashesArePropagatedForALimitedTimeAndBounded(t *testing.T) {
	known, now := make(crashes), time.Unix(1000, 0)
	known.add(now, testCrash("first"))
	now = now.Add(crashGossipPeriod)
	if messages := known.messages(now); len(messages) > 0 {
		t.Errorf("%d crashes are propagated after crashGossipPeriod", len(messages))
	}
	if known.add(now, testCrash("first")) {
		t.Error("a crash that another entry still propagates is reported as new")
	}
	for i := range 2 * maxCrashes {
		now = now.Add(time.Millisecond)
		known.add(now, testCrash(fmt.Sprint(i)))
	}
	if messages := known.messages(now); len(messages) != maxCrashes {
		t.Errorf("%d crashes are propagated, want %d", len(messages), maxCrashes)
	}
	if _, ok := known[testCrash("first").key()]; ok {
		t.Error("the oldest crash is kept")
	}
}

func TestALaterReportOfACrashWithAFurtherRunIsNew(t *testing.T) {
	known, now := make(crashes), time.Unix(1000, 0)
	first, later := testCrash("w"), testCrash("w")
	first.Runs, later.Runs = first.Runs[:1], later.Runs[1:]
	known.add(now, first)
	if !known.add(now, later) {
		t.Error("a report with a further run is not reported as new")
	}
	if known.add(now, first) || known.add(now, testCrash("w")) {
		t.Error("a report without a further run is reported as new")
	}
	if messages := known.messages(now); len(messages) != 1 || len(messages[0].Runs) != 2 {
		t.Errorf("the propagated crashes are %v, want one with two runs", messages)
	}
}
