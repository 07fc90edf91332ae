// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

// This file decides when records are sent to all other entries at once.
//
// Inputs: the crashes and the runs that may not have ended that were passed on (PropagateCrash, PropagateUnendedRun), and up to which of
// them all other entries have been told.
//
// Rule: when a job is given up, or its answer is held for a run whose end is late (heldanswer.go), all other entries are told of the
// records so far, unless they have been. The answer to the job waits for that. At most MaxRecordShares calls to all entries are in
// progress at a time, since one silent entry makes a call last as long as it may; records that come meanwhile are told by the next one.
//
// Reason: the caller may submit the job again at another entry as soon as it has the answer. An entry that does not know of the latest
// crash starts the task again, and another worker crashes. One that does not know of a run starts a second one. Exchanges between entries
// take seconds to reach all of them, and even an entry with a session with the same agent may hear of a crash some milliseconds later than
// this one.

// MaxRecordShares is the largest number of ShareRecords without RecordsShared.
const MaxRecordShares = 4

// recordShare is the progress of telling the other entries of records. Records are numbered in the order in which they were passed on.
type recordShare struct {
	// propagated is the number of the latest record that was passed on, told the latest that all other entries were told of, and telling
	// the latest of any call so far.
	propagated, told, telling uint64
	// calls is the number of calls in progress.
	calls int
}

// propagate passes a record on to the other entries.
func (d *Dispatcher) propagate(record Effect) {
	d.recordShare.propagated++
	d.emit(record)
}

// shareRecords starts to tell all other entries of the records that they have not been told of.
func (d *Dispatcher) shareRecords() {
	s := &d.recordShare
	if s.telling == s.propagated || s.calls >= MaxRecordShares {
		return
	}
	s.telling = s.propagated
	s.calls++
	d.emit(ShareRecords{Number: s.telling})
}

// recordsShared records that all other entries were told of records, and continues if a held answer waits for later ones.
func (d *Dispatcher) recordsShared(e RecordsShared) {
	s := &d.recordShare
	s.told = max(s.told, e.Number)
	s.calls--
	for _, h := range d.heldAnswers {
		if d.awaitsShare(h.job) {
			d.shareRecords()
			return
		}
	}
}
