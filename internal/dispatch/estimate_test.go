// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// learnedTimes returns the run times learned from 400 steps of about 200 ms. The caller's guesses are wrong by the factor
// bias and by a random factor whose logarithm has the standard deviation guessError.
func learnedTimes(guessError, bias float64) runTimes {
	r, random := make(runTimes), rand.New(rand.NewPCG(1, 2))
	for range 400 {
		actual := 200 * math.Exp(0.4*random.NormFloat64())
		guess := actual * bias * math.Exp(guessError*random.NormFloat64())
		r.observe("kind", millis(guess), millis(actual), millis(1.2*actual))
	}
	return r
}

func millis(m float64) time.Duration { return time.Duration(m * float64(time.Millisecond)) }

// isWithin reports whether a time differs from a number of milliseconds by less than a tenth.
func isWithin(got time.Duration, want float64) bool {
	return math.Abs(float64(got)/float64(millis(want))-1) < 0.1
}

func TestRunTimesCorrectTheGuesses(t *testing.T) {
	cases := []struct {
		name  string
		known runTimes
		guess float64
		want  float64
	}{
		{"the guess is used for an unknown kind", make(runTimes), 50, 50},
		{"exact guesses are not changed", learnedTimes(0, 1), 400, 400},
		{"guesses of half the time are doubled", learnedTimes(0, 0.5), 100, 200},
		{"uncorrelated guesses are replaced by the mean", learnedTimes(3, 1), 1000, 200},
		{"guesses with the same variance as the run times have half the weight", learnedTimes(0.4, 1), 800, 400},
		{"without a guess the mean is expected", learnedTimes(0.4, 1), 0, 200},
	}
	for _, c := range cases {
		if got := c.known.estimate("kind", millis(c.guess)).task; !isWithin(got, c.want) {
			t.Errorf("%s: estimate %s for a guess of %.0f ms, want about %.0f ms", c.name, got, c.guess, c.want)
		}
	}
}

func TestTheLongestRunOfAStepIsEstimatedFromTheMean(t *testing.T) {
	times := learnedTimes(0, 1).estimate("kind", millis(100))
	if !isWithin(times.longest, 1.2*100) {
		t.Errorf("longest run of %s for a mean of %s, want about 1.2 times the mean", times.longest, times.task)
	}
}

func TestRunTimesFollowAChange(t *testing.T) {
	r := learnedTimes(0.4, 1)
	for range 200 {
		r.observe("kind", millis(200), millis(600), millis(600))
	}
	if got := r.estimate("kind", millis(200)).task; !isWithin(got, 600) {
		t.Errorf("estimate %s after 200 steps of 600 ms, want about 600 ms", got)
	}
}

func TestTimesOfZeroAreLearnedWithoutFault(t *testing.T) {
	r := make(runTimes)
	r.observe("kind", 0, 0, 0)
	if got := r.estimate("kind", 0); got.task <= 0 || got.task > time.Second {
		t.Errorf("estimate %s after a run of 0 s without a guess, want more than 0 s and at most 1 s", got.task)
	}
}
