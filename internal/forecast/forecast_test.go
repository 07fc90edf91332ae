// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package forecast

import (
	"testing"
	"time"
)

// steady returns the rate of a task every 10 ms, and when it is known.
func steady() (*Rate, time.Time) {
	var r Rate
	return &r, play(&r, start, 2*time.Second, 10*time.Millisecond)
}

func TestAJobIsRefusedIfItWouldWaitForTooLong(t *testing.T) {
	for _, test := range []struct {
		name    string
		ahead   Ahead
		mayWait time.Duration
		want    bool
	}{
		{"nothing waits", Ahead{}, 100 * time.Millisecond, false},
		{"few tasks wait", Ahead{Jobs: 2, Tasks: 4}, 110 * time.Millisecond, false},
		{"as many as it may wait for, and no margin", Ahead{Jobs: 4, Tasks: 9}, 110 * time.Millisecond, true},
		{"one wide job, less than the least number of jobs", Ahead{Jobs: 1, Tasks: 100}, 110 * time.Millisecond, false},
		{"a job that may not wait", Ahead{Jobs: minJobs, Tasks: 4}, -time.Millisecond, true},
		{"a job that may wait for long", Ahead{Jobs: 4, Tasks: 9}, time.Second, false},
	} {
		rate, now := steady()
		f := New(now, test.ahead, rate, test.mayWait)
		if got := f.IsTooLong(); got != test.want {
			t.Errorf("%s: %t, want %t: %s", test.name, got, test.want, f)
		}
	}
}

// Without a rate nothing is refused: an entry that starts in a burst learns first.
func TestNothingIsRefusedWithoutARate(t *testing.T) {
	f := New(start, Ahead{Jobs: 50, Tasks: 400}, &Rate{}, 50*time.Millisecond)
	if f.IsKnown || f.Wait != 0 || f.IsTooLong() {
		t.Errorf("%+v", f)
	}
}

func TestAKindOfWhichNothingIsPlacedWaitsForTheLongestTime(t *testing.T) {
	var r Rate
	now := play(&r, start, time.Second, 0)
	f := New(now, Ahead{Jobs: minJobs, Tasks: 5}, &r, 100*time.Millisecond)
	if f.Wait != MaxWait || !f.IsTooLong() {
		t.Errorf("%+v", f)
	}
	if few := New(now, Ahead{Jobs: minJobs - 1, Tasks: 5}, &r, 100*time.Millisecond); few.IsTooLong() {
		t.Errorf("the rate cannot recover: %+v", few)
	}
}
