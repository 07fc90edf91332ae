// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math"
	"time"

	"sailhead/internal/learned"
)

// This file estimates how long the tasks of a job will run.
//
// Inputs: the caller's guess of one task's time, and for each kind the guesses and the run times of the latest steps that
// were done.
//
// Rule: for each kind, a linear regression of the run time on the guess, both as logarithms, over the latest steps; the
// estimate is the run time that it gives for the guess. Without steps that were done it is the guess. The longest run of
// a step is estimated from the mean run by their usual ratio.
//
// Reason: how good a guess is differs from customer to customer. The regression corrects guesses that are usually too
// short or too long, follows those that tell jobs apart, and falls back to the kind's usual time for those that do not.

const (
	// runTimeWeight is the weight of one step in the moving averages once there are enough; it makes them follow a change of a kind within
	// some 50 steps.
	runTimeWeight = 0.02
	// priorSteps is how many steps the assumption counts for that guesses are right.
	priorSteps = 4
	// priorVariance is the variance of the logarithm of the guesses that goes with it: most guesses of a kind are within a factor of 1.5.
	priorVariance = 0.16
	// learnedSteps is from how many steps an estimate is good enough to judge a worker by.
	learnedSteps = 10
	minRunTime   = learned.ShortestTime
)

// stepTime is the estimate for a step.
type stepTime struct {
	// isLearned is set if the estimate rests on learnedSteps steps or more.
	isLearned bool
	// task is the time of one run.
	task time.Duration
	// longest is the time of the longest of its runs.
	longest time.Duration
}

// forHealth returns the time of one run by which an agent may judge its worker, or zero. A guess says too little.
func (s stepTime) forHealth() time.Duration {
	if !s.isLearned {
		return 0
	}
	return s.task
}

// runTimes holds what is known of the run times of each kind, by the kind's name.
type runTimes map[string]*runTime

// runTime is the regression for one kind.
type runTime struct{ learned.RunTime }

// estimate returns the times of a step for the caller's guess of one task's time, zero if the caller gave none.
func (r runTimes) estimate(kind string, guess time.Duration) stepTime {
	known, ok := r[kind]
	if !ok {
		return stepTime{task: guess, longest: guess}
	}
	task := known.task(guess)
	longest := time.Duration(known.Unevenness * float64(task))
	return stepTime{isLearned: known.Steps >= learnedSteps, task: task, longest: longest}
}

// observe learns from a step that was done: the guess of one task's time, the mean and the longest of its runs.
func (r runTimes) observe(kind string, guess, mean, longest time.Duration) {
	mean = max(mean, minRunTime)
	known, ok := r[kind]
	if !ok {
		known = newRunTime(max(guess, minRunTime))
		r[kind] = known
	}
	known.observe(guess, mean)
	known.Unevenness += known.weight() * (float64(longest)/float64(mean) - known.Unevenness)
}

// newRunTime returns a regression that trusts guesses. It is centred on the first one.
func newRunTime(guess time.Duration) *runTime {
	x := logarithm(guess)
	return &runTime{learned.RunTime{Guess: x, Actual: x, Variance: priorVariance, Covariance: priorVariance, Unevenness: 1}}
}

// weight returns the weight of the next step.
func (t *runTime) weight() float64 {
	return max(1/float64(t.Steps+priorSteps), runTimeWeight)
}

func (t *runTime) observe(guess, mean time.Duration) {
	t.Steps++
	weight, y := t.weight(), logarithm(mean)
	toActual := y - t.Actual
	t.Actual += weight * toActual
	if guess <= 0 {
		return
	}
	toGuess := logarithm(guess) - t.Guess
	t.Guess += weight * toGuess
	t.Variance = (1 - weight) * (t.Variance + weight*toGuess*toGuess)
	t.Covariance = (1 - weight) * (t.Covariance + weight*toGuess*toActual)
}

// task returns the expected time of one run for a guess.
func (t *runTime) task(guess time.Duration) time.Duration {
	expected := t.Actual
	if guess > 0 {
		expected += t.slope() * (logarithm(guess) - t.Guess)
	}
	return time.Duration(math.Exp(expected) * float64(time.Second))
}

// slope returns by how much the run time grows with the guess: 1 if guesses tell jobs apart exactly, 0 if they do not.
func (t *runTime) slope() float64 {
	if t.Variance <= 0 {
		return 0
	}
	return min(max(t.Covariance/t.Variance, 0), 1)
}

func logarithm(d time.Duration) float64 {
	return math.Log(max(d, minRunTime).Seconds())
}

// observeStep learns from a step whose tasks are all done, if each of them ran once, on a healthy worker.
func (d *Dispatcher) observeStep(now time.Time, j *job, step int) {
	var sum, longest time.Duration
	for _, t := range j.tasks {
		if t.step != step {
			continue
		}
		if !t.showsRunTime {
			return
		}
		sum += t.runTime
		longest = max(longest, t.runTime)
	}
	mean := sum / time.Duration(j.Steps[step].Count)
	d.lastSteps[j.Kind.Name] = now
	d.runTimes.observe(j.Kind.Name, j.Steps[step].Expected, mean, longest)
}
