// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import "time"

// MemberID identifies one incarnation of a process.
type MemberID string

// Role is the role of a process.
type Role string

// The roles of members.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Removal is why a member was removed.
type Removal string

// The reasons for a removal.
const (
	// RemovalDead is a member that is proven dead. Its bindings or records are lost.
	RemovalDead Removal = "dead"
	// RemovalLeft is a member after its planned stop. Its heirs have its bindings or records.
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
	// Heir is the entry that has the bindings of an entry that left. Agents have an heir for each key instead.
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
