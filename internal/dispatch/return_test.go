// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// overload plays a service that does 10 jobs a second, of one core-second each, while 20 a second are refused, and returns after
// which time from the start each of the refused callers returns.
func overload(p *returnPlan, start time.Time, length time.Duration) []time.Duration {
	const one = work(1000)
	var returns []time.Duration
	for at := time.Duration(0); at < length; at += 50 * time.Millisecond {
		now := start.Add(at)
		if at%(100*time.Millisecond) == 0 {
			p.done(now, one)
		}
		if wait, ok := p.plan(now, one, seeded()); ok {
			returns = append(returns, at+wait)
		}
	}
	return returns
}

// TestRefusedCallersReturnInTheirOrder plays the pattern of a burst beyond all cores. Callers that return in the order of their
// refusal, and no faster than a quarter of the rate of work, make no second burst.
func TestRefusedCallersReturnInTheirOrder(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var p returnPlan
	for range 100 {
		p.done(start, 200)
	}
	returns := overload(&p, start, time.Second)
	if len(returns) < 15 || !slices.IsSorted(returns) {
		t.Fatalf("%d callers, in order: %t", len(returns), slices.IsSorted(returns))
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
		t.Errorf("the last caller returns after %s", last)
	}
}

func TestRefusedCallersReturnWithinTheBounds(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var p returnPlan
	if _, ok := p.plan(start, 1000, seeded()); ok {
		t.Error("a time was planned although no work was done")
	}
	p.done(start, 4000)
	for i := range 1000 {
		wait, ok := p.plan(start, 100, seeded())
		if !ok || wait < RetryAfter || wait > maxRetryAfter {
			t.Fatalf("caller %d: %s, %t", i, wait, ok)
		}
	}
	if _, ok := p.plan(start.Add(time.Minute), 1000, seeded()); ok {
		t.Error("a time was planned on work of a minute ago")
	}
}

// A caller refused after a pause does not wait for those before the pause.
func TestReturnsDoNotAddUpOverPauses(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var p returnPlan
	p.done(start, 8000)
	for range 3 {
		p.plan(start, 100, seeded())
	}
	later := start.Add(8 * time.Second)
	p.done(later, 8000)
	if wait, ok := p.plan(later, 100, seeded()); !ok || wait != RetryAfter {
		t.Errorf("%s, %t, want %s", wait, ok, RetryAfter)
	}
}
