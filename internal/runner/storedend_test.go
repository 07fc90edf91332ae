// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package runner

import (
	"testing"
	"time"

	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

// An agent that reaches no owner must store the ends that it holds, those of an ended worker too, until they are acknowledged. Otherwise an
// owner that reads the store takes their runs for lost.
func TestUnacknowledgedEndsAreStoredUntilTheyAreAcknowledged(t *testing.T) {
	r, now := newRunnerWithKnownRuns()
	// tick returns the names of the ends that are to be stored from a tick on; ok is false if they have not changed.
	tick := func(at time.Time) (names []string, ok bool) {
		for _, effect := range r.Handle(at, Ticked{}) {
			if e, isStore := effect.(StoreEnds); isStore {
				ok = true
				for _, end := range e.Ends {
					names = append(names, end.Name)
				}
			}
		}
		return names, ok
	}
	r.retainEnd(now, worker.End{Number: 1, Name: "j.0.0.0", Run: 1, Ending: worker.EndingDone})
	if names, ok := tick(now.Add(timing.EndStoreDelay - time.Millisecond)); ok {
		t.Fatalf("%v are stored before EndStoreDelay", names)
	}
	now = now.Add(timing.EndStoreDelay)
	if names, ok := tick(now); !ok || len(names) != 1 {
		t.Fatalf("%v are stored after EndStoreDelay, want the end", names)
	}
	r.Handle(now, WorkerLeft{Incarnation: worker.Incarnation{ID: "w"}})
	if names, ok := tick(now.Add(time.Minute)); ok {
		t.Fatalf("%v are stored instead after the worker has ended", names)
	}
	now = now.Add(time.Minute)
	r.Handle(now, EndAcknowledged{Name: "j.0.0.0", Run: 1})
	if names, ok := tick(now); !ok || len(names) != 0 {
		t.Fatalf("%v are stored after the acknowledgement, want none", names)
	}
}

// An agent that writes for each end would use up the rate of the store while an entry is cut off.
func TestEndsAreStoredTogether(t *testing.T) {
	r, now := newRunnerWithKnownRuns()
	const ends, spread = 50, time.Second
	for i := range uint64(ends) {
		learned := now.Add(time.Duration(i) * spread / ends)
		r.retainEnd(learned, worker.End{Number: i + 1, Name: "j.0.0.0", Run: uint32(i + 1), Ending: worker.EndingDone})
	}
	writes, stored := 0, 0
	for at := now; at.Before(now.Add(timing.EndStoreDelay + 2*spread)); at = at.Add(TickInterval) {
		for _, effect := range r.Handle(at, Ticked{}) {
			if e, isStore := effect.(StoreEnds); isStore {
				writes++
				stored = len(e.Ends)
			}
		}
	}
	if most := int(spread/timing.EndStoreInterval) + 1; writes > most || stored != ends {
		t.Errorf("%d writes, the last one of %d ends; want at most %d and all %d ends", writes, stored, most, ends)
	}
}
