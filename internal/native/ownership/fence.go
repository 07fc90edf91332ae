// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"time"

	"sailhead/internal/native/model"
)

// fence is the state of a key while its owner collects promises.
type fence struct {
	began time.Time
	// asked are the entries that AskFence went to.
	asked map[MemberID]bool
	// promised are the entries that promised, and the one that forwarded the key.
	promised map[MemberID]bool
}

// isOpen reports whether an entry that was asked has not promised.
//
// Rule: an entry that left the roster after it was asked still has to promise.
//
// Reason: the promise of its heir may be older than the bindings that the heir inherited.
func (f *fence) isOpen() bool {
	for id := range f.asked {
		if !f.promised[id] {
			return true
		}
	}
	return false
}

// accept records a new key and decides whether it may run.
//
// Inputs: the roster, the issue time of the key, the entry that forwarded it, and Limits.
//
// Rule: a settled key runs at once. Any other key is fenced first: it runs after every listed entry has promised to
// send it to no other owner.
//
// Reason: at most one owner has the key settled. Any other owner needs a promise of every entry, and an entry that has
// sent the key here does not give one. The entry that forwarded the key has bound it to this owner, which counts as its
// promise.
func (t *Table) accept(now time.Time, offer Offer) Decision {
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
	return t.continueFence(now, key, r)
}

// isSettled reports whether this owner is the first choice for the key at every entry that may forward it.
//
// Inputs: the epoch since which this owner is first choice, the time at which every entry had acknowledged that epoch,
// the issue time of the key.
//
// Rule: the key was issued later than that time by Limits.margin.
//
// Reason: every entry that forwards the key then knows a roster in which this owner is first choice. The epoch of an
// earlier incarnation does not count (RESETTLE in spec/leave.pml), as its records are lost.
func (t *Table) isSettled(now time.Time, key model.Key) bool {
	since, ok := t.roster.firstChoiceSince(key, t.self)
	return ok && t.limits.issuedAfter(t.roster, since, key, now)
}

// continueFence asks the entries that were not asked yet, or ends the fence.
//
// Rule: the key is declined if the bindings of an entry that may have forwarded it are lost (remembers). Otherwise all
// entries listed now are asked, those that joined during the fence too. Without one outstanding the key runs.
func (t *Table) continueFence(now time.Time, key model.Key, r *record) Decision {
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

// remembers reports whether the bindings of every entry that may have forwarded the key still exist.
//
// Inputs: the removed entries on the roster with their heirs, the issue time of the key, Limits.margin.
//
// Rule: each entry that was removed later than the issue of the key, less the margin, has a listed heir.
//
// Reason: a dead entry may have sent the key to another owner, and nobody knows.
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

// Fenced applies the verdict of an entry and the epoch that the entry used. It returns false for a fence that has
// ended.
//
// Rule: the key is declined for any verdict but Promised, for a promise later than FenceTimeout, and for one under a
// later epoch than this owner has. Otherwise the fence continues.
//
// Reason: a promise that comes after the entry has removed its binding does not bind it. An entry with a later epoch
// may know of entries that this owner has not asked.
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
	return t.continueFence(now, key, r), true
}

// decline ends a fence. The key stays declined at this owner until its record expires.
//
// Reason: an entry may send the key elsewhere after a decline, so a later start here could be a second one
// (spec/ownership.pml, REDECIDE).
func (t *Table) decline(r *record, boundTo MemberID, reason string) Decision {
	r.state = stateDeclined
	r.fence = nil
	r.boundTo = boundTo
	t.running--
	return Decline{BoundTo: boundTo, Reason: reason}
}
