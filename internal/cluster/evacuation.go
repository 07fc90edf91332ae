// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cluster

import "sailhead/internal/evacuation"

// MergeEvacuations adds what is known of the evacuated availability zones. It returns the result, and whether it differs from what
// the directory held.
func (d *Directory) MergeEvacuations(state evacuation.State) (merged evacuation.State, isChanged bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	merged = d.evacuations.Merge(state)
	isChanged = !merged.Equal(d.evacuations)
	d.evacuations = merged
	return merged, isChanged
}

// Evacuations returns the latest known changes of the availability zones.
func (d *Directory) Evacuations() evacuation.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuations
}
