// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math"
	"time"

	"sailhead/internal/learned"
)

// This file estimates the run times of the tasks of a job.
//
// Inputs: the caller's guess of a task's run time, and for each kind the guesses and the run times of the latest
// completed steps.
//
// Rule: for each kind, a linear regression of the logarithm of the run time on the logarithm of the guess over the
// latest steps; the estimate is the run time that it predicts for the guess. Before the first completed step the
// estimate is the guess itself. The longest run of a step is estimated from the mean run by their average ratio.
//
// Reason: the quality of guesses differs between customers. The regression corrects guesses that are consistently too
// short or too long, follows guesses that correlate with the run times, and falls back to the kind's mean for guesses
// that do not.

const (
	// runTimeWeight is the least weight of one step in the moving averages, which follow a change of a kind within about
	// 50 steps.
	runTimeWeight = 0.02
	// priorSteps is the weight, in steps, of the prior assumption that guesses are right.
	priorSteps = 4
	// priorVariance is the variance of the logarithm of the guesses under that assumption: most guesses of a kind are
	// within a factor of 1.5.
	priorVariance = 0.16
	// usualDeviations is the number of mean deviations above the estimate up to which run times are usual: with a normal distribution of
	// their logarithms, one step in twenty takes longer. A larger number would refuse more jobs that would have ended in time, a smaller
	// one would interrupt more.
	usualDeviations = 2
	// minLearnedSteps is the least number of steps for an estimate that is accurate enough to judge a worker's health by.
	minLearnedSteps = 10
	minRunTime      = learned.MinRunTime
)

// stepEstimate holds the estimated run times of a step.
type stepEstimate struct {
	// isLearned is set if the estimate is based on minLearnedSteps steps or more.
	isLearned bool
	// task is the mean run time of the step's tasks.
	task time.Duration
	// longest is the run time of the longest of them, atMost that of the longest one of an unusually long step; see usualDeviations.
	longest, atMost time.Duration
}

// healthBaseline returns the run time against which an agent may judge the health of its worker. It is zero if the
// estimate is not learned, as a guess alone is not accurate enough.
func (s stepEstimate) healthBaseline() time.Duration {
	if !s.isLearned {
		return 0
	}
	return s.task
}

// runTimes holds the regression for each kind, by the kind's name.
type runTimes map[string]*runTime

// runTime is the regression for one kind.
type runTime struct {
	learned.RunTime
	// deviation is the mean absolute deviation of the logarithm of a step's longest run from its estimate.
	deviation float64
}

// priorDeviation is the deviation that corresponds to priorVariance, for a normal distribution.
var priorDeviation = math.Sqrt(2 * priorVariance / math.Pi)

// atMost returns the longest usual time of a step whose longest run is expected to take the given time.
func atMost(longest time.Duration, deviation float64) time.Duration {
	return time.Duration(math.Exp(usualDeviations*deviation) * float64(longest))
}

// estimate returns the estimate for a step. guess is the caller's guess of a task's run time, zero if there is none.
func (r runTimes) estimate(kind string, guess time.Duration) stepEstimate {
	known, ok := r[kind]
	if !ok {
		return stepEstimate{task: guess, longest: guess, atMost: atMost(guess, priorDeviation)}
	}
	task := known.task(guess)
	longest := time.Duration(known.MaxToMeanRatio * float64(task))
	return stepEstimate{isLearned: known.Steps >= minLearnedSteps, task: task, longest: longest, atMost: atMost(longest, known.deviation)}
}

// observe updates the regression of a kind with a completed step: the guess of a task's run time, the mean and the
// longest of the runs.
func (r runTimes) observe(kind string, guess, mean, longest time.Duration) {
	mean = max(mean, minRunTime)
	known, ok := r[kind]
	if !ok {
		known = newRunTime(max(guess, minRunTime))
		r[kind] = known
	}
	predicted := known.MaxToMeanRatio * known.task(guess).Seconds()
	known.observe(guess, mean)
	known.deviation += known.weight() * (math.Abs(logSeconds(longest)-math.Log(predicted)) - known.deviation)
	known.MaxToMeanRatio += known.weight() * (float64(longest)/float64(mean) - known.MaxToMeanRatio)
}

// newRunTime returns a regression centred on the first guess, with a prior of slope 1: it predicts the guess itself.
func newRunTime(guess time.Duration) *runTime {
	x := logSeconds(guess)
	prior := learned.RunTime{CallerEstimate: x, Actual: x, Variance: priorVariance, Covariance: priorVariance, MaxToMeanRatio: 1}
	return &runTime{RunTime: prior, deviation: priorDeviation}
}

// weight returns the weight of the latest step in the moving averages.
func (t *runTime) weight() float64 {
	return max(1/float64(t.Steps+priorSteps), runTimeWeight)
}

func (t *runTime) observe(guess, mean time.Duration) {
	t.Steps++
	weight, y := t.weight(), logSeconds(mean)
	actualDelta := y - t.Actual
	t.Actual += weight * actualDelta
	if guess <= 0 {
		return
	}
	guessDelta := logSeconds(guess) - t.CallerEstimate
	t.CallerEstimate += weight * guessDelta
	t.Variance = (1 - weight) * (t.Variance + weight*guessDelta*guessDelta)
	t.Covariance = (1 - weight) * (t.Covariance + weight*guessDelta*actualDelta)
}

// task returns the expected run time for a guess, zero if there is none.
func (t *runTime) task(guess time.Duration) time.Duration {
	expected := t.Actual
	if guess > 0 {
		expected += t.slope() * (logSeconds(guess) - t.CallerEstimate)
	}
	return time.Duration(math.Exp(expected) * float64(time.Second))
}

// slope returns the slope of the regression, limited to 0 to 1: 1 if run times are proportional to the guesses, 0 if they
// do not depend on them.
func (t *runTime) slope() float64 {
	if t.Variance <= 0 {
		return 0
	}
	return min(max(t.Covariance/t.Variance, 0), 1)
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, minRunTime).Seconds())
}

// observeStep updates the run times of a kind with a step whose tasks are all done, if each of them ran once and on a
// healthy worker.
func (d *Dispatcher) observeStep(now time.Time, j *job, step int) {
	var sum, longest time.Duration
	for _, t := range j.tasks {
		if t.step != step {
			continue
		}
		if !t.isRunTimeRepresentative {
			return
		}
		sum += t.runTime
		longest = max(longest, t.runTime)
	}
	mean := sum / time.Duration(j.Steps[step].Count)
	d.lastStepTimes[j.Kind.Name] = now
	d.runTimes.observe(j.Kind.Name, j.Steps[step].Expected, mean, longest)
}
