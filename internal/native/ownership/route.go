// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"slices"
	"time"

	"sailhead/internal/native/model"
)

// Route is where an entry sends a submission. It is one of ForwardTo, RelayThrough and NoRoute.
type Route interface{ isRoute() }

// ForwardTo sends the submission to an owner. The key is bound to it; the caller must Record the result.
type ForwardTo struct{ Owner Member }

// RelayThrough sends the submission to another entry, as this one must not forward the key itself.
type RelayThrough struct{ Entry Member }

// NoRoute means that the submission cannot be sent; Reason says why. Whether the key runs or ran is unknown here.
type NoRoute struct{ Reason string }

func (ForwardTo) isRoute()    {}
func (RelayThrough) isRoute() {}
func (NoRoute) isRoute()      {}

// Route decides where a submission is sent, and binds its key if that is an owner.
//
// Inputs: the roster, the binding of the key, the issue time of the key; avoid, the members that this submission could
// not reach; suspects, the members that do not respond.
//
// Rule: an entry that must not forward the key (mayForward) relays it through one that may. An unknown key is bound to
// the first of the key's choices that is not to be avoided, and not suspected unless all are. A known key goes to the
// agent that has the records of its owner. If that agent is to be avoided, or is suspected, the key moves to the next
// choice, but only if the binding may move (Binding.mayMove). A binding that must not move keeps its owner, also one that
// is suspected or to be avoided.
//
// Reason: a key that was or may have been sent to one owner could start twice at another. A suspected owner may answer
// later, so it is no reason to fail what is bound to it. An owner to be avoided has declined this request, but has not
// answered another one of the same key yet; it declines again, and the key may move then.
func (f *Forwarder) Route(now time.Time, key model.Key, avoid, suspects []MemberID) Route {
	if f.closed {
		return NoRoute{Reason: "the entry is stopping"}
	}
	if !f.mayForward(f.self, key, now) {
		return f.relay(key, now, avoid, suspects)
	}
	b, known := f.bindings[key]
	if !known {
		return f.bindNew(now, key, avoid, suspects)
	}
	b.Touched = now
	owner, ok := f.roster.heirOf(key, b.Owner)
	canUse := ok && !slices.Contains(avoid, owner.ID) && !slices.Contains(suspects, owner.ID)
	switch {
	case canUse || ok && !b.mayMove():
		return f.send(b, owner)
	case !b.mayMove():
		return NoRoute{Reason: "the owner of the submission does not answer"}
	default:
		return f.move(b, key, avoid, suspects)
	}
}

// bindNew binds an unknown key, unless the table is full. An entry with a full table fails the key: it cannot know
// whether another entry sent it before.
func (f *Forwarder) bindNew(now time.Time, key model.Key, avoid, suspects []MemberID) Route {
	if len(f.bindings) >= f.limits.Entries {
		return NoRoute{Reason: "the entry's table is full"}
	}
	b := &Binding{Touched: now}
	route := f.move(b, key, avoid, suspects)
	if _, ok := route.(ForwardTo); ok {
		f.bindings[key] = b
	}
	return route
}

// move binds the key to the first choice that can be used.
func (f *Forwarder) move(b *Binding, key model.Key, avoid, suspects []MemberID) Route {
	if agent, ok := pick(f.roster.Choices(key), avoid, suspects); ok {
		return f.send(b, agent)
	}
	return NoRoute{Reason: "no agent can be reached"}
}

// send binds the key to an owner and counts a forward without a result.
func (f *Forwarder) send(b *Binding, owner Member) Route {
	b.Owner = owner.ID
	b.Unconfirmed++
	return ForwardTo{Owner: owner}
}

// pick returns the first member that is not to be avoided, a suspected one only if all are. It modifies members.
func pick(members []Member, avoid, suspects []MemberID) (Member, bool) {
	reachable := slices.DeleteFunc(members, func(m Member) bool { return slices.Contains(avoid, m.ID) })
	for _, m := range reachable {
		if !slices.Contains(suspects, m.ID) {
			return m, true
		}
	}
	if len(reachable) == 0 {
		return Member{}, false
	}
	return reachable[0], true
}

// relay chooses an entry that may forward the key.
func (f *Forwarder) relay(key model.Key, now time.Time, avoid, suspects []MemberID) Route {
	entries := slices.DeleteFunc(f.roster.Listed(RoleEntry), func(entry Member) bool {
		return entry.ID == f.self || !f.mayForward(entry.ID, key, now)
	})
	if entry, ok := pick(entries, avoid, suspects); ok {
		return RelayThrough{Entry: entry}
	}
	return NoRoute{Reason: "no entry that may forward the submission can be reached"}
}

// mayForward reports whether an entry may forward a key itself.
//
// Inputs: the roster, the issue time of the key, and Limits.margin.
//
// Rule: the entry is listed, and either the key was issued after every entry had acknowledged the epoch in which the
// entry joined, or no other entry joined before. An entry counts as joined with the earliest entry whose bindings it
// inherited.
//
// Reason: an earlier entry may have sent an older key to any owner, and a joined entry has no binding of it. A removed
// entry still counts as earlier, as its bindings may be lost.
func (f *Forwarder) mayForward(id MemberID, key model.Key, now time.Time) bool {
	entry, ok := f.roster.MemberByID(id)
	if !ok || !entry.IsListed() {
		return false
	}
	joined := f.roster.effectiveJoined(entry)
	if f.limits.issuedAfter(f.roster, joined, key, now) {
		return true
	}
	for _, m := range f.roster.Members {
		if m.Role == RoleEntry && m.Joined < joined {
			return false
		}
	}
	return true
}
