// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cluster

import "sailhead/internal/evacuation"

// MergeEvacuations merges an evacuation state into the directory. It returns the merged state, and whether it differs from the previous one.
func (d *Directory) MergeEvacuations(state evacuation.State) (merged evacuation.State, isChanged bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	merged = d.evacuations.Merge(state)
	isChanged = !merged.Equal(d.evacuations)
	d.evacuations = merged
	return merged, isChanged
}

// Evacuations returns the current evacuation state.
func (d *Directory) Evacuations() evacuation.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuations
}
