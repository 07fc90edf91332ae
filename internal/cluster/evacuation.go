// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cluster

import (
	"sailhead/internal/cluster/clusterpb"
	"sailhead/internal/evacuation"
)

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

func zoneMessages(state evacuation.State) []*clusterpb.ZoneChange {
	var messages []*clusterpb.ZoneChange
	for _, c := range state.Changes() {
		messages = append(messages, &clusterpb.ZoneChange{Zone: c.Zone, Revision: int64(c.Revision), Evacuated: c.IsEvacuated})
	}
	return messages
}

// evacuationsOf returns the evacuations of a view.
func evacuationsOf(view *clusterpb.View) evacuation.State {
	var changes []evacuation.Change
	for _, c := range view.GetEvacuations() {
		changes = append(changes, evacuation.Change{Zone: c.GetZone(), Revision: evacuation.Revision(c.GetRevision()), IsEvacuated: c.GetEvacuated()})
	}
	return evacuation.New(evacuation.Revision(view.GetEvacuationsAsOf()), changes)
}
