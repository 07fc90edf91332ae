// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package forecast

import (
	"math"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// simulatePlacements lets tasks wait for the given length of time, during which one is placed at each interval, or none if the interval is
// zero. It returns the end of that time.
func simulatePlacements(r *Rate, from time.Time, length, interval time.Duration) time.Time {
	r.SetWaiting(from, true)
	if interval > 0 {
		for at := interval; at <= length; at += interval {
			r.Add(from.Add(at), 1)
		}
	}
	return from.Add(length)
}

func checkRate(t *testing.T, r *Rate, now time.Time, want float64) {
	t.Helper()
	got, isKnown := r.PerSecond(now)
	if !isKnown || math.Abs(got-want) > want/10+0.5 {
		t.Errorf("got rate %.1f, known %t, want %.1f", got, isKnown, want)
	}
}

func TestPlacementsCountOnlyWhileTasksWait(t *testing.T) {
	var r Rate
	end := simulatePlacements(&r, start, 2*time.Second, 10*time.Millisecond)
	checkRate(t, &r, end, 100)
	// No task waits, so these placements do not count.
	r.SetWaiting(end, false)
	for range 1000 {
		r.Add(end.Add(100*time.Millisecond), 1)
	}
	checkRate(t, &r, end.Add(100*time.Millisecond), 100)
}

func TestRateFollowsChanges(t *testing.T) {
	var r Rate
	end := simulatePlacements(&r, start, 2*time.Second, 10*time.Millisecond)
	end = simulatePlacements(&r, end, 2*time.Second, 50*time.Millisecond)
	checkRate(t, &r, end, 20)
	end = simulatePlacements(&r, end, 2*time.Second, 0)
	checkRate(t, &r, end, 0)
	end = simulatePlacements(&r, end, 2*time.Second, 5*time.Millisecond)
	checkRate(t, &r, end, 200)
}

func TestRateIsUnknownWithoutWaits(t *testing.T) {
	var r Rate
	if _, isKnown := r.PerSecond(start); isKnown {
		t.Error("the rate is known although no task has waited")
	}
	end := simulatePlacements(&r, start, 20*time.Millisecond, 10*time.Millisecond)
	if _, isKnown := r.PerSecond(end); isKnown {
		t.Error("the rate is known after a wait of 20 ms, less than minWaited")
	}
	end = simulatePlacements(&r, end, 20*time.Millisecond, 10*time.Millisecond)
	checkRate(t, &r, end, 100)
	r.SetWaiting(end, false)
	if _, isKnown := r.PerSecond(end.Add(5 * time.Second)); isKnown {
		t.Error("the rate is known five seconds after the last wait")
	}
}

func TestRejectedTasksAreTakenBack(t *testing.T) {
	var r Rate
	end := simulatePlacements(&r, start, time.Second, 10*time.Millisecond)
	before, _ := r.PerSecond(end)
	r.Add(end, 5)
	r.Add(end, -5)
	checkRate(t, &r, end, before)
	r.Add(end, -1000)
	checkRate(t, &r, end, 0)
}

func TestIsScarce(t *testing.T) {
	var r Rate
	now := start
	for range 20 {
		// Tasks wait for a tenth of the time.
		now = simulatePlacements(&r, now, 10*time.Millisecond, 0)
		r.SetWaiting(now, false)
		now = now.Add(90 * time.Millisecond)
	}
	if r.IsScarce(now) {
		t.Error("capacity is scarce although tasks wait for a tenth of the time only")
	}
	now = simulatePlacements(&r, now, 300*time.Millisecond, 0)
	if !r.IsScarce(now) {
		t.Error("capacity is not scarce although tasks have waited for 300 ms")
	}
	r.SetWaiting(now, false)
	if now = now.Add(time.Second); r.IsScarce(now) {
		t.Error("capacity is scarce a second after the last wait")
	}
}
