// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"testing"
	"time"

	"sailhead/internal/worker"
)

// TestAJobReservesAtAFewAgentsForEachTask bounds what a job that waits costs on the link of its entry.
func TestAJobReservesAtAFewAgentsForEachTask(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for tasks, want := range map[int]int{1: 3, 2: 6, 8: 24, 40: 24} {
		d := busyDispatcher(now, 67, 1)
		step := Step{Count: tasks, Needs: worker.Resources{CPU: 3100}, Expected: 100 * time.Millisecond}
		job := Job{ID: "job", Kind: Kind{Name: "kind", Service: "svc", Stretch: 1.6, Target: time.Hour}, Steps: []Step{step}}
		reserved := 0
		for _, effect := range d.Handle(now, Submitted{Job: job, Waiter: 1}) {
			if e, ok := effect.(Reserve); ok && e.Reservation.Job == "job" {
				reserved++
			}
		}
		if reserved != want {
			t.Errorf("a job with %d tasks that wait reserves at %d agents, want %d", tasks, reserved, want)
		}
	}
}
