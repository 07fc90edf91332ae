// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package cluster keeps what a process knows of the other processes and of the operators' configuration, and
// exchanges it between entries, so that news travels while the platform's store does not answer.
package cluster

import (
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/cluster/clusterpb"
	"sailhead/internal/worker"
)

// Role says what a member does.
type Role string

// The roles of members.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Member is a process of sailhead as the others know it.
type Member struct {
	Name    string `json:"name"`
	Role    Role   `json:"role"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// Incarnation rises with each start of a process of the name.
	Incarnation int64 `json:"incarnation"`
	// Worker is the worker beside an agent, for the agent's next process.
	Worker *worker.Record `json:"worker,omitempty"`
}

// ParseMember reads a member as it lies in the platform's store.
func ParseMember(data []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(data, &m); err != nil {
		return Member{}, errors.Wrap(err, "cluster: unable to read a member")
	}
	if m.Name == "" || m.Address == "" {
		return Member{}, errors.New("cluster: a member has no name or no address")
	}
	return m, nil
}

// Encode returns the member as it lies in the platform's store.
func (m Member) Encode() []byte {
	data, _ := json.Marshal(m)
	return data
}

// Directory holds the newest record of each member and the newest configuration.
type Directory struct {
	mu      sync.Mutex
	members map[string]Member
	// forgotten holds the members that were given up, so that other entries do not bring them back.
	forgotten map[string]forgotten
	version   uint64
	document  []byte
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// forgotten is a member that was given up at a time.
type forgotten struct {
	incarnation int64
	at          time.Time
}

// forgottenTime is how long a member that was given up is not taken from other entries again. All entries give it
// up within that time.
const forgottenTime = time.Hour

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{members: make(map[string]Member), forgotten: make(map[string]forgotten), changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *Directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// AddMember takes in a member's record unless a newer one is known, and reports whether it was news.
func (d *Directory) AddMember(m Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.members[m.Name]
	if ok && known.Incarnation >= m.Incarnation || d.forgotten[m.Name].incarnation >= m.Incarnation {
		return false
	}
	d.members[m.Name] = m
	d.notify()
	return true
}

// AddAnnounced takes in what a member says of itself, also if it was given up.
func (d *Directory) AddAnnounced(m Member) {
	d.mu.Lock()
	delete(d.forgotten, m.Name)
	d.mu.Unlock()
	d.AddMember(m)
}

// ForgetMember gives a member up if its record is still of the incarnation given.
func (d *Directory) ForgetMember(now time.Time, m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, f := range d.forgotten {
		if now.Sub(f.at) > forgottenTime {
			delete(d.forgotten, name)
		}
	}
	if d.members[m.Name].Incarnation != m.Incarnation {
		return
	}
	delete(d.members, m.Name)
	d.forgotten[m.Name] = forgotten{incarnation: m.Incarnation, at: now}
	d.notify()
}

// Members returns the members of a role by name.
func (d *Directory) Members(role Role) []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var members []Member
	for _, m := range d.members {
		if m.Role == role {
			members = append(members, m)
		}
	}
	sort.Slice(members, func(i, k int) bool { return members[i].Name < members[k].Name })
	return members
}

// SetDocument takes in a configuration unless a newer one is known, and reports whether it was news.
func (d *Directory) SetDocument(version uint64, document []byte) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version <= d.version {
		return false
	}
	d.version = version
	d.document = document
	d.notify()
	return true
}

// Document returns the newest configuration and its version; 0 is none.
func (d *Directory) Document() (version uint64, document []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version, d.document
}

// view returns the directory for another process; the document goes along if the other has an older one.
func (d *Directory) view(otherVersion uint64, withDocument bool) *clusterpb.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	view := &clusterpb.View{Version: d.version}
	for _, m := range d.members {
		view.Members = append(view.Members, &clusterpb.Member{
			Name: m.Name, Role: string(m.Role), Zone: m.Zone, Address: m.Address, Incarnation: m.Incarnation,
		})
	}
	if withDocument && d.version > otherVersion {
		view.Document = d.document
	}
	return view
}

// membersOf returns the members of another's view; those without a name or an address are passed over.
func membersOf(view *clusterpb.View) []Member {
	var members []Member
	for _, m := range view.Members {
		if m.GetName() != "" && m.GetAddress() != "" {
			members = append(members, Member{Name: m.Name, Role: Role(m.Role), Zone: m.Zone, Address: m.Address, Incarnation: m.Incarnation})
		}
	}
	return members
}

// addMembers takes in the members of another's view.
func (d *Directory) addMembers(view *clusterpb.View) {
	for _, m := range membersOf(view) {
		d.AddMember(m)
	}
}
