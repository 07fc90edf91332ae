// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"sailhead/internal/learned"
)

// This file exchanges what entries learn about kinds. Package learned merges the records of two entries.

// Learned returns what the entry has learned about the kinds whose jobs it served recently.
func (d *Dispatcher) Learned(now time.Time) []learned.Kind {
	kinds := make([]learned.Kind, 0, len(d.runTimes))
	for name := range d.runTimes {
		kinds = append(kinds, d.learnedOf(now, name))
	}
	return learned.Latest(kinds)
}

// learnedOf returns what the entry has learned about a kind.
func (d *Dispatcher) learnedOf(now time.Time, name string) learned.Kind {
	k := learned.Kind{Name: name}
	if known, ok := d.runTimes[name]; ok {
		k.RunTime, k.Age = known.RunTime, now.Sub(d.lastStepTimes[name])
	}
	return k
}

// mergeLearned merges what another entry has learned into the state of this one.
func (d *Dispatcher) mergeLearned(now time.Time, kinds []learned.Kind) {
	for _, other := range kinds {
		if !other.IsValid() {
			continue
		}
		merged := d.learnedOf(now, other.Name).Merge(other)
		d.runTimes[other.Name] = d.runTimes.withLearned(other.Name, merged.RunTime)
		d.lastStepTimes[other.Name] = now.Add(-merged.Age)
	}
}

// withLearned returns the regression of a kind with what entries have learned. The deviation from it is the entry's own.
func (r runTimes) withLearned(kind string, merged learned.RunTime) *runTime {
	if known, ok := r[kind]; ok {
		return &runTime{RunTime: merged, deviation: known.deviation}
	}
	return &runTime{RunTime: merged, deviation: priorDeviation}
}
