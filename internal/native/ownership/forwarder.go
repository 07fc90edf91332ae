// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"slices"
	"time"

	"sailhead/internal/native/model"
)

// Route is where an entry sends a submission: ForwardTo, RelayThrough or NoRoute.
type Route interface{ isRoute() }

// ForwardTo sends the submission to the owner to which the key is now bound.
type ForwardTo struct{ Owner Member }

// RelayThrough asks another entry to forward a key that this one may not forward itself.
type RelayThrough struct{ Entry Member }

// NoRoute means that the outcome of the key is not known here, and why.
type NoRoute struct{ Reason string }

func (ForwardTo) isRoute()    {}
func (RelayThrough) isRoute() {}
func (NoRoute) isRoute()      {}

// Forward is what became of one forward: Taken, NotSent, Refused, DeclinedFor or Lost.
type Forward interface{ isForward() }

// Taken says that the owner holds the key.
type Taken struct{}

// NotSent says that no byte of the forward left this process.
type NotSent struct{}

// Refused says that the owner did not take this one forward.
type Refused struct{}

// DeclinedFor says that the owner will never take the key; BoundTo may name the one that has it.
type DeclinedFor struct{ BoundTo MemberID }

// Lost says that the owner may or may not have taken the forward.
type Lost struct{}

func (Taken) isForward()       {}
func (NotSent) isForward()     {}
func (Refused) isForward()     {}
func (DeclinedFor) isForward() {}
func (Lost) isForward()        {}

// Verdict is an entry's answer to a fence: Promised, BoundElsewhere or CannotTell.
type Verdict interface{ isVerdict() }

// Promised says that the entry will send the key to no other owner.
type Promised struct{}

// BoundElsewhere says that the entry has, or may have, sent the key to another owner.
type BoundElsewhere struct{ Owner MemberID }

// CannotTell says that the entry gives no promise.
type CannotTell struct{}

func (Promised) isVerdict()       {}
func (BoundElsewhere) isVerdict() {}
func (CannotTell) isVerdict()     {}

// Binding is what an entry remembers of a key.
type Binding struct {
	Owner MemberID
	// Promised is set when a fence has bound the key to its owner.
	Promised bool
	// Taken is set when the owner has answered for the key.
	Taken bool
	// Unsure counts the forwards whose fate is not known.
	Unsure  int
	Touched time.Time
}

// mayMove reports whether the owner certainly has nothing of the key and nothing was promised.
func (b Binding) mayMove() bool {
	return !b.Promised && !b.Taken && b.Unsure == 0
}

// Forwarder holds the bindings of one entry. It is not safe for concurrent use.
type Forwarder struct {
	self     MemberID
	limits   Limits
	roster   Roster
	bindings map[model.Key]*Binding
	closed   bool
	// handing is set while the bindings are being handed over; what is inherited then would not be among them.
	handing bool
}

// NewForwarder returns a forwarder without bindings.
func NewForwarder(self MemberID, limits Limits) *Forwarder {
	return &Forwarder{self: self, limits: limits, bindings: make(map[model.Key]*Binding)}
}

// SetRoster takes a newer roster into use and reports whether it did.
func (f *Forwarder) SetRoster(roster Roster) bool {
	if roster.Revision <= f.roster.Revision {
		return false
	}
	f.roster = roster
	return true
}

// Roster returns the roster in use.
func (f *Forwarder) Roster() Roster {
	return f.roster
}

// Len returns the number of keys remembered.
func (f *Forwarder) Len() int {
	return len(f.bindings)
}

// OwnerOf returns the owner to which the key is bound, or its first choice.
func (f *Forwarder) OwnerOf(key model.Key) (Member, bool) {
	if b, ok := f.bindings[key]; ok {
		return f.roster.heirOf(key, b.Owner)
	}
	return f.roster.FirstChoice(key)
}

// Route binds the key before it is sent and tells where to send it. Members in avoid were not reachable; those in
// suspects are silent, and get a key only if it is bound to them or nobody else is left.
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
	isSuspect := slices.Contains(suspects, owner.ID) && b.mayMove()
	if ok && !slices.Contains(avoid, owner.ID) && !isSuspect {
		return f.send(b, owner)
	}
	if !b.mayMove() {
		return NoRoute{Reason: "the owner of the submission does not answer"}
	}
	return f.move(b, key, avoid, suspects)
}

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

func (f *Forwarder) move(b *Binding, key model.Key, avoid, suspects []MemberID) Route {
	if agent, ok := pick(f.roster.Choices(key), avoid, suspects); ok {
		return f.send(b, agent)
	}
	return NoRoute{Reason: "no agent can be reached"}
}

func (f *Forwarder) send(b *Binding, owner Member) Route {
	b.Owner = owner.ID
	b.Unsure++
	return ForwardTo{Owner: owner}
}

// pick returns the first member that is not to be avoided, a suspect only if there is no other.
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

// relay picks an entry that may forward the key.
func (f *Forwarder) relay(key model.Key, now time.Time, avoid, suspects []MemberID) Route {
	entries := slices.DeleteFunc(f.roster.Listed(RoleEntry), func(entry Member) bool {
		return entry.ID == f.self || !f.mayForward(entry.ID, key, now)
	})
	if entry, ok := pick(entries, avoid, suspects); ok {
		return RelayThrough{Entry: entry}
	}
	return NoRoute{Reason: "no entry that may forward the submission can be reached"}
}

// mayForward reports whether an entry may forward a key itself: it is listed, and the key was
// issued after every earlier entry acknowledged it, or there was no earlier entry.
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

// Record takes in what became of a forward to an owner.
func (f *Forwarder) Record(key model.Key, owner MemberID, forward Forward) {
	b, ok := f.bindings[key]
	if !ok || b.Owner != owner {
		return
	}
	switch fate := forward.(type) {
	case Taken:
		b.Unsure--
		b.Taken = true
	case NotSent, Refused:
		b.Unsure--
	case DeclinedFor:
		f.release(b, fate)
	case Lost:
	}
}

// release frees the key from an owner that will never take it. A key that an owner took before
// stays bound: its record must be with the heirs, and one that does not know it proves nothing.
func (f *Forwarder) release(b *Binding, declined DeclinedFor) {
	if b.Taken {
		b.Owner = ""
		return
	}
	b.Unsure = 0
	b.Promised = false
	if declined.BoundTo != "" {
		b.Owner = declined.BoundTo
	}
}

// Fence answers an owner that wants the key to be sent to no one else.
func (f *Forwarder) Fence(now time.Time, key model.Key, asker MemberID) Verdict {
	if f.closed {
		return CannotTell{}
	}
	b, known := f.bindings[key]
	if !known {
		if len(f.bindings) >= f.limits.Entries {
			return CannotTell{}
		}
		f.bindings[key] = &Binding{Owner: asker, Promised: true, Touched: now}
		return Promised{}
	}
	b.Touched = now
	holder, ok := f.roster.heirOf(key, b.Owner)
	if b.Owner == asker || ok && holder.ID == asker || b.mayMove() {
		b.Owner = asker
		b.Promised = true
		return Promised{}
	}
	return BoundElsewhere{Owner: b.Owner}
}

// Expire forgets the keys that were last touched before the retention time.
func (f *Forwarder) Expire(now time.Time) {
	before := now.Add(-f.limits.Retention())
	for key, b := range f.bindings {
		if b.Touched.Before(before) {
			delete(f.bindings, key)
		}
	}
}

// Close stops routing and promising, and returns the bindings for an heir. From then on the forwarder inherits nothing.
func (f *Forwarder) Close() map[model.Key]Binding {
	f.closed = true
	f.handing = true
	bindings := make(map[model.Key]Binding, len(f.bindings))
	for key, b := range f.bindings {
		bindings[key] = *b
	}
	return bindings
}

// Reopen lets the forwarder inherit again after a hand-over that failed; the next one gives everything anew.
func (f *Forwarder) Reopen() {
	f.handing = false
}

// isSameHolder reports whether the records of the key are with the same agent for both owners.
func (f *Forwarder) isSameHolder(key model.Key, a, b MemberID) bool {
	holderOfA, okA := f.roster.heirOf(key, a)
	holderOfB, okB := f.roster.heirOf(key, b)
	return a == b || okA && okB && holderOfA.ID == holderOfB.ID
}

// Inherit takes the bindings of a leaving entry; of two that differ the one that was sent stays.
func (f *Forwarder) Inherit(bindings map[model.Key]Binding) bool {
	if f.handing || len(f.bindings)+len(bindings) > f.limits.Entries {
		return false
	}
	for key, inherited := range bindings {
		own, known := f.bindings[key]
		if known && (f.isSameHolder(key, own.Owner, inherited.Owner) || inherited.mayMove()) {
			own.Promised = own.Promised || inherited.Promised
			own.Taken = own.Taken || inherited.Taken
			own.Unsure += inherited.Unsure
			continue
		}
		if known && !own.mayMove() {
			own.Owner = ""
			own.Taken = true
			continue
		}
		f.bindings[key] = &inherited
	}
	return true
}
