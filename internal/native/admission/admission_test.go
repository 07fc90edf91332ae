// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"sailhead/internal/native/model"
)

func TestRetryAfterLiesBetweenTheBacklogAndTwiceThat(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, test := range []struct{ backlog, base time.Duration }{
		{0, minRetryAfter},
		{time.Second, time.Second},
		{time.Hour, maxRetryAfter},
	} {
		for range 100 {
			if got := RetryAfter(test.backlog, random); got < test.base || got >= 2*test.base {
				t.Errorf("backlog %s: got %s, want %s or more, and less than twice that", test.backlog, got, test.base)
			}
		}
	}
}

func TestWaitIsTheWorkOverTheSlotsThatMoreUrgentTasksLeave(t *testing.T) {
	const urgency = 5
	busy := model.Load{Slots: 4, Running: 4, Rest: 200 * time.Millisecond}
	if got := Wait(busy, urgency); got != 50*time.Millisecond {
		t.Errorf("got %s on four busy slots, want 50ms", got)
	}
	free := busy
	free.Running = 3
	if got := Wait(free, urgency); got != 0 {
		t.Errorf("got %s with a free slot, want 0", got)
	}
	half := busy
	half.Share[urgency+1] = 0.5
	if got := Wait(half, urgency); got != 100*time.Millisecond {
		t.Errorf("got %s with half of the slots used by more urgent tasks, want 100ms", got)
	}
	all := busy
	all.Share[urgency+1] = 1
	if got, want := Wait(all, urgency), time.Second; got != want {
		t.Errorf("got %s with all slots used by more urgent tasks, want %s by minSlotShare", got, want)
	}
}

func TestEstimateIsTheExpectedTimeUntilThereAreSamples(t *testing.T) {
	const expected, sample = time.Second, 10 * time.Millisecond
	e := NewEstimator()
	for range minSamples - 1 {
		e.Add("k", sample)
	}
	if got := e.Of("k", expected); got != (Estimate{Mean: expected, Median: expected, High: expected}) {
		t.Errorf("got %+v after %d samples, want the expected time", got, minSamples-1)
	}
	e.Add("k", sample)
	got := e.Of("k", expected)
	for _, figure := range []time.Duration{got.Mean, got.Median, got.High} {
		if difference := (figure - sample).Abs(); difference > sample/100 {
			t.Errorf("got %+v after %d samples of %s", got, minSamples, sample)
		}
	}
}
