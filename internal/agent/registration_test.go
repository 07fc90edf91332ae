// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package agent

import (
	"testing"
	"time"

	"sailhead/internal/worker"
)

// TestARecalledWorkerIsRegisteredOnce follows an agent that restarts beside the same worker: its record is written once, and again only when
// the worker changes. After a restart of everything each further write would be one for each agent at the same moment.
func TestARecalledWorkerIsRegisteredOnce(t *testing.T) {
	r := newRegistration()
	record := worker.Record{ID: "w", StartedMillis: 5, Service: "svc"}
	r.recall(record)
	if latest := r.latest(); latest == nil || latest.ID != "w" {
		t.Fatalf("got %v", latest)
	}
	record.Sequence, record.Clock = 9, time.Hour
	r.setWorker(record)
	if len(r.changed) != 0 {
		t.Error("the recalled worker counts as a change")
	}
	record.StartedMillis = 6
	r.setWorker(record)
	if len(r.changed) != 1 {
		t.Error("the next process of the worker does not count as a change")
	}
	r.recall(worker.Record{ID: "earlier"})
	if r.latest().ID != "w" {
		t.Error("what was recalled replaces what a heartbeat told")
	}
}
