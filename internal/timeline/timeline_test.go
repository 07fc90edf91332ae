// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package timeline

import (
	"testing"
	"time"
)

func TestRingKeepsLatestEvents(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	ring := NewRing("p", 3, func() time.Time { now = now.Add(time.Second); return now })
	for i := range 5 {
		ring.Add(Event{Kind: TaskSent, Task: i, Submission: "k", Worker: "w"})
	}
	events, dropped := ring.Select(Filter{})
	if len(events) != 3 || dropped != 2 || events[0].Task != 2 || events[2].Task != 4 || events[0].Process != "p" {
		t.Errorf("got %+v, %d dropped", events, dropped)
	}
	for _, test := range []struct {
		filter Filter
		want   int
	}{
		{Filter{Submission: "k"}, 3}, {Filter{Submission: "other"}, 0}, {Filter{Worker: "w"}, 3}, {Filter{Worker: "p"}, 3},
		{Filter{Worker: "x"}, 0}, {Filter{Since: now}, 1}, {Filter{Until: now.Add(-time.Second)}, 2},
	} {
		if events, _ := ring.Select(test.filter); len(events) != test.want {
			t.Errorf("%+v: got %d events", test.filter, len(events))
		}
	}
}
