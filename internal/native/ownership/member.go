// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package ownership decides which agent owns a submission, so that no task starts twice.
//
// It holds the roster of processes, the bindings of a forwarding entry and the
// submission table of an owning agent as state machines without I/O.
// docs/DESIGN.md gives the rules and spec/ownership.pml their model.
package ownership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sailhead/internal/native/model"
)

// MemberID names one incarnation of a process.
type MemberID string

// Role says what a member does.
type Role string

// The roles of members.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Removal says how a member went.
type Removal string

// The ways in which a member goes.
const (
	// RemovalDead is proven death; what the member remembered is lost.
	RemovalDead Removal = "dead"
	// RemovalLeft is a planned stop; what the member remembered is with its heirs.
	RemovalLeft Removal = "left"
)

// Member is one incarnation of an entry or an agent, listed or removed.
type Member struct {
	ID      MemberID `json:"id"`
	Name    string   `json:"name"`
	Address string   `json:"address"`
	Zone    string   `json:"zone"`
	Role    Role     `json:"role"`
	// Joined is the epoch that first listed the member.
	Joined   uint64    `json:"joined"`
	JoinedAt time.Time `json:"joined_at"`
	// Acked is the highest epoch that an entry has acknowledged.
	Acked uint64 `json:"acked,omitempty"`
	// Removed is the epoch that removed the member, 0 while it is listed.
	Removed   uint64    `json:"removed,omitempty"`
	RemovedAt time.Time `json:"removed_at,omitzero"`
	Removal   Removal   `json:"removal,omitempty"`
	// Heir is the entry that took the bindings of an entry that left.
	Heir MemberID `json:"heir,omitempty"`
	// SeenOnList is set once the platform's list has shown the member's VM.
	SeenOnList bool `json:"seen_on_list,omitempty"`
	// Leaving is set once the platform's list shows the VM as leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// IsListed reports whether the member has not been removed.
func (m Member) IsListed() bool {
	return m.Removed == 0
}

// wasListedAt reports whether the member was listed in the epoch.
func (m Member) wasListedAt(epoch uint64) bool {
	return m.Joined <= epoch && (m.Removed == 0 || m.Removed > epoch)
}

// score returns the member's weight for the key; the listed agent with the highest one is the first choice.
func (m Member) score(key model.Key) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(m.Address)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(key))
	return digest.Sum64()
}
