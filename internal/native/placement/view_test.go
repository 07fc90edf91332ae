// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"sailhead/internal/native/admission"
	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
	"sailhead/internal/settings"
)

var now = time.Unix(1_800_000_000, 0)

const mean = 100 * time.Millisecond

// view returns a view of four workers with eight slots; the first is the owner's own.
func view(policy Policy) *View {
	v := NewView("a", "z1", policy, rand.New(rand.NewPCG(1, 2)))
	members := []ownership.Member{
		{ID: "a", Name: "wa", Zone: "z1"}, {ID: "b", Name: "wb", Zone: "z1"},
		{ID: "c", Name: "wc", Zone: "z2"}, {ID: "d", Name: "wd", Zone: "z2"},
	}
	v.SetMembers(members, func(name string) bool { return name == "wd" })
	for _, id := range []ownership.MemberID{"a", "b", "c", "d"} {
		v.Observe(id, load(0, mean))
	}
	return v
}

func load(running int, mean time.Duration) model.Load {
	return model.Load{Slots: 8, Running: running, Rest: time.Duration(running) * mean / 2, Mean: mean, Measured: now.Add(time.Duration(running + 1))}
}

func place(t *testing.T, v *View, at time.Time, tried ...ownership.MemberID) ownership.MemberID {
	t.Helper()
	id, ok := v.Place(at, 5, tried)
	if !ok {
		return "none"
	}
	return id
}

func TestPlacePrefersItsOwnFreeSlotThenANearWorker(t *testing.T) {
	v := view(LeastLoaded{})
	if got := place(t, v, now); got != "a" {
		t.Errorf("got %s, want the owner's own worker", got)
	}
	for range 8 {
		v.Sent("a")
	}
	if got := place(t, v, now); got != "b" {
		t.Errorf("got %s, want the worker in the zone", got)
	}
	if got := place(t, v, now, "a", "b", "c"); got != "none" {
		t.Errorf("got %s, want none: the last worker is draining", got)
	}
}

func TestPlaceExcludesLeavingAndSuspendedWorkers(t *testing.T) {
	v := view(LeastLoaded{})
	leaving := load(1, mean)
	leaving.Leaving = true
	v.Observe("a", leaving)
	v.Suspend("b", now.Add(time.Second))
	if got := place(t, v, now); got != "c" {
		t.Errorf("got %s, want c: a is leaving and b is suspended", got)
	}
	if got := place(t, v, now.Add(time.Second)); got != "b" {
		t.Errorf("got %s after the suspension, want b", got)
	}
}

func TestPlaceComparesExpectedEnds(t *testing.T) {
	v := view(LeastLoaded{})
	v.Observe("a", load(8, mean))
	for i := range 40 {
		slow := load(0, 3*mean)
		slow.Measured = now.Add(time.Duration(i) * time.Minute)
		v.Observe("b", slow)
	}
	v.Observe("c", load(8, mean))
	for range 4 {
		v.Sent("c")
	}
	if got := place(t, v, now); got != "a" {
		t.Errorf("got %s, want the busy worker: the free one is three times as slow", got)
	}
}

func TestAnOlderLoadIsIgnored(t *testing.T) {
	v := view(LeastLoaded{})
	v.Observe("a", load(8, mean))
	v.Observe("a", load(3, mean))
	if got := place(t, v, now); got != "b" {
		t.Errorf("got %s, want b: the owner's worker is full", got)
	}
}

func TestFinishCountsWorkAndMoreUrgentShares(t *testing.T) {
	v := view(TwoChoices{})
	estimate := admission.Estimate{Mean: mean, High: 150 * time.Millisecond}
	if need, ok := v.Finish(now, 24, 5, estimate); !ok || need != estimate.High {
		t.Errorf("got %s on free slots, want %s", need, estimate.High)
	}
	idle, _ := v.Finish(now, 240, 5, estimate)
	for _, id := range []ownership.MemberID{"a", "b", "c"} {
		busy := load(8, mean)
		busy.Share[9] = 0.5
		v.Observe(id, busy)
	}
	shared, _ := v.Finish(now, 240, 5, estimate)
	urgent, _ := v.Finish(now, 240, 9, estimate)
	if shared <= 2*idle-estimate.High || urgent >= shared {
		t.Errorf("got %s idle, %s with more urgent work, %s as the most urgent", idle, shared, urgent)
	}
	v.SetMembers(nil, func(string) bool { return false })
	if _, ok := v.Finish(now, 1, 5, estimate); ok {
		t.Error("got an estimate without workers")
	}
}

func TestPolicies(t *testing.T) {
	for _, name := range settings.Policies() {
		policy, err := NewPolicy(name, 2)
		if err != nil {
			t.Fatal(err)
		}
		v := view(policy)
		seen := make(map[ownership.MemberID]int)
		for range 200 {
			seen[place(t, v, now, "a")]++
		}
		if seen["d"]+seen["a"]+seen["none"] > 0 || seen["b"] == 0 || name == settings.PolicyRandom && seen["c"] == 0 {
			t.Errorf("%s: got %v", name, seen)
		}
	}
	if _, err := NewPolicy("best", 0); err == nil {
		t.Error("got no error for an unknown policy")
	}
}
