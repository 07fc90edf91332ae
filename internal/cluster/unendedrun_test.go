// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"sailhead/internal/clock"
	"sailhead/internal/cluster/clusterpb"
	"sailhead/internal/timing"
)

// serveDirectory serves a directory and returns its address.
func serveDirectory(t *testing.T, d *Directory, listener testListener) string {
	t.Helper()
	exchanger, closeExchanger := NewExchanger(d, listener)
	t.Cleanup(closeExchanger)
	server := httptest.NewServer(exchanger.Handler())
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// exchangeOnce makes a directory exchange its view with the entry at an address.
func exchangeOnce(t *testing.T, d *Directory, listener testListener, address string) {
	t.Helper()
	exchanger, closeExchanger := NewExchanger(d, listener)
	defer closeExchanger()
	if err := exchanger.ExchangeWith(t.Context(), address); err != nil {
		t.Fatal(err)
	}
}

// TestUnendedRunsAreExchangedInBothDirections checks that both sides receive the other's runs, with an end that is no earlier than the true
// one: a task that is started before the end has two runs at a time.
func TestUnendedRunsAreExchangedInBothDirections(t *testing.T) {
	own, other := NewDirectory(), NewDirectory()
	endedBy := clock.Now().Add(timing.RerunDelay)
	own.AddUnendedRun(clock.Now(), UnendedRun{Task: "own", EndedBy: endedBy})
	other.AddUnendedRun(clock.Now(), UnendedRun{Task: "other", EndedBy: endedBy})
	received := make(map[string]time.Time)
	listener := testListener{unended: func(run UnendedRun) { received[run.Task] = run.EndedBy }}
	exchangeOnce(t, own, listener, serveDirectory(t, other, listener))
	for _, task := range []string{"own", "other"} {
		if end, ok := received[task]; !ok || end.Before(endedBy) {
			t.Errorf("run of %s: received %t, ends %s too early", task, ok, endedBy.Sub(end))
		}
	}
}

// TestUnendedRunsAreNotPassedOn checks that an exchange does not pass on the runs of other entries: each exchange would add its delay to the
// end of a run, and its task would never be started again.
func TestUnendedRunsAreNotPassedOn(t *testing.T) {
	first, second, third := NewDirectory(), NewDirectory(), NewDirectory()
	first.AddUnendedRun(clock.Now(), UnendedRun{Task: "j.0.0.0", EndedBy: clock.Now().Add(time.Minute)})
	address := serveDirectory(t, second, testListener{})
	exchangeOnce(t, first, testListener{}, address)
	exchangeOnce(t, third, testListener{unended: func(run UnendedRun) { t.Errorf("%s was passed on", run.Task) }}, address)
}

func TestUnendedRunsAreSentUntilTheyHaveEndedAndBounded(t *testing.T) {
	known, now := make(unendedRuns), time.Unix(1000, 0)
	known.add(now, UnendedRun{Task: "first", EndedBy: now.Add(time.Second)})
	if messages := known.messages(now.Add(time.Second - 1)); len(messages) != 1 || messages[0].RemainingMs != 1 {
		t.Errorf("just before its end a run is sent as %v", messages)
	}
	now = now.Add(time.Second)
	if messages := known.messages(now); len(messages) > 0 {
		t.Errorf("a run is sent after its end: %v", messages)
	}
	for i := range 2 * maxUnendedRuns {
		known.add(now, UnendedRun{Task: fmt.Sprint(i), EndedBy: now.Add(time.Duration(i+1) * time.Second)})
	}
	if messages := known.messages(now); len(messages) != maxUnendedRuns {
		t.Errorf("%d runs are sent, want %d", len(messages), maxUnendedRuns)
	}
	if _, ok := known[fmt.Sprint(2*maxUnendedRuns-1)]; !ok {
		t.Error("the run that ends last was evicted")
	}
}

func TestAnUnendedRunWithAWrongTimeIsLimited(t *testing.T) {
	now := time.Unix(1000, 0)
	runs := unpackUnendedRuns(now, []*clusterpb.UnendedRun{{Task: "t", RemainingMs: 1 << 31}})
	if want := now.Add(maxRemainingTime); len(runs) != 1 || !runs[0].EndedBy.Equal(want) {
		t.Errorf("got %v, want one run until %s", runs, want)
	}
}
