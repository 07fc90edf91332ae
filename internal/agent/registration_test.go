// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package agent

import (
	"net"
	"testing"
	"time"

	"sailhead/internal/cluster"
	"sailhead/internal/logging"
	"sailhead/internal/metric"
	"sailhead/internal/runner"
	"sailhead/internal/session"
	"sailhead/internal/worker"
)

// An agent that restarts next to the same worker must write its record once, and again only when the worker changes.
// After a restart of the whole site, every further write would be made by all agents at the same time.
func TestAStoredWorkerIsRegisteredOnce(t *testing.T) {
	r := newRegistration(5)
	record := worker.Record{ID: "w", StartedMillis: 5, Service: "svc"}
	r.setStored(record)
	if latest := r.latest(cluster.Member{}).Worker; latest == nil || latest.ID != "w" {
		t.Fatalf("got %v", latest)
	}
	record.Sequence, record.Clock = 9, time.Hour
	r.setWorker(record)
	if len(r.changed) != 0 {
		t.Error("a heartbeat of the stored worker counts as a change")
	}
	record.StartedMillis = 6
	r.setWorker(record)
	if len(r.changed) != 1 {
		t.Error("a new incarnation of the worker does not count as a change")
	}
	r.setStored(worker.Record{ID: "earlier"})
	if r.latest(cluster.Member{}).Worker.ID != "w" {
		t.Error("the stored worker replaces the one from a heartbeat")
	}
}

// An agent that refuted the record of a later process would take the sessions of that process, which then does the same.
func TestOnlyARecordFromTheFutureIsRefuted(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const own = 5
	for name, test := range map[string]struct {
		superseding int64
		want        int64
	}{
		"none":                          {0, own},
		"a later process":               {now.UnixNano(), own},
		"a VM whose clock is ahead":     {now.Add(maxClockDifference).UnixNano(), own},
		"a process that cannot be":      {now.Add(maxClockDifference).UnixNano() + 1, now.Add(maxClockDifference).UnixNano() + 2},
		"a process that is an hour off": {now.Add(time.Hour).UnixNano(), now.Add(time.Hour).UnixNano() + 1},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			sessions, closeSessions := session.NewServer(listener, own, session.NewTraffic(metric.NewSet()), func(runner.Event) {}, logging.Discard())
			defer closeSessions()
			a := &Agent{registration: newRegistration(own), sessions: sessions, logger: logging.Discard()}
			a.refute(now, test.superseding)
			if got := a.registration.latest(cluster.Member{}).Incarnation; got != test.want {
				t.Errorf("incarnation %d, want %d", got, test.want)
			}
			if isWoken := len(a.registration.changed) > 0; isWoken != (test.want != own) {
				t.Errorf("the record is written anew: %t", isWoken)
			}
		})
	}
}
