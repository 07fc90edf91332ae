// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package agent

import (
	"testing"
	"time"

	"sailhead/internal/worker"
)

// An agent that restarts next to the same worker must write its record once, and again only when the worker changes.
// After a restart of the whole site, every further write would be made by all agents at the same time.
func TestAStoredWorkerIsRegisteredOnce(t *testing.T) {
	r := newRegistration()
	record := worker.Record{ID: "w", StartedMillis: 5, Service: "svc"}
	r.setStored(record)
	if latest := r.latest(); latest == nil || latest.ID != "w" {
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
	if r.latest().ID != "w" {
		t.Error("the stored worker replaces the one from a heartbeat")
	}
}
