// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package cluster holds what a process knows of sailhead's other processes on the users' platform and of the operators'
// configuration, and exchanges it between entries. It owns the Directory, a copy in memory; the records themselves lie in
// the platform's store, which the caller reads and writes.
//
// If the store does not answer, entries still learn new members and configurations from each other by Exchange, and of
// new agents by Announce. If another entry dies, exchanges with it fail with an error for the caller to log and repeat; its
// record stays in the directory, as a member that is not reachable is not known to be gone.
package cluster

import (
	"encoding/json"
	"net"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"sailhead/internal/clock"
	"sailhead/internal/cluster/clusterpb"
	"sailhead/internal/evacuation"
	"sailhead/internal/learned"
	"sailhead/internal/wire"
	"sailhead/internal/worker"
)

// Role is the kind of a member.
type Role string

// The roles of members.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Member is the record of a process of sailhead. It lies in the platform's store as JSON, so its fields, and those of
// worker.Record, keep their names there.
type Member struct {
	// Name is unique among members, and the same after a restart.
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Address is the IP address and port at which other processes reach this one.
	Address string `json:"address"`
	// Incarnation is the start of the process, in nanoseconds since 1970. Of two records of a name the higher one is
	// the newer.
	Incarnation int64 `json:"incarnation"`
	// Worker is what an agent knows of its worker, for the agent to read after a restart; nil for an entry.
	Worker *worker.Record `json:"worker,omitempty"`
}

// ParseMember decodes a record that Encode made. It returns an error if data is no such JSON, or if it names no process that can be
// reached. A worker that cannot be used is left out.
func ParseMember(data []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(data, &m); err != nil {
		return Member{}, errors.Wrap(err, "cluster: unable to read a member")
	}
	if err := m.check(); err != nil {
		return Member{}, err
	}
	if m.Worker != nil && !m.Worker.IsValid() {
		m.Worker = nil
	}
	return m, nil
}

// check returns an error if no process can be reached by the record: it has no name, no address of the form HOST:PORT, a role
// that is not known, or no incarnation.
func (m Member) check() error {
	if m.Name == "" {
		return errors.New("cluster: a member has no name")
	}
	if _, port, err := net.SplitHostPort(m.Address); err != nil || port == "" {
		return errors.Errorf("cluster: the member %s has no address", m.Name)
	}
	if m.Role != RoleEntry && m.Role != RoleAgent {
		return errors.Errorf("cluster: the member %s has the role %.20q", m.Name, m.Role)
	}
	if m.Incarnation <= 0 {
		return errors.Errorf("cluster: the member %s has the incarnation %d", m.Name, m.Incarnation)
	}
	return nil
}

// Encode returns the member as JSON for the platform's store.
func (m Member) Encode() []byte {
	// Marshal fails on channels, functions, cycles and special floats only; Member and worker.Record have none.
	data, _ := json.Marshal(m)
	return data
}

// hash returns a hash of what exchanges carry of the member.
func (m Member) hash() uint64 {
	incarnation := strconv.FormatInt(m.Incarnation, 10)
	return xxhash.Sum64String(strings.Join([]string{m.Name, string(m.Role), m.Zone, m.Address, incarnation}, "\x00"))
}

// Directory holds the newest record of each member and the newest configuration document. It is safe for concurrent
// use.
type Directory struct {
	mu      sync.Mutex
	members map[string]Member
	// removed holds the members that ForgetMember removed, by name, so that AddMember does not add them again when
	// another entry still lists them.
	removed map[string]removal
	// digest is the exclusive or of the hashes of all members.
	digest uint64
	// crashes are the latest crashes of workers.
	crashes crashes
	// evacuations are the latest known changes of the availability zones.
	evacuations evacuation.State
	// learned is what this entry has learned of the kinds of jobs.
	learned []learned.Kind
	// version is the version of document, or 0 before the first.
	version  uint64
	document []byte
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// removal is the newest incarnation of a removed member and the time of its removal.
type removal struct {
	incarnation int64
	at          time.Time
}

// removalLifetime is how long a removal is remembered. By then every other entry has removed the member too, as each does ten minutes after
// it last reached it (forgetAfter of package entry).
const removalLifetime = time.Hour

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{members: make(map[string]Member), removed: make(map[string]removal), crashes: make(crashes), changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// notify closes the channel of Changed. The caller holds mu.
func (d *Directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// AddMember stores a record unless the directory has one of the same or a later incarnation, or has removed one. It
// reports whether it stored the record.
func (d *Directory) AddMember(m Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.members[m.Name]
	if ok && known.Incarnation >= m.Incarnation || d.removed[m.Name].incarnation >= m.Incarnation {
		return false
	}
	if ok {
		d.digest ^= known.hash()
	}
	d.members[m.Name] = m
	d.digest ^= m.hash()
	d.notify()
	return true
}

// AddAnnounced stores a record that came from the member itself. As the member is alive, it is stored even if the
// incarnation was removed.
func (d *Directory) AddAnnounced(m Member) {
	d.mu.Lock()
	delete(d.removed, m.Name)
	d.mu.Unlock()
	d.AddMember(m)
}

// ForgetMember removes a member, unless the directory now has another incarnation of it.
func (d *Directory) ForgetMember(now time.Time, m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, r := range d.removed {
		if now.Sub(r.at) > removalLifetime {
			delete(d.removed, name)
		}
	}
	known, ok := d.members[m.Name]
	if !ok || known.Incarnation != m.Incarnation {
		return
	}
	delete(d.members, m.Name)
	d.digest ^= known.hash()
	d.removed[m.Name] = removal{incarnation: m.Incarnation, at: now}
	d.notify()
}

// Members returns the members of a role, ordered by name.
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

// SetConfiguration stores a configuration document unless the directory has one of the same or a higher version. It reports
// whether it stored the document. The caller has checked the document and must not change it afterwards.
func (d *Directory) SetConfiguration(version uint64, document []byte) bool {
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

// Configuration returns the newest configuration document and its version, or version 0 before the first.
func (d *Directory) Configuration() (version uint64, document []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version, d.document
}

// summary returns the versions of what the directory holds, without members and document, and the crashes.
func (d *Directory) summary() *clusterpb.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.summaryView()
}

// summaryView returns what every view holds. The caller holds mu.
func (d *Directory) summaryView() *clusterpb.View {
	return &clusterpb.View{
		Version: d.version, Digest: d.digest, Crashes: d.crashes.messages(clock.Now()),
		Evacuations: wire.PackChanges(d.evacuations), EvacuationsAsOf: int64(d.evacuations.AsOf()),
		Kinds: packLearned(d.learned),
	}
}

// viewFor returns the directory as a message to another process, whose summary is known: with the members if they differ, and
// with the document if withDocument is set and the other process has a lower version. Members' workers are left out: only the
// store keeps them.
func (d *Directory) viewFor(other *clusterpb.View, withDocument bool) *clusterpb.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	view := d.summaryView()
	if d.digest != other.Digest {
		for _, m := range d.members {
			view.Members = append(view.Members, m.message())
		}
	}
	if withDocument && d.version > other.Version {
		view.Document = d.document
	}
	return view
}

// message returns what exchanges carry of the member.
func (m Member) message() *clusterpb.Member {
	return &clusterpb.Member{Name: m.Name, Role: string(m.Role), Zone: m.Zone, Address: m.Address, Incarnation: m.Incarnation}
}

// membersOf returns the members of a view. Records that name no process are skipped without a line: ParseMember keeps them from
// being read from the store, where they are logged, so no current process sends one.
func membersOf(view *clusterpb.View) []Member {
	var members []Member
	for _, m := range view.Members {
		member := Member{Name: m.GetName(), Role: Role(m.GetRole()), Zone: m.GetZone(), Address: m.GetAddress(), Incarnation: m.GetIncarnation()}
		if member.check() == nil {
			members = append(members, member)
		}
	}
	return members
}

// addMembers adds the members of another process's view.
func (d *Directory) addMembers(view *clusterpb.View) {
	for _, m := range membersOf(view) {
		d.AddMember(m)
	}
}
