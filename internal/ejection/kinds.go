// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ejection

import "time"

// This file distinguishes a kind that takes longer than expected on all workers from a worker that is slow or hangs.
//
// Inputs: the kinds and outcomes of the runs on the worker.
//
// Rule: while only runs of one kind are overdue and runs of other kinds are done, the overdue runs raise the score to maxSingleKindScore at
// most. The limit does not apply if runs of the other kinds are evidence against the worker too, if none of them was done within
// recentlyDoneTime, or after maxSingleKindTime.
//
// Reason: when a kind starts to take longer, every worker appears faulty until the entries have seen runs of the kind end on other workers and
// report its failure rate. A worker that is slow or hangs affects all kinds.

const (
	// maxSingleKindScore is the score up to which overdue runs of a single kind count: two of them count in full, and a third in part.
	maxSingleKindScore = 4
	// minOtherScore is the sum over the runs of the other kinds from which they are evidence against the worker too. It is that of one overdue
	// run and two that are done.
	minOtherScore = 1
	// recentlyDoneTime is the maximum age of a completed run of another kind that counts as evidence of a healthy worker.
	recentlyDoneTime = time.Second
	// maxSingleKindTime is how long the limit applies to a kind. By then entries have seen whether the kind is overdue on other workers too.
	maxSingleKindTime = 3 * time.Second
)

// kindEvidence holds the evidence from the runs of each kind. The zero value is empty.
type kindEvidence struct {
	// sum is the cumulative sum over all runs since the worker last returned to service.
	sum float64
	// overdue holds the kinds with overdue runs since the sum was last zero, by name.
	overdue map[string]*overdueKind
	// doneKind is the kind of the latest completed run, doneAt its time. otherDoneAt is the time of the latest completed run of any other kind.
	doneKind            string
	doneAt, otherDoneAt time.Time
}

// overdueKind is a kind with overdue runs.
type overdueKind struct {
	// since is when the first overdue run was found.
	since time.Time
	// otherKinds is the cumulative sum over the runs of all other kinds.
	otherKinds float64
}

// limit returns how much of the evidence of a run is added to the given score.
func (k *kindEvidence) limit(now time.Time, run Run, evidence, score float64) float64 {
	if run.End != EndOverdue || !k.isOnlySuspectKind(now, run.Kind) {
		return evidence
	}
	return min(evidence, max(maxSingleKindScore-score, 0))
}

// add records a run with its evidence, as limited by limit.
func (k *kindEvidence) add(now time.Time, run Run, evidence float64) {
	before := k.sum
	k.sum = max(k.sum+evidence, 0)
	k.addToOtherKinds(run.Kind, evidence)
	switch {
	case run.End == EndDone:
		k.recordDone(now, run.Kind)
	case run.End == EndOverdue && k.overdue[run.Kind] == nil:
		k.recordOverdue(now, run.Kind, before)
	}
	if k.sum == 0 {
		k.overdue = nil
	}
}

// addToOtherKinds adds the evidence of a run to the sums of all overdue kinds except the kind of the run.
func (k *kindEvidence) addToOtherKinds(kind string, evidence float64) {
	for name, other := range k.overdue {
		if name != kind {
			other.otherKinds = max(other.otherKinds+evidence, 0)
		}
	}
}

// recordDone records the time of a completed run.
func (k *kindEvidence) recordDone(now time.Time, kind string) {
	if kind != k.doneKind {
		k.doneKind, k.otherDoneAt = kind, k.doneAt
	}
	k.doneAt = now
}

// recordOverdue records the first overdue run of a kind. before is the sum before this run, which stems from other kinds or from failed runs.
func (k *kindEvidence) recordOverdue(now time.Time, kind string, before float64) {
	if k.overdue == nil {
		k.overdue = make(map[string]*overdueKind)
	}
	k.overdue[kind] = &overdueKind{since: now, otherKinds: before}
}

// isOnlySuspectKind reports whether only runs of the given kind are evidence against the worker while runs of other kinds are done.
func (k *kindEvidence) isOnlySuspectKind(now time.Time, kind string) bool {
	if !k.hasRecentlyDoneOther(now, kind) {
		return false
	}
	known := k.overdue[kind]
	if known == nil {
		return k.sum < minOtherScore
	}
	return known.otherKinds < minOtherScore && now.Sub(known.since) < maxSingleKindTime
}

// hasRecentlyDoneOther reports whether a run of another kind was completed within recentlyDoneTime.
func (k *kindEvidence) hasRecentlyDoneOther(now time.Time, kind string) bool {
	at := k.doneAt
	if kind == k.doneKind {
		at = k.otherDoneAt
	}
	return !at.IsZero() && now.Sub(at) <= recentlyDoneTime
}

// reset discards the evidence against the worker.
func (k *kindEvidence) reset() { k.sum, k.overdue = 0, nil }
