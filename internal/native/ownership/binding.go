// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"time"

	"sailhead/internal/native/model"
)

// ForwardResult is the result of sending a submission to an owner. It is one of Taken, NotSent, Refused, Declined and
// Unconfirmed.
type ForwardResult interface{ isForwardResult() }

// Taken means that the owner has a record of the key.
type Taken struct{}

// NotSent means that no byte of the request left this process.
type NotSent struct{}

// Refused means that the owner did not accept this request, but may accept another one.
type Refused struct{}

// Declined means that the owner will never run the key. BoundTo is the owner that may, if known.
type Declined struct{ BoundTo MemberID }

// Unconfirmed means that there was no response: the owner may have a record of the key or not.
type Unconfirmed struct{}

func (Taken) isForwardResult()       {}
func (NotSent) isForwardResult()     {}
func (Refused) isForwardResult()     {}
func (Declined) isForwardResult()    {}
func (Unconfirmed) isForwardResult() {}

// Binding is the record that an entry has of a key that it forwarded or promised. Its states are:
//
//	movable      nothing is unconfirmed, taken or promised; the key may go to another owner
//	unconfirmed  a request has no result, so it may have reached the owner; Record counts the results
//	taken        the owner has answered for the key, so its records are with the owner or its heirs
//	promised     a fence has bound the key to its owner
//	conflict     Owner is "" and Taken is set: two entries had different owners (Inherit), or an owner that had taken the
//	             key declined it. No request for the key is sent any more.
type Binding struct {
	Owner MemberID
	// Promised is set when a fence has bound the key to its owner.
	Promised bool
	// Taken is set once the owner has answered for the key.
	Taken bool
	// Unconfirmed counts the requests to the owner without a result.
	Unconfirmed int
	// Touched is when the binding was last used.
	Touched time.Time
}

// mayMove reports whether the key may be sent to another owner.
//
// Rule: no request is unconfirmed, the owner has not taken the key, and no promise binds it.
//
// Reason: only then is it certain that the owner has no record of the key and cannot start it.
func (b Binding) mayMove() bool {
	return !b.Promised && !b.Taken && b.Unconfirmed == 0
}

// Record applies the result of a request to an owner. A result for another owner than that of the binding is ignored.
func (f *Forwarder) Record(key model.Key, owner MemberID, result ForwardResult) {
	b, ok := f.bindings[key]
	if !ok || b.Owner != owner {
		return
	}
	switch r := result.(type) {
	case Taken:
		b.Unconfirmed--
		b.Taken = true
	case NotSent, Refused:
		b.Unconfirmed--
	case Declined:
		f.release(b, r)
	case Unconfirmed:
		// The request stays counted.
	}
}

// release makes the binding of a key movable after its owner declined the key.
//
// Rule: a binding whose key was taken becomes a conflict instead.
//
// Reason: an owner that took a key has a record of it, and so have its heirs; one that does not know the key proves
// that the record is lost or elsewhere.
func (f *Forwarder) release(b *Binding, declined Declined) {
	if b.Taken {
		b.Owner = ""
		return
	}
	b.Unconfirmed = 0
	b.Promised = false
	if declined.BoundTo != "" {
		b.Owner = declined.BoundTo
	}
}
