// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"fmt"
	"testing"
	"time"

	"sailhead/internal/worker"
)

// TestEveryDroppedEndIsLogged restarts a worker with more unacknowledged ends than an agent keeps.
func TestEveryDroppedEndIsLogged(t *testing.T) {
	const excess = 3
	r, now := newRunnerWithKnownRuns()
	for number := range uint64(maxUnacknowledged + excess) {
		r.retainEnd(now, worker.End{Number: number + 1, Name: fmt.Sprintf("j.0.0.%d", number), Run: 1, Ending: worker.EndingDone})
	}
	dropped := make(map[string]bool)
	apply := func(event Event) {
		for _, effect := range r.Handle(now, event) {
			if e, ok := effect.(EndDropped); ok {
				dropped[e.Name] = true
			}
		}
	}
	apply(WorkerLeft{Incarnation: worker.Incarnation{ID: "w"}})
	for number := range excess {
		if name := fmt.Sprintf("j.0.0.%d", number); !dropped[name] {
			t.Errorf("the end of %s was dropped without a log event", name)
		}
	}
	if len(dropped) != excess {
		t.Errorf("%d ends were dropped, want %d", len(dropped), excess)
	}
	now = now.Add(time.Hour)
	apply(Ticked{})
	if len(dropped) != excess {
		t.Errorf("%d ends were dropped after an hour, want %d: no end expires", len(dropped), excess)
	}
}
