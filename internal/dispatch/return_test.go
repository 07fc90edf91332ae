// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func newSeededRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// simulateOverload simulates a service that completes 10 jobs per second, of one core-second each, and refuses 20 per second. It
// returns the time from the start after which each refused caller returns.
func simulateOverload(p *retrySchedule, start time.Time, length time.Duration) []time.Duration {
	const one = work(1000)
	var returns []time.Duration
	for at := time.Duration(0); at < length; at += 50 * time.Millisecond {
		now := start.Add(at)
		if at%(100*time.Millisecond) == 0 {
			p.done(now, one)
		}
		if wait, ok := p.nextReturn(now, one, newSeededRandom()); ok {
			returns = append(returns, at+wait)
		}
	}
	return returns
}

// Callers refused in a burst cause a second burst if they return together. They must return in the order of their refusals, at no
// more than a quarter of the rate of work.
func TestRefusedCallersReturnInOrder(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var p retrySchedule
	for range 100 {
		p.done(start, 200)
	}
	returns := simulateOverload(&p, start, time.Second)
	if len(returns) < 15 || !slices.IsSorted(returns) {
		t.Fatalf("%d callers return, in order: %t; want at least 15 in order", len(returns), slices.IsSorted(returns))
	}
	perSecond := make(map[int]int)
	for _, at := range returns {
		perSecond[int(at.Seconds())]++
	}
	for second, count := range perSecond {
		if count > 5 {
			t.Errorf("%d callers return in second %d, want 5 at most", count, second)
		}
	}
	if last := returns[len(returns)-1]; last > 11*time.Second {
		t.Errorf("the last caller returns after %s, want 11s at most", last)
	}
}

func TestRefusedCallersReturnWithinTheBounds(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var p retrySchedule
	if _, ok := p.nextReturn(start, 1000, newSeededRandom()); ok {
		t.Error("a return time was given although no work was done")
	}
	p.done(start, 4000)
	for i := range 1000 {
		wait, ok := p.nextReturn(start, 100, newSeededRandom())
		if !ok || wait < RetryAfter || wait > maxRetryAfter {
			t.Fatalf("caller %d: got %s, %t, want a time from RetryAfter to maxRetryAfter", i, wait, ok)
		}
	}
	if _, ok := p.nextReturn(start.Add(time.Minute), 1000, newSeededRandom()); ok {
		t.Error("a return time was based on work of a minute ago")
	}
}

// A caller refused after a pause does not wait for those before the pause.
func TestReturnTimesDoNotAccumulateOverPauses(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var p retrySchedule
	p.done(start, 8000)
	for range 3 {
		p.nextReturn(start, 100, newSeededRandom())
	}
	later := start.Add(8 * time.Second)
	p.done(later, 8000)
	if wait, ok := p.nextReturn(later, 100, newSeededRandom()); !ok || wait != RetryAfter {
		t.Errorf("got %s, %t, want %s", wait, ok, RetryAfter)
	}
}
