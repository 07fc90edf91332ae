// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

// This file decides when crashes are sent to all other entries at once.
//
// Inputs: the crashes that were passed on (PropagateCrash), and up to which of them all other entries have been told.
//
// Rule: when a job is given up, all other entries are told of the crashes so far, unless they have been. The answer to the job waits for
// that (heldanswer.go). One call to all entries is in progress at a time; crashes that come meanwhile are told by the next one.
//
// Reason: the caller may submit the job again at another entry as soon as it has the answer. An entry that does not know of the latest
// crash starts the task again, and another worker crashes. Exchanges between entries take seconds to reach all of them, and even an entry
// with a session with the same agent may hear of the crash some milliseconds later than this one.

// crashShare is the progress of telling the other entries of crashes. Crashes are numbered in the order in which they were passed on.
type crashShare struct {
	// propagated is the number of the latest crash that was passed on, told the latest that all other entries were told of, and telling
	// the latest in the call that is in progress. told and telling are equal if there is none.
	propagated, told, telling uint64
}

// propagateCrash passes a crash on to the other entries.
func (d *Dispatcher) propagateCrash(crash PropagateCrash) {
	d.crashShare.propagated++
	d.emit(crash)
}

// shareCrashes starts to tell all other entries of the crashes that they have not been told of.
func (d *Dispatcher) shareCrashes() {
	s := &d.crashShare
	if s.told == s.propagated || s.telling != s.told {
		return
	}
	s.telling = s.propagated
	d.emit(ShareCrashes{Number: s.telling})
}

// crashesShared records that all other entries were told of crashes, and continues if a held answer waits for later ones.
func (d *Dispatcher) crashesShared(e CrashesShared) {
	s := &d.crashShare
	s.told, s.telling = max(s.told, e.Number), max(s.told, e.Number)
	for _, h := range d.heldAnswers {
		if d.awaitsShare(h.job) {
			d.shareCrashes()
			return
		}
	}
}
