// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"time"

	"sailhead/internal/native/model"
)

// Table decides for one owner which submissions it runs, and holds their records. It is not safe for concurrent use.
type Table struct {
	self    MemberID
	limits  Limits
	roster  Roster
	records map[model.Key]*record
	// refusedUntil is the latest time of a refusal that the full table could not record. Unknown keys issued before it
	// are refused; see refuseUnrecorded.
	refusedUntil time.Time
	// leaving is set by Leave and never cleared.
	leaving bool
	// handedOver is set while the heirs have or get the records; the heirs would not get records that are inherited
	// then.
	handedOver bool
	// running counts the records under way, being fenced or running.
	running int
}

// NewTable returns an empty table.
func NewTable(self MemberID, limits Limits) *Table {
	return &Table{self: self, limits: limits, records: make(map[model.Key]*record)}
}

// SetRoster replaces the roster by a newer one and reports whether it did.
func (t *Table) SetRoster(roster Roster) bool {
	if roster.Revision <= t.roster.Revision {
		return false
	}
	t.roster = roster
	return true
}

// Roster returns the roster in use.
func (t *Table) Roster() Roster {
	return t.roster
}

// Len returns the number of records.
func (t *Table) Len() int {
	return len(t.records)
}

// Running returns the number of submissions without an answer, fenced ones included.
func (t *Table) Running() int {
	return t.running
}

// Lookup returns the answer of a key, or nil and whether the key is under way.
func (t *Table) Lookup(key model.Key) (answer model.Answer, underWay bool) {
	r, ok := t.records[key]
	if !ok || r.state == stateDeclined {
		return nil, false
	}
	return r.answer, r.isUnderWay()
}

// Finish records the answer of a running submission. The attempt is the one that the owner answers.
func (t *Table) Finish(now time.Time, key model.Key, attempt uint32, answer model.Answer) {
	r, ok := t.records[key]
	if !ok || r.state != stateRunning {
		return
	}
	t.running--
	r.touched = now
	r.answer = answer
	r.state = stateFinal
	if _, refused := answer.(model.NotRun); refused {
		r.state = stateNotRun
		r.attempt = max(r.attempt, attempt)
	}
}

// Expire removes the records with an answer that were last used longer ago than Limits.Retention.
func (t *Table) Expire(now time.Time) {
	before := now.Add(-t.limits.Retention())
	for key, r := range t.records {
		if !r.isUnderWay() && r.touched.Before(before) {
			delete(t.records, key)
		}
	}
}
