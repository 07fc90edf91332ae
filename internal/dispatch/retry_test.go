// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"testing"
	"time"
)

func TestLateRetriesAreDetectedAfterARestart(t *testing.T) {
	times := make(callerTimes)
	observe := func(left time.Duration) bool {
		j := newJob(time.Time{}, Job{
			Kind:          Kind{Name: "k", Stretch: 1.6, Target: 60 * time.Millisecond, Timeout: 1500 * time.Millisecond},
			RemainingTime: left,
			Steps:         []Step{{Count: 2, Expected: 70 * time.Millisecond}},
		}, nil)
		return times.observe(j)
	}
	// The first callers after a restart are those that retry.
	for range 5 {
		if !observe(600 * time.Millisecond) {
			t.Fatal("a late retry after the restart was not detected")
		}
	}
	for range 20 {
		if observe(2 * time.Second) {
			t.Fatal("a first submission was taken for a late retry")
		}
	}
	if !observe(time.Second) {
		t.Fatal("a caller with half the usual remaining time was not taken for a late retry")
	}
	if observe(0) {
		t.Fatal("a caller without a remaining time was taken for a late retry")
	}
}

func TestCallersOfShortJobsAreNotLateRetries(t *testing.T) {
	times := make(callerTimes)
	observe := func(expected, left time.Duration) bool {
		return times.observe(newJob(time.Time{}, Job{
			Kind:          Kind{Name: "k", Stretch: 1.6, Target: 60 * time.Millisecond, Timeout: 1500 * time.Millisecond},
			RemainingTime: left,
			Steps:         []Step{{Count: 2, Expected: expected}},
		}, nil))
	}
	for range 50 {
		observe(900*time.Millisecond, 5500*time.Millisecond)
	}
	if observe(240*time.Millisecond, 3*time.Second) {
		t.Fatal("the caller of a short job, with less time than those of long jobs, was taken for a late retry")
	}
	if !observe(240*time.Millisecond, 1400*time.Millisecond) {
		t.Fatal("a caller with less time than the timeout was not taken for a late retry")
	}
}
