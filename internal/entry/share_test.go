// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"sailhead/internal/clock"
	"sailhead/internal/cluster"
	"sailhead/internal/dispatch"
	"sailhead/internal/evacuation"
	"sailhead/internal/learned"
	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// recordListener passes on the crashes and the unended runs that an exchanger receives.
type recordListener struct {
	crashes chan cluster.Crash
	// runsAt holds the other entries that know of the unended run, by number.
	runsAt *sync.Map
	peer   int
}

func (recordListener) Accept([]byte) (uint64, error)               { return 0, nil }
func (l recordListener) CrashReceived(crash cluster.Crash)         { l.crashes <- crash }
func (l recordListener) UnendedRunReceived(run cluster.UnendedRun) { l.runsAt.Store(l.peer, run) }
func (recordListener) LearnedReceived([]learned.Kind)              {}
func (recordListener) EvacuationsReceived(evacuation.State)        {}

// newSharingEntry returns an entry with a directory that knows a crash, an unended run and the given number of other entries, each of which
// passes the records that it receives to the returned channels. wrap may replace the handler of an entry.
func newSharingEntry(t *testing.T, peers int, wrap func(peer int, handler http.Handler) http.Handler) (*Entry, recordListener) {
	t.Helper()
	received := recordListener{crashes: make(chan cluster.Crash, peers), runsAt: new(sync.Map)}
	e := &Entry{
		context: t.Context(), directory: cluster.NewDirectory(), dependencies: newDependencies(log.NewNopLogger()), logger: log.NewNopLogger(),
		events: make(chan dispatch.Event, 1),
	}
	for peer := range peers {
		received.peer = peer
		exchanger, closeExchanger := cluster.NewExchanger(cluster.NewDirectory(), received)
		t.Cleanup(closeExchanger)
		server := httptest.NewServer(wrap(peer, exchanger.Handler()))
		t.Cleanup(server.Close)
		e.directory.AddMember(cluster.Member{Name: fmt.Sprintf("entry-%d", peer), Role: cluster.RoleEntry, Address: server.Listener.Addr().String(), Incarnation: 1})
	}
	exchanger, closeExchanger := cluster.NewExchanger(e.directory, received)
	t.Cleanup(closeExchanger)
	e.exchanger = exchanger
	run := runner.CrashedRun{RunID: runner.RunID{Task: "j.0.0.0", Run: 1}, WasRunning: true}
	crash := runner.Crash{Incarnation: worker.Incarnation{ID: "w"}, Runs: []runner.CrashedRun{run}}
	e.directory.AddCrash(clock.Now(), cluster.Crash{Agent: "a", Crash: crash})
	e.perform(effect{dispatch: dispatch.PropagateUnendedRun{Task: "j.0.0.1", EndedBy: clock.Now().Add(time.Minute)}})
	return e, received
}

func TestSharedRecordsAreKnownToAllOtherEntries(t *testing.T) {
	const peers = 2*recordShareCalls + 1
	e, received := newSharingEntry(t, peers, func(_ int, handler http.Handler) http.Handler { return handler })
	e.shareWithin(time.Minute, dispatch.ShareRecords{Number: 7})
	if event := <-e.events; event != (dispatch.RecordsShared{Number: 7}) {
		t.Errorf("got event %+v", event)
	}
	if len(received.crashes) != peers {
		t.Errorf("%d of %d other entries know of the crash", len(received.crashes), peers)
	}
	for peer := range peers {
		if _, ok := received.runsAt.Load(peer); !ok {
			t.Errorf("entry %d does not know of the run", peer)
		}
	}
}

// An entry that does not answer must neither keep the others from being told nor hold the answers that wait for them for ever.
func TestSharingRecordsEndsBesideASilentEntry(t *testing.T) {
	end := make(chan struct{})
	defer close(end)
	e, received := newSharingEntry(t, 2, func(peer int, handler http.Handler) http.Handler {
		if peer > 0 {
			return handler
		}
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-end:
			case <-r.Context().Done():
			}
		})
	})
	e.shareWithin(time.Minute, dispatch.ShareRecords{Number: 1})
	if event := <-e.events; event != (dispatch.RecordsShared{Number: 1}) {
		t.Errorf("got event %+v", event)
	}
	if len(received.crashes) != 1 {
		t.Errorf("%d other entries know of the crash, want the one that answers", len(received.crashes))
	}
	if _, ok := received.runsAt.Load(1); !ok {
		t.Error("the entry that answers does not know of the run")
	}
}

// Calls must not go on once the time of a share is over.
func TestSharingRecordsEndsWithItsTime(t *testing.T) {
	e, received := newSharingEntry(t, 1, func(_ int, handler http.Handler) http.Handler { return handler })
	e.shareWithin(0, dispatch.ShareRecords{Number: 1})
	if event := <-e.events; event != (dispatch.RecordsShared{Number: 1}) {
		t.Errorf("got event %+v", event)
	}
	_, knowsRun := received.runsAt.Load(0)
	if len(received.crashes) > 0 || knowsRun {
		t.Error("the other entry was called after the time was over")
	}
}
