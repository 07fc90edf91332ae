// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"testing"
	"time"

	"sailhead/internal/worker"
)

// submitted returns the submission of a job of one task, which needs a whole worker of newDispatcherWithAgents.
func submitted(id, service string, waiter Waiter) Submitted {
	return Submitted{Waiter: waiter, Job: Job{
		ID: id, Kind: Kind{Name: "k", Service: service, Attempts: 2, Stretch: 1.6},
		Steps: []Step{{Count: 1, Needs: worker.Resources{CPU: 8000}, Expected: 100 * time.Millisecond}},
	}}
}

func TestAJobWithoutAWorkerDoesNotBlockOtherServices(t *testing.T) {
	d, now := newDispatcherWithAgents("a")
	d.Handle(now, submitted("unserved", "other", 1))
	starts := started(d.Handle(now.Add(time.Millisecond), submitted("served", "svc", 2)))
	if starts["served.0.0.0"] != "a" {
		t.Errorf("started %v with a free worker of the second job's service, want served.0.0.0 at a", starts)
	}
}

func TestJobsOfOneBatchArePlacedInTheirOrder(t *testing.T) {
	d, now := newDispatcherWithAgents("a")
	starts := started(d.Handle(now, submitted("first", "svc", 1), submitted("second", "svc", 2)))
	if starts["first.0.0.0"] != "a" {
		t.Errorf("started %v on a worker with capacity for one job, want first.0.0.0", starts)
	}
}
