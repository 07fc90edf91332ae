// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package handover

import "time"

// This file decides to which entry a job is handed over.
//
// Inputs: the entries to which a connection is open, the jobs that each of them has from here, when each refused one last.
//
// Rule: of two entries at random, among those that have not refused a job lately, the one with fewer jobs from here.
//
// Reason: how much room an entry has changes faster than entries hear of each other. One with little room answers more slowly, so that it has
// more jobs from here, and refuses before it is late itself.

// refusalBackoff is how long an entry gets no jobs after it refused one: some windows of the measure by which it refuses.
const refusalBackoff = 200 * time.Millisecond

// candidate is an entry that may get a job.
type candidate struct {
	// jobs is how many it has from here.
	jobs int
	// refused is when it refused one last, zero for never.
	refused time.Time
}

// isAvailable reports whether the entry may get a job at a time.
func (c candidate) isAvailable(now time.Time) bool {
	return c.refused.IsZero() || now.Sub(c.refused) >= refusalBackoff
}

// choose returns the index of the entry that gets the next job; ok is false if there is none. draw returns a random number below its argument.
func choose(now time.Time, candidates []candidate, draw func(n int) int) (index int, ok bool) {
	var available []int
	for i, c := range candidates {
		if c.isAvailable(now) {
			available = append(available, i)
		}
	}
	if len(available) == 0 {
		return 0, false
	}
	one, other := available[draw(len(available))], available[draw(len(available))]
	if candidates[other].jobs < candidates[one].jobs {
		one = other
	}
	return one, true
}
