// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package handover

import "time"

// This file selects the entry to which a job is handed over.
//
// Inputs: the entries with an open connection, the number of outstanding jobs that this entry has handed over to each, and the time of
// each entry's last refusal.
//
// Rule: pick two entries at random among those that have not refused a job within refusalBackoff, and choose the one with fewer
// outstanding jobs from this entry (power of two choices).
//
// Reason: the free capacity of an entry changes faster than entries exchange their state. An entry with little free capacity answers more
// slowly, so it accumulates outstanding jobs, and it refuses jobs before its own become late.

// refusalBackoff is how long an entry is sent no jobs after it refused one. It spans several windows of the measurement on which an entry
// bases its refusals.
const refusalBackoff = 200 * time.Millisecond

// candidate is an entry to which a job may be handed over.
type candidate struct {
	// jobs is the number of outstanding jobs handed over to the entry from this one.
	jobs int
	// refused is the time of the last refusal, zero if there was none.
	refused time.Time
}

// isAvailable reports whether a job may be handed over to the entry at the given time.
func (c candidate) isAvailable(now time.Time) bool {
	return c.refused.IsZero() || now.Sub(c.refused) >= refusalBackoff
}

// choose returns the index of the candidate for the next job; ok is false if none is available. draw returns a random number below its argument.
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
