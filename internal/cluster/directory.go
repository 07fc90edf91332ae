// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package cluster maintains a process's view of the cluster: the other sailhead processes on the users' platform and the operators'
// configuration. It also exchanges this view between entries. The package owns the Directory, a copy in memory; the authoritative records are
// in the platform's store, which the caller reads and writes.
//
// While the store is unavailable, entries still learn of new members and configurations from each other through Exchange, and of new agents
// through Announce. If another entry dies, exchanges with it return an error, which the caller logs before it retries. The record of the entry
// stays in the directory, as an unreachable member may still be running.
package cluster

import (
	"encoding/json"
	"net/netip"
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

// Member is the record of a sailhead process. It is stored in the platform's store as JSON, so the JSON names of its fields and of those of
// worker.Record must not change.
type Member struct {
	// Name is unique among members and does not change when the process restarts.
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Address is the IP address and port on which other processes reach this one.
	Address string `json:"address"`
	// Incarnation is the start time of the process, in nanoseconds since 1970. Of two records with the same name, the one with the higher
	// incarnation is newer.
	Incarnation int64 `json:"incarnation"`
	// Worker is an agent's record of its worker, which the agent reads after a restart. It is nil for an entry.
	Worker *worker.Record `json:"worker,omitempty"`
}

// maxIncarnation is the highest valid incarnation: a process that started in the year 2116. A record with a higher one could be replaced by no
// later process.
const maxIncarnation = 1 << 62

// ParseMember decodes a record encoded by Encode. It returns an error if data is not valid JSON of a member, or lacks what is needed to reach
// the process. An invalid worker record is removed.
func ParseMember(data []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(data, &m); err != nil {
		return Member{}, errors.Wrap(err, "cluster: unable to decode a member record")
	}
	if err := m.check(); err != nil {
		return Member{}, err
	}
	if m.Worker != nil && !m.Worker.IsValid() {
		m.Worker = nil
	}
	return m, nil
}

// check returns an error if the record does not identify a reachable process: it lacks a name, an IP address with a port, a known role or a valid
// incarnation.
func (m Member) check() error {
	if m.Name == "" {
		return errors.New("cluster: a member has no name")
	}
	if address, err := netip.ParseAddrPort(m.Address); err != nil || address.Port() == 0 {
		return errors.Errorf("cluster: the member %s has no address of the form IP:PORT", m.Name)
	}
	if m.Role != RoleEntry && m.Role != RoleAgent {
		return errors.Errorf("cluster: the member %s has the unknown role %.20q", m.Name, m.Role)
	}
	if m.Incarnation <= 0 || m.Incarnation > maxIncarnation {
		return errors.Errorf("cluster: the member %s has the invalid incarnation %d", m.Name, m.Incarnation)
	}
	return nil
}

// Encode returns the member as JSON for the platform's store.
func (m Member) Encode() []byte {
	// Marshal fails only for channels, functions, cycles, NaN and infinity, none of which occur in Member and worker.Record.
	data, _ := json.Marshal(m)
	return data
}

// hash returns a hash of the fields that exchanges transfer.
func (m Member) hash() uint64 {
	incarnation := strconv.FormatInt(m.Incarnation, 10)
	return xxhash.Sum64String(strings.Join([]string{m.Name, string(m.Role), m.Zone, m.Address, incarnation}, "\x00"))
}

// Directory holds the newest record of each member and the newest configuration document. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	members map[string]Member
	// removed records the members removed by RemoveMember, by name, so that AddMember does not restore them from the view of an entry that still
	// lists them.
	removed map[string]removal
	// digest is the XOR of the hashes of all members.
	digest uint64
	// crashes are the recent crashes of workers.
	crashes crashes
	// unendedRuns are the runs of this process's failed jobs that may go on.
	unendedRuns unendedRuns
	// evacuations are the latest known changes of the availability zones.
	evacuations evacuation.State
	// learned holds the statistics of this entry about the kinds of jobs.
	learned []learned.Kind
	// version is the version of document, or 0 if there is none yet.
	version  uint64
	document []byte
	// changed is closed and replaced on each change.
	changed chan struct{}
}

// removal is the newest incarnation of a removed member, and the time of the removal.
type removal struct {
	incarnation int64
	at          time.Time
}

// removalLifetime is how long a removal is stored. By then every other entry has removed the member too, as each does ten minutes after it
// last reached the member (recordExpiry of package entry).
const removalLifetime = time.Hour

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{members: make(map[string]Member), removed: make(map[string]removal), crashes: make(crashes), unendedRuns: make(unendedRuns), changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// notify closes the channel returned by Changed. The caller holds mu.
func (d *Directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// AddMember stores a record unless the same or a later incarnation is in the directory or was removed from it. It reports whether it stored the
// record.
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

// AddAnnounced stores a record received from the member itself. As this shows that the member is alive, the record is stored even if its
// incarnation was removed. If the directory has a record with a higher incarnation, AddAnnounced returns that.
func (d *Directory) AddAnnounced(m Member) (superseding Member, isSuperseded bool) {
	d.mu.Lock()
	delete(d.removed, m.Name)
	d.mu.Unlock()
	if d.AddMember(m) {
		return Member{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.members[m.Name]
	return known, ok && known.Incarnation > m.Incarnation
}

// RemoveMember removes a member, unless the directory holds another incarnation of it by now.
func (d *Directory) RemoveMember(now time.Time, m Member) {
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

// Members returns the members with the given role, sorted by name.
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

// SetConfiguration stores a configuration document unless the directory has one of the same or a higher version. It reports whether it stored
// the document. The caller must have validated the document and must not modify it afterwards.
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

// Configuration returns the newest configuration document and its version, or version 0 if there is none yet.
func (d *Directory) Configuration() (version uint64, document []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version, d.document
}

// summary returns a view of the directory without the members and the document.
func (d *Directory) summary() *clusterpb.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.summaryView()
}

// summaryView returns a view with the fields that all views contain. The caller holds mu.
func (d *Directory) summaryView() *clusterpb.View {
	now := clock.Now()
	return &clusterpb.View{
		Version: d.version, Digest: d.digest, Crashes: d.crashes.messages(now), UnendedRuns: d.unendedRuns.messages(now),
		Evacuations: wire.PackChanges(d.evacuations), EvacuationsAsOf: int64(d.evacuations.AsOf()),
		Kinds: packLearned(d.learned),
	}
}

// viewFor returns a view of the directory for another process whose summary is given. It contains the members if the digests differ, and the
// document if withDocument is set and the other process has a lower version. Workers of members are omitted, as they are kept in the store
// only.
func (d *Directory) viewFor(other *clusterpb.View, withDocument bool) *clusterpb.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	view := d.summaryView()
	if d.digest != other.Digest {
		for _, m := range d.members {
			view.Members = append(view.Members, m.pack())
		}
	}
	if withDocument && d.version > other.Version {
		view.Document = d.document
	}
	return view
}

// pack converts the member to a message.
func (m Member) pack() *clusterpb.Member {
	return &clusterpb.Member{Name: m.Name, Role: string(m.Role), Zone: m.Zone, Address: m.Address, Incarnation: m.Incarnation}
}

// unpackMembers returns the members of a view. Invalid records are skipped without logging: ParseMember rejects them when they are read from the
// store, where they are logged, so no current process sends one.
func unpackMembers(view *clusterpb.View) []Member {
	var members []Member
	for _, m := range view.Members {
		member := Member{Name: m.GetName(), Role: Role(m.GetRole()), Zone: m.GetZone(), Address: m.GetAddress(), Incarnation: m.GetIncarnation()}
		if member.check() == nil {
			members = append(members, member)
		}
	}
	return members
}

// addMembers adds the members of a view from another process.
func (d *Directory) addMembers(view *clusterpb.View) {
	for _, m := range unpackMembers(view) {
		d.AddMember(m)
	}
}
