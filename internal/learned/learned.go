// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package learned defines the statistics that an entry collects about the kinds of jobs it serves, in the form in which entries exchange
// them, and merges the statistics of another entry.
//
// Each entry sees only some of the jobs, and an entry that has just started has seen none. Records contain averages, not counters, and are
// merged as averages weighted by the number of samples and their age. A record that arrives twice or late therefore has little effect, and
// the order hardly matters. Entries that exchange repeatedly converge to the same values.
package learned

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxWeight caps the weight of a record. It is the number of steps over which the averages are taken.
	maxWeight = 50
	// weightDecay is the time in which the weight of a record falls to 1/e after the last job was seen, as the kind may have changed since.
	weightDecay = 10 * time.Second
	// maxShare is the maximum share of another entry's record in the average, unless there is no local record. An entry trusts its own
	// observations at least as much as those of others.
	maxShare = 0.5
	// MaxKinds is the maximum number of kinds that are exchanged; the most recently seen ones come first.
	MaxKinds = 32
	// maxAge is the age above which a record is no longer exchanged.
	maxAge = time.Minute
)

const (
	// MinRunTime is the lower bound of recorded run times, which keeps their logarithms finite.
	MinRunTime = time.Millisecond
	// longestTime is far above the run time of any task.
	longestTime = 7 * 24 * time.Hour
	// maxUnevenness is far above the number of tasks of a step, which bounds the ratio of the longest run to the mean.
	maxUnevenness = 1 << 14
	// logTolerance is the error of a received logarithm, as it is sent in single precision.
	logTolerance = 1e-4
)

// minLog and maxLog bound the logarithms of run times, maxSquare bounds their variance and covariance.
var (
	minLog    = math.Log(MinRunTime.Seconds()) - logTolerance
	maxLog    = math.Log(longestTime.Seconds()) + logTolerance
	maxSquare = (maxLog - minLog) * (maxLog - minLog)
)

// RunTime holds the run time statistics of a kind: a linear regression of the mean run time of a step on the caller's estimate, both as
// logarithms of seconds.
type RunTime struct {
	// Steps is the number of observed steps.
	Steps int
	// CallerEstimate and Actual are the averages of the callers' estimates and of the mean run times.
	CallerEstimate, Actual float64
	// Variance is the variance of the estimates, Covariance the covariance of estimates and run times.
	Variance, Covariance float64
	// MaxToMeanRatio is the average ratio of a step's longest run to its mean run.
	MaxToMeanRatio float64
}

// Kind holds the statistics of one kind of job.
type Kind struct {
	Name    string
	RunTime RunTime
	// Age is the time since the last job of the kind was seen.
	Age time.Duration
}

// weight returns the weight of the record in an average: its number of steps, capped and reduced by age.
func (k Kind) weight() float64 {
	return math.Min(float64(k.RunTime.Steps), maxWeight) * math.Exp(-k.Age.Seconds()/weightDecay.Seconds())
}

// IsValid reports whether the record is valid, that is, within the bounds of what real jobs can produce.
func (k Kind) IsValid() bool {
	return k.Name != "" && k.Age >= 0 && k.RunTime.isUsable()
}

func (t RunTime) isUsable() bool {
	return t.Steps > 0 &&
		isWithin(minLog, t.CallerEstimate, maxLog) && isWithin(minLog, t.Actual, maxLog) &&
		isWithin(0, t.Variance, maxSquare) && isWithin(-maxSquare, t.Covariance, maxSquare) &&
		isWithin(1, t.MaxToMeanRatio, maxUnevenness)
}

// isWithin reports whether x is within the bounds. It returns false for NaN.
func isWithin(lower, x, upper float64) bool { return lower <= x && x <= upper }

// Merge returns the record combined with that of another entry for the same kind.
//
// Inputs: the number of steps and the age of each record.
//
// Rule: the weighted average, in which the other record gets a share of maxShare at most. Without a local record the other one is taken as
// it is.
//
// Reason: see the package comment.
func (k Kind) Merge(other Kind) Kind {
	switch {
	case k.RunTime.Steps == 0:
		return other
	case other.weight() <= 0:
		return k
	}
	share := math.Min(other.weight()/(k.weight()+other.weight()), maxShare)
	k.RunTime = k.RunTime.average(other.RunTime, share)
	return k
}

func (t RunTime) average(other RunTime, share float64) RunTime {
	interpolate := func(own, others float64) float64 { return own + share*(others-own) }
	return RunTime{
		Steps:          max(t.Steps, min(other.Steps, maxWeight)),
		CallerEstimate: interpolate(t.CallerEstimate, other.CallerEstimate), Actual: interpolate(t.Actual, other.Actual),
		Variance: interpolate(t.Variance, other.Variance), Covariance: interpolate(t.Covariance, other.Covariance),
		MaxToMeanRatio: interpolate(t.MaxToMeanRatio, other.MaxToMeanRatio),
	}
}

// Latest returns the records to exchange: those of recently seen kinds, the most recent first, at most MaxKinds.
func Latest(kinds []Kind) []Kind {
	kinds = slices.DeleteFunc(slices.Clone(kinds), func(k Kind) bool { return k.Age > maxAge })
	slices.SortFunc(kinds, func(a, b Kind) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Name, b.Name))
	})
	return kinds[:min(len(kinds), MaxKinds)]
}
