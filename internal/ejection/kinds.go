// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ejection

import "time"

// This file tells a kind that takes longer than expected everywhere from a worker that is slow or hangs.
//
// Inputs: the kinds of the runs on the worker and how they ended.
//
// Rule: while only runs of one kind are overdue and runs of other kinds are done, these overdue runs raise the sum of the test to maxKindScore at
// most. The limit does not hold if the runs of the other kinds speak against the worker too, if none of them was done within doneTime, and after
// kindTime.
//
// Reason: a kind that takes longer from one moment on makes each worker look ill until entries have seen its runs end on others and tell of
// it. A worker that is slow or hangs is so for all kinds.

const (
	// maxKindScore is the sum up to which overdue runs of one kind count: two of them count in full, and a third in part.
	maxKindScore = 4
	// minOtherScore is the sum of the test over the runs of the other kinds from which these speak against the worker too: that of an overdue
	// run and two that are done.
	minOtherScore = 1
	// doneTime is how long ago a run of another kind was done at most that shows that the worker is well.
	doneTime = time.Second
	// kindTime is how long only one kind may be overdue. After that entries have seen whether it is so on other workers.
	kindTime = 3 * time.Second
)

// kinds is what the runs of each kind show. The zero value has seen none.
type kinds struct {
	// sum is that of the test over all runs since the worker was last put in service.
	sum float64
	// overdue are the kinds of which runs were overdue since the sum was zero, by their names.
	overdue map[string]*overdueKind
	// doneKind is the kind of the run that was done last, at doneAt. otherDoneAt is when a run of any other kind was done last.
	doneKind            string
	doneAt, otherDoneAt time.Time
}

// overdueKind is a kind of which runs are overdue.
type overdueKind struct {
	// since is when the first of them was found.
	since time.Time
	// others is the sum of the test over the runs of all other kinds.
	others float64
}

// limit returns how much of the evidence of a run counts if the sum of the test has some value.
func (k *kinds) limit(now time.Time, run Run, evidence, score float64) float64 {
	if run.End != EndOverdue || !k.isKindAlone(now, run.Kind) {
		return evidence
	}
	return min(evidence, max(maxKindScore-score, 0))
}

// add applies a run with the evidence that counts.
func (k *kinds) add(now time.Time, run Run, evidence float64) {
	before := k.sum
	k.sum = max(k.sum+evidence, 0)
	k.addToOthers(run.Kind, evidence)
	switch {
	case run.End == EndDone:
		k.noteDone(now, run.Kind)
	case run.End == EndOverdue && k.overdue[run.Kind] == nil:
		k.noteOverdue(now, run.Kind, before)
	}
	if k.sum == 0 {
		k.overdue = nil
	}
}

// addToOthers adds the evidence of a run of a kind to what the other overdue kinds know of the kinds beside them.
func (k *kinds) addToOthers(kind string, evidence float64) {
	for name, other := range k.overdue {
		if name != kind {
			other.others = max(other.others+evidence, 0)
		}
	}
}

// noteDone notes a run that was done.
func (k *kinds) noteDone(now time.Time, kind string) {
	if kind != k.doneKind {
		k.doneKind, k.otherDoneAt = kind, k.doneAt
	}
	k.doneAt = now
}

// noteOverdue notes the first run of a kind that is overdue. What the sum was before is due to other kinds, or to failed runs.
func (k *kinds) noteOverdue(now time.Time, kind string, before float64) {
	if k.overdue == nil {
		k.overdue = make(map[string]*overdueKind)
	}
	k.overdue[kind] = &overdueKind{since: now, others: before}
}

// isKindAlone reports whether only runs of a kind speak against the worker, and runs of others are done.
func (k *kinds) isKindAlone(now time.Time, kind string) bool {
	if !k.hasDoneOther(now, kind) {
		return false
	}
	known := k.overdue[kind]
	if known == nil {
		return k.sum < minOtherScore
	}
	return known.others < minOtherScore && now.Sub(known.since) < kindTime
}

// hasDoneOther reports whether a run of another kind was done lately.
func (k *kinds) hasDoneOther(now time.Time, kind string) bool {
	at := k.doneAt
	if kind == k.doneKind {
		at = k.otherDoneAt
	}
	return !at.IsZero() && now.Sub(at) <= doneTime
}

// restored forgets what spoke against the worker.
func (k *kinds) restored() { k.sum, k.overdue = 0, nil }
