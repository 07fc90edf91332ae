// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"testing"
	"time"
)

func TestCallersThatComeBackTooLateAreKnownAfterARestart(t *testing.T) {
	p := make(callerTimes)
	ask := func(left time.Duration) bool {
		j := newJob(time.Time{}, Job{
			Kind:          Kind{Name: "k", Stretch: 1.6, Target: 60 * time.Millisecond, Timeout: 1500 * time.Millisecond},
			RemainingTime: left,
			Steps:         []Step{{Count: 2, Expected: 70 * time.Millisecond}},
		})
		return p.observe(j)
	}
	// The first callers after a restart are those that come back.
	for range 5 {
		if !ask(600 * time.Millisecond) {
			t.Fatal("a caller that comes back is taken for a new one")
		}
	}
	for range 20 {
		if ask(2 * time.Second) {
			t.Fatal("a new caller is taken for one that comes back")
		}
	}
	if !ask(time.Second) {
		t.Fatal("a caller with half the usual patience is taken for a new one")
	}
	if ask(0) {
		t.Fatal("a caller that does not say how long it waits is taken for one that comes back")
	}
}

func TestCallersOfShortJobsAreNotTakenForThoseThatComeBack(t *testing.T) {
	p := make(callerTimes)
	ask := func(expected, left time.Duration) bool {
		return p.observe(newJob(time.Time{}, Job{
			Kind:          Kind{Name: "k", Stretch: 1.6, Target: 60 * time.Millisecond, Timeout: 1500 * time.Millisecond},
			RemainingTime: left,
			Steps:         []Step{{Count: 2, Expected: expected}},
		}))
	}
	for range 50 {
		ask(900*time.Millisecond, 5500*time.Millisecond)
	}
	if ask(240*time.Millisecond, 3*time.Second) {
		t.Fatal("a caller that grants a short job less time than others grant long ones is taken for one that comes back")
	}
	if !ask(240*time.Millisecond, 1400*time.Millisecond) {
		t.Fatal("a caller with less time than any grants is taken for a new one")
	}
}
