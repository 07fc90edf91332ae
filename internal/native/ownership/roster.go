// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Settlement is the time at which every listed entry had acknowledged an epoch.
type Settlement struct {
	Epoch uint64    `json:"epoch"`
	At    time.Time `json:"at"`
}

// Roster is the list of the entries and agents of a region, as an immutable value. It is stored as JSON in the
// platform's key-value service.
type Roster struct {
	// Epoch grows with each join and removal.
	Epoch uint64 `json:"epoch"`
	// Revision grows with every change, acknowledgements included.
	Revision uint64 `json:"revision"`
	// Members are the listed members and those that were removed not long ago; see WithPruned.
	Members []Member `json:"members"`
	// Settled are the settlements in the order of their epochs. An epoch that was never settled alone is settled with
	// the next one.
	Settled []Settlement `json:"settled"`
}

// ErrUnknownMember is returned by changes of a member that is not listed.
var ErrUnknownMember = errors.New("ownership: member is not listed")

// MemberByID returns a member, which may have been removed.
func (r Roster) MemberByID(id MemberID) (Member, bool) {
	for _, m := range r.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Listed returns the listed members of a role in the order in which they joined.
func (r Roster) Listed(role Role) []Member {
	var listed []Member
	for _, m := range r.Members {
		if m.Role == role && m.IsListed() {
			listed = append(listed, m)
		}
	}
	slices.SortStableFunc(listed, func(a, b Member) int { return cmp.Compare(a.Joined, b.Joined) })
	return listed
}

// settledAt returns when every listed entry had acknowledged the epoch, or a later one.
func (r Roster) settledAt(epoch uint64) (time.Time, bool) {
	for _, s := range r.Settled {
		if s.Epoch >= epoch {
			return s.At, true
		}
	}
	return time.Time{}, false
}

// IsSettled reports whether every listed entry has acknowledged the current epoch.
func (r Roster) IsSettled() bool {
	_, ok := r.settledAt(r.Epoch)
	return ok
}
