// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"time"

	"sailhead/internal/native/model"
)

// fence counts the promises that a key still needs.
type fence struct {
	began    time.Time
	asked    map[MemberID]bool
	promised map[MemberID]bool
}

// isOpen reports whether an entry that was asked has not promised. One that leaves meanwhile still owes
// its promise: its heir may have promised before it inherited.
func (f *fence) isOpen() bool {
	for id := range f.asked {
		if !f.promised[id] {
			return true
		}
	}
	return false
}

// claim runs a settled key at once and fences any other first.
func (t *Table) claim(now time.Time, offer Offer) Decision {
	key := offer.Job.Key
	r := &record{state: stateRunning, hash: offer.Job.Hash(), attempt: offer.Job.Attempt, touched: now}
	t.records[key] = r
	t.running++
	if t.isSettled(now, key) {
		return Run{}
	}
	r.state = stateFencing
	r.fence = &fence{
		began:    now,
		asked:    make(map[MemberID]bool),
		promised: map[MemberID]bool{offer.Forwarder: true},
	}
	return t.fenceOn(now, key, r)
}

// isSettled reports whether this owner is the first choice in the view of every entry that may forward the key.
func (t *Table) isSettled(now time.Time, key model.Key) bool {
	since, ok := t.roster.firstChoiceSince(key, t.self)
	return ok && t.limits.issuedAfter(t.roster, since, key, now)
}

// fenceOn asks the entries that have not been asked, or ends the fence.
func (t *Table) fenceOn(now time.Time, key model.Key, r *record) Decision {
	if !t.remembers(now, key) {
		return t.decline(r, "", "the memory of an entry is lost")
	}
	var ask []Member
	for _, entry := range t.roster.Listed(RoleEntry) {
		if !r.fence.promised[entry.ID] && !r.fence.asked[entry.ID] {
			r.fence.asked[entry.ID] = true
			ask = append(ask, entry)
		}
	}
	if r.fence.isOpen() {
		return Ask{Entries: ask}
	}
	r.state = stateRunning
	r.fence = nil
	return Run{}
}

// remembers reports whether each entry that may have forwarded the key is listed or has a listed heir.
func (t *Table) remembers(now time.Time, key model.Key) bool {
	issued := t.limits.issueTime(key, now)
	for _, m := range t.roster.Members {
		if m.Role != RoleEntry || m.IsListed() || issued.After(m.RemovedAt.Add(t.limits.margin())) {
			continue
		}
		if _, ok := t.roster.entryHeir(m.ID); !ok {
			return false
		}
	}
	return true
}

// Fenced takes in an entry's verdict and the epoch it answered under. It returns false for a fence that has ended.
func (t *Table) Fenced(now time.Time, key model.Key, entry MemberID, verdict Verdict, epoch uint64) (Decision, bool) {
	r, ok := t.records[key]
	if !ok || r.state != stateFencing {
		return nil, false
	}
	if now.After(r.fence.began.Add(FenceTimeout)) {
		return t.decline(r, "", "the fence took too long"), true
	}
	switch v := verdict.(type) {
	case BoundElsewhere:
		return t.decline(r, v.Owner, "the key is bound to another owner"), true
	case Promised:
		r.fence.promised[entry] = true
	default:
		return t.decline(r, "", "an entry gave no promise"), true
	}
	if epoch > t.roster.Epoch {
		return t.decline(r, "", "an entry knows a later epoch"), true
	}
	return t.fenceOn(now, key, r), true
}

// decline ends a fence for good.
func (t *Table) decline(r *record, boundTo MemberID, reason string) Decision {
	r.state = stateDeclined
	r.fence = nil
	r.boundTo = boundTo
	t.running--
	return Decline{BoundTo: boundTo, Reason: reason}
}
