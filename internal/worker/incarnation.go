// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package worker

import "strconv"

// Incarnation identifies a process of a worker. It is comparable; the zero value identifies none.
type Incarnation struct {
	// ID and StartedMillis are those of Record.
	ID            string
	StartedMillis int64
}

// IsRestartOf reports whether i is another process than the other incarnation under the same ID.
func (i Incarnation) IsRestartOf(other Incarnation) bool {
	return i.ID == other.ID && i.StartedMillis != other.StartedMillis
}

// String returns ID@STARTED, or ID if the worker does not tell its start.
func (i Incarnation) String() string {
	if i.StartedMillis == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.StartedMillis, 10)
}
