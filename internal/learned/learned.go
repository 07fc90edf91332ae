// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package learned holds what an entry learns of the kinds of jobs from those that it serves, in the form in which entries exchange it, and
// decides how an entry takes in what another one has learned.
//
// Each entry sees only some of the jobs, and one that starts has seen none. Records are averages, so those of two entries are averaged by how much
// each rests on: nothing is counted, a record that comes twice or late changes little, and the order does not matter much. Entries that exchange
// again and again come to the same figures.
package learned

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxWeight bounds the weight of a record: it is the number of steps over which the averages are taken.
	maxWeight = 50
	// weightDecay is the time in which the weight of a record falls to 1/e after the last job that was seen. A kind may have changed meanwhile.
	weightDecay = 10 * time.Second
	// maxShare is the largest share that another entry's record gets in the average, unless there is no record of one's own. An entry trusts what
	// it sees at least as much as what it hears.
	maxShare = 0.5
	// MaxKinds bounds the kinds that are exchanged; those seen last come first.
	MaxKinds = 32
	// maxAge is the age from which a record is not exchanged any more.
	maxAge = time.Minute
)

const (
	// ShortestTime is the shortest run time that is learned, so that its logarithm is finite.
	ShortestTime = time.Millisecond
	// longestTime is far above the run time of any task.
	longestTime = 7 * 24 * time.Hour
	// maxUnevenness is far above the number of tasks of a step: the longest run takes at most as many times the mean.
	maxUnevenness = 1 << 14
	// rounding is by how much a logarithm may change on its way, as it has single precision there.
	rounding = 1e-4
)

// leastLog and mostLog bound the logarithms of run times, and mostSquare their variance and covariance.
var (
	leastLog   = math.Log(ShortestTime.Seconds()) - rounding
	mostLog    = math.Log(longestTime.Seconds()) + rounding
	mostSquare = (mostLog - leastLog) * (mostLog - leastLog)
)

// RunTime is what is known of the run times of a kind: a regression of the mean run time of a step on the caller's guess, both as logarithms of
// seconds.
type RunTime struct {
	// Steps is the number of steps that were seen.
	Steps int
	// Guess and Actual are the averages of the guesses and of the mean run times.
	Guess, Actual float64
	// Variance is that of the guesses, Covariance that of guesses and run times.
	Variance, Covariance float64
	// Unevenness is the average ratio of a step's longest run to its mean run.
	Unevenness float64
}

// CallerTime is what is known of how long the callers of a kind wait.
type CallerTime struct {
	// Usual is how long they usually wait, zero if that is not known.
	Usual time.Duration
}

// Kind is what is known of one kind.
type Kind struct {
	Name       string
	RunTime    RunTime
	CallerTime CallerTime
	// Age is the time since the last job of the kind was seen.
	Age time.Duration
}

// weight returns what the record rests on.
func (k Kind) weight() float64 {
	return math.Min(float64(k.RunTime.Steps), maxWeight) * math.Exp(-k.Age.Seconds()/weightDecay.Seconds())
}

// IsUsable reports whether the record can have been made from jobs.
func (k Kind) IsUsable() bool {
	return k.Name != "" && k.Age >= 0 && k.CallerTime.Usual >= 0 && k.RunTime.isUsable()
}

func (t RunTime) isUsable() bool {
	return t.Steps > 0 &&
		isWithin(leastLog, t.Guess, mostLog) && isWithin(leastLog, t.Actual, mostLog) &&
		isWithin(0, t.Variance, mostSquare) && isWithin(-mostSquare, t.Covariance, mostSquare) &&
		isWithin(1, t.Unevenness, maxUnevenness)
}

// isWithin is false for a figure that is no number.
func isWithin(least, x, most float64) bool { return least <= x && x <= most }

// Merge returns the record with what another entry has learned. The other record is of the same kind.
//
// Inputs: the steps that each record rests on, the time since a job was seen for each.
//
// Rule: the average by weight, in which the other record counts maxShare at most; all of it if there is no record here.
//
// Reason: see the package.
func (k Kind) Merge(other Kind) Kind {
	switch {
	case k.RunTime.Steps == 0:
		return k.withRunTime(other)
	case other.weight() <= 0:
		return k
	}
	share := math.Min(other.weight()/(k.weight()+other.weight()), maxShare)
	k.RunTime = k.RunTime.average(other.RunTime, share)
	k.CallerTime = k.CallerTime.average(other.CallerTime, share)
	return k
}

// withRunTime returns the record with what another one says of run times, and of callers unless that is known here.
func (k Kind) withRunTime(other Kind) Kind {
	k.RunTime, k.Age = other.RunTime, other.Age
	if k.CallerTime.Usual == 0 {
		k.CallerTime = other.CallerTime
	}
	return k
}

func (t RunTime) average(other RunTime, share float64) RunTime {
	mix := func(own, others float64) float64 { return own + share*(others-own) }
	return RunTime{
		Steps: max(t.Steps, min(other.Steps, maxWeight)),
		Guess: mix(t.Guess, other.Guess), Actual: mix(t.Actual, other.Actual),
		Variance: mix(t.Variance, other.Variance), Covariance: mix(t.Covariance, other.Covariance),
		Unevenness: mix(t.Unevenness, other.Unevenness),
	}
}

func (t CallerTime) average(other CallerTime, share float64) CallerTime {
	switch {
	case t.Usual == 0:
		return other
	case other.Usual == 0:
		return t
	}
	return CallerTime{Usual: t.Usual + time.Duration(share*float64(other.Usual-t.Usual))}
}

// Latest returns the records that are exchanged: those of kinds that were seen lately, the latest first, MaxKinds at most.
func Latest(kinds []Kind) []Kind {
	kinds = slices.DeleteFunc(slices.Clone(kinds), func(k Kind) bool { return k.Age > maxAge })
	slices.SortFunc(kinds, func(a, b Kind) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Name, b.Name))
	})
	return kinds[:min(len(kinds), MaxKinds)]
}
