// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package worker

import "strconv"

// Incarnation identifies one process lifetime of a worker. It is comparable; the zero value identifies none.
type Incarnation struct {
	// ID and StartedMillis are as in Record.
	ID            string
	StartedMillis int64
}

// IsRestartOf reports whether i and other are different processes with the same worker ID.
func (i Incarnation) IsRestartOf(other Incarnation) bool {
	return i.ID == other.ID && i.StartedMillis != other.StartedMillis
}

// String returns ID@STARTED, or ID alone if the start time is unknown.
func (i Incarnation) String() string {
	if i.StartedMillis == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.StartedMillis, 10)
}
