// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cluster

import (
	"sailhead/internal/cluster/clusterpb"
	"sailhead/internal/learned"
	"sailhead/internal/wire"
)

// SetLearned replaces the statistics about kinds of jobs that exchanges send to other entries.
func (d *Directory) SetLearned(kinds []learned.Kind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learned = kinds
}

func packLearned(kinds []learned.Kind) []*clusterpb.LearnedKind {
	var packed []*clusterpb.LearnedKind
	for _, k := range kinds {
		packed = append(packed, &clusterpb.LearnedKind{
			Name: k.Name, Steps: uint32(k.RunTime.Steps), AgeMs: wire.Millis(k.Age),
			Guess: float32(k.RunTime.CallerEstimate), Actual: float32(k.RunTime.Actual), Variance: float32(k.RunTime.Variance),
			Covariance: float32(k.RunTime.Covariance), Unevenness: float32(k.RunTime.MaxToMeanRatio),
		})
	}
	return packed
}

// unpackLearned returns the statistics of a view. Invalid records, which cannot result from jobs, are skipped.
func unpackLearned(packed []*clusterpb.LearnedKind) []learned.Kind {
	var kinds []learned.Kind
	for _, p := range packed[:min(len(packed), learned.MaxKinds)] {
		k := learned.Kind{
			Name: p.Name, Age: wire.Duration(p.AgeMs),
			RunTime: learned.RunTime{
				Steps: int(p.Steps), CallerEstimate: float64(p.Guess), Actual: float64(p.Actual), Variance: float64(p.Variance),
				Covariance: float64(p.Covariance), MaxToMeanRatio: float64(p.Unevenness),
			},
		}
		if k.IsValid() {
			kinds = append(kinds, k)
		}
	}
	return kinds
}
