// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// A start that was not answered before the session ended may have begun a run, so package durable must be told that the job may
// have begun.
func TestDurableJobMayHaveBegunAfterAgentLoss(t *testing.T) {
	d := New(Limits{Jobs: 10}, rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(1_000_000, 0)
	d.Handle(now, AgentUp{Agent: "a"},
		WorkerDescribed{Agent: "a", Record: worker.Record{ID: "w", Service: "svc", Capacity: worker.Resources{CPU: 1000}}},
		LoadReceived{Agent: "a", Load: runner.Load{Accepts: true, Slowness: 1}},
		DurableAccepted{Job: Job{ID: "j", Kind: Kind{Service: "svc"}, Steps: []Step{{Count: 1, Needs: worker.Resources{CPU: 1000}}}}})
	for _, effect := range d.Handle(now, AgentDown{Agent: "a"}) {
		if begun, ok := effect.(DurableStarted); ok && begun.Job == "j" {
			return
		}
	}
	t.Fatal("package durable is not told that the job may have begun")
}
