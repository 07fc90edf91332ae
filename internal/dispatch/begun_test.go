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

// TestADurableJobWhoseAgentIsLostMayHaveBegun loses the session with an agent before it has answered a start: the run may have begun,
// so the job no longer counts as one that has not.
func TestADurableJobWhoseAgentIsLostMayHaveBegun(t *testing.T) {
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
