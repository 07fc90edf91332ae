// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"sailhead/internal/worker"
)

// Crash is the crash of a worker under a run of a task.
type Crash struct {
	Agent       AgentID
	Incarnation worker.Incarnation
	Run         uint32
	// WasRunning, WasLikelyRunning and IsLatest are as in runner.CrashedRun.
	WasRunning       bool
	WasLikelyRunning bool
	IsLatest         bool
	// Age is the time from sending the start until the crash of the worker was noticed. It may be too long by AgeError.
	Age, AgeError time.Duration
	// Expected is the usual run time of the task, or zero if it is unknown.
	Expected time.Duration
	// WasBusy is set if the VM of the worker was busy.
	WasBusy bool
	// others is the level of crashes with causes other than tasks at that time (crashhistory.go).
	others otherCauses
}

// suspicion holds the crashes of workers under a task.
type suspicion struct {
	// crashes has one crash per incarnation.
	crashes []Crash
	// latest is the time at which the latest crash was reported.
	latest time.Time
}

// suspects holds the tasks under which workers have crashed, by task name.
type suspects map[string]suspicion

// isAtLeastLikely reports whether the run was certainly or likely running.
func (c Crash) isAtLeastLikely() bool { return c.WasRunning || c.WasLikelyRunning }

// isConclusive reports whether no third crash is needed if an earlier one was similar.
func (c Crash) isConclusive() bool { return c.IsLatest && c.others == noOtherCauses }

// merge merges another report of the same crash. It returns false if the report adds nothing.
func (c *Crash) merge(again Crash) bool {
	isNew := again.WasRunning && !c.WasRunning || again.isAtLeastLikely() && !c.isAtLeastLikely() || again.IsLatest && !c.IsLatest
	if isNew {
		c.Age, c.AgeError = again.Age, again.AgeError
	}
	c.WasRunning = c.WasRunning || again.WasRunning
	c.WasLikelyRunning = !c.WasRunning && (c.WasLikelyRunning || again.WasLikelyRunning)
	c.IsLatest = c.IsLatest || again.IsLatest
	return isNew
}

// add records a crash. It returns false if the crash is known and the report adds nothing.
func (s suspects) add(now time.Time, task string, crash Crash) bool {
	known := s[task]
	isSame := func(other Crash) bool { return other.Agent == crash.Agent && other.Incarnation == crash.Incarnation }
	if at := slices.IndexFunc(known.crashes, isSame); at >= 0 {
		return known.crashes[at].merge(crash)
	}
	if len(known.crashes) == 0 && len(s) >= maxSuspects {
		s.removeOldest()
	}
	s[task] = suspicion{crashes: append(known.crashes, crash), latest: now}
	return true
}

// removeOldest removes the task whose latest crash is the oldest.
func (s suspects) removeOldest() {
	var oldest string
	for task, known := range s {
		if oldest == "" || known.latest.Before(s[oldest].latest) {
			oldest = task
		}
	}
	delete(s, oldest)
}

// removeBefore removes the tasks whose latest crash was before the limit.
func (s suspects) removeBefore(limit time.Time) {
	for task, known := range s {
		if known.latest.Before(limit) {
			delete(s, task)
		}
	}
}

// isSuspect reports whether a worker has crashed under a task.
func (s suspects) isSuspect(task string) bool {
	return len(s[task].crashes) > 0
}

// mustGiveUp reports whether enough workers have crashed under a task that it must not run again.
func (s suspects) mustGiveUp(task string) bool {
	crashes := s[task].crashes
	return len(crashes) >= maxPossibleCrashes || len(atLeastLikely(crashes)) >= maxCrashes || s.haveCommonCause(task) || haveCauseOnBusyWorkers(crashes)
}

// haveCommonCause reports whether the crashes under the task were most likely caused by it.
func (s suspects) haveCommonCause(task string) bool {
	return haveSimilarAgesEachTime(certain(s[task].crashes))
}

// certain returns the crashes at which the run was certainly running.
func certain(crashes []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return !c.WasRunning })
}

// atLeastLikely returns the crashes at which the run was certainly or likely running.
func atLeastLikely(crashes []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return !c.isAtLeastLikely() })
}

// haveSimilarAgesEachTime reports whether crashes under a task were most likely caused by it, as its runs had about the same age each
// time: two crashes if the later one is conclusive, three otherwise. Whether the run at the first crash was the latest on its worker
// does not matter: the task was no suspect then, so it was not isolated.
func haveSimilarAgesEachTime(crashes []Crash) bool {
	for i, later := range crashes {
		alike := 1
		for _, earlier := range crashes[:i] {
			if haveSimilarAges(earlier, later) {
				alike++
			}
		}
		if alike >= maxSimilarAgeCrashes || alike >= maxIsolatedCrashes && later.isConclusive() {
			return true
		}
	}
	return false
}

// haveCauseOnBusyWorkers reports whether a third crash under a task makes it likely that the task caused all of them: its runs had about
// the same age each time, with an allowance for the delay of a busy worker or agent, and workers do not crash for many other
// causes.
func haveCauseOnBusyWorkers(crashes []Crash) bool {
	for i, later := range crashes {
		if later.others == manyOtherCauses {
			continue
		}
		alike, certain := 0, 0
		for _, crash := range crashes[:i+1] {
			if !haveSimilarAgesWithin(busyAgeTolerance, crash, later) {
				continue
			}
			alike++
			if crash.WasRunning {
				certain++
			}
		}
		if alike >= maxBusyCrashes && certain >= minBusyCertain {
			return true
		}
	}
	return false
}

// haveSimilarAges reports whether two runs had about the same age at the crashes of their workers. Early in a run, a busy VM accounts for
// a larger difference.
func haveSimilarAges(a, b Crash) bool {
	return haveSimilarAgesWithin(ageTolerance, a, b) || a.isEarly() && b.isEarly() && older(a, b).WasBusy
}

// isEarly reports whether the worker crashed early in the run.
func (c Crash) isEarly() bool {
	return c.minAge() <= time.Duration(earlyShare*float64(c.Expected))
}

// older returns the crash at which the run was older.
func older(a, b Crash) Crash {
	if a.Age > b.Age {
		return a
	}
	return b
}

// haveSimilarAgesWithin reports whether the ages of two runs differ by no more than the tolerance, plus ageShare of the lower age. Each
// age lies between minAge and Age, so it suffices that the lowest age of one run is not too far above the highest of the other.
func haveSimilarAgesWithin(tolerance time.Duration, a, b Crash) bool {
	tolerance += time.Duration(ageShare * float64(min(a.Age, b.Age)))
	return a.minAge() <= b.Age+tolerance && b.minAge() <= a.Age+tolerance
}

// minAge returns the shortest time for which the run may have existed at the crash.
func (c Crash) minAge() time.Duration { return max(c.Age-c.AgeError, 0) }
