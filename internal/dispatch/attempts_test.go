// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math/rand/v2"
	"testing"

	"sailhead/internal/runner"
)

func TestMaxAttempts(t *testing.T) {
	d := New(Limits{}, rand.New(rand.NewPCG(1, 2)))
	d.agents["healthy"] = &agent{load: runner.Load{Slowness: 1}}
	d.agents["failing"] = &agent{load: runner.Load{Slowness: 1, FailureRate: maxFailureRate}}
	d.agents["slow"] = &agent{load: runner.Load{Slowness: maxSlowness}}
	for _, test := range []struct {
		name      string
		attempts  int
		isDurable bool
		agent     AgentID
		want      int
	}{
		{"no attempts configured", 0, false, "healthy", 1},
		{"on a healthy worker", 2, false, "healthy", 2},
		{"on a worker whose runs fail", 2, false, "failing", 2 + extraAttempts},
		{"on a slow worker", 2, false, "slow", 2 + extraAttempts},
		{"at an agent without a session", 2, false, "lost", 2},
		{"durable, on a worker whose runs fail", 2, true, "failing", 2},
		{"durable, no attempts configured", 0, true, "healthy", 1},
	} {
		j := &job{Job: Job{Kind: Kind{Attempts: test.attempts}}, isDurable: test.isDurable}
		if got := d.maxAttempts(j, test.agent); got != test.want {
			t.Errorf("%s: %d attempts, want %d", test.name, got, test.want)
		}
	}
}
