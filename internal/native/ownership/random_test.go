// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sailhead/internal/native/model"
)

// packet is a message in transit in a random schedule. It may be delivered late or never.
type packet struct {
	from, to MemberID
	offer    *Offer
	fence    model.Key
	verdict  Verdict
	result   ForwardResult
	key      model.Key
	epoch    uint64
}

// claim identifies a key at an owner.
type claim struct {
	owner MemberID
	key   model.Key
}

// schedule is a random run of several entries and agents over lossy links.
type schedule struct {
	*world
	rt      *rapid.T
	random  *rand.Rand
	alive   map[MemberID]bool
	skews   map[MemberID]time.Duration
	packets []packet
	joined  int
	keys    []model.Key
	starts  map[model.Key]int
	// refused is the highest attempt of a key that was answered not_run.
	refused map[model.Key]uint32
	// offered is the attempt for which an owner runs or fences a key: the first that it took.
	offered map[claim]uint32
}

// oneOf draws evenly, where rapid's own draws prefer small values.
func oneOf[T any](s *schedule, all []T) T { return all[s.random.IntN(len(all))] }

func (s *schedule) at(id MemberID) time.Time { return s.now.Add(s.skews[id]) }

func (s *schedule) join(role Role, address string) {
	s.joined++
	id := MemberID(fmt.Sprintf("%s#%d", address, s.joined))
	s.alive[id] = true
	s.skews[id] = time.Duration((s.random.IntN(101) - 50)) * time.Millisecond
	if role == RoleEntry {
		s.forwarders[id] = NewForwarder(id, s.limits)
	} else {
		s.tables[id] = NewTable(id, s.limits)
	}
	s.roster = s.roster.WithJoined(Member{ID: id, Address: address, Role: role}, s.at(id))
	s.see(id)
}

// see sets the newest roster at one process. An entry acknowledges it.
func (s *schedule) see(id MemberID) {
	if f, ok := s.forwarders[id]; ok {
		f.SetRoster(s.roster)
		if next, err := s.roster.WithAck(id, f.Roster().Epoch, s.at(id)); err == nil {
			s.roster = next
		}
		return
	}
	s.tables[id].SetRoster(s.roster)
}

func (s *schedule) pick(role Role, isAlive bool) (MemberID, bool) {
	var ids []MemberID
	for _, m := range s.roster.Listed(role) {
		if s.alive[m.ID] == isAlive {
			ids = append(ids, m.ID)
		}
	}
	if len(ids) == 0 {
		return "", false
	}
	return oneOf(s, ids), true
}

// step takes one random step: mostly a message, sometimes a change of the members.
func (s *schedule) step() {
	switch at := s.random.IntN(100); {
	case at < 48:
		s.deliver()
	case at < 78:
		s.submit()
	case at < 84:
		s.issue()
	case at < 88:
		s.spreadOne()
	case at < 91:
		s.drop()
	case at < 93:
		s.lose()
	case at < 97:
		s.advance()
	default:
		oneOf(s, []func(){s.kill, s.remove, s.restart, s.crash, s.crash, s.grow, s.grow, s.leaveAgent, s.leaveEntry})()
	}
}

func (s *schedule) issue() {
	now := s.now
	s.now = now.Add(time.Duration((s.random.IntN(101) - 50)) * time.Millisecond)
	s.world.issue("key", "")
	s.now = now
	s.keys = append(s.keys, s.world.keys["key"])
}

func (s *schedule) submit() {
	entry, ok := s.pick(RoleEntry, true)
	if !ok || len(s.keys) == 0 {
		return
	}
	key := oneOf(s, s.keys[max(0, len(s.keys)-2):])
	if s.limits.AgeOf(key, s.at(entry)) != AgeAccepted {
		return
	}
	attempt := s.refused[key] + uint32(s.random.IntN(2))
	s.route(entry, key, max(attempt, 1), nil)
}

func (s *schedule) route(entry MemberID, key model.Key, attempt uint32, avoid []MemberID) {
	f := s.forwarders[entry]
	route := f.Route(s.at(entry), key, avoid, nil)
	if relay, ok := route.(RelayThrough); ok && s.alive[relay.Entry.ID] && len(avoid) == 0 {
		s.route(relay.Entry.ID, key, attempt, []MemberID{entry})
		return
	}
	to, ok := route.(ForwardTo)
	if !ok {
		return
	}
	if !s.alive[to.Owner.ID] || s.random.IntN(4) == 0 {
		f.Record(key, to.Owner.ID, NotSent{})
		if len(avoid) < 2 {
			s.route(entry, key, attempt, append(avoid, to.Owner.ID))
		}
		return
	}
	s.packets = append(s.packets, packet{from: entry, to: to.Owner.ID, offer: &Offer{
		Job:       model.Job{Key: key, Attempt: attempt, Deadline: s.now.Add(time.Hour)},
		Forwarder: entry, Owner: to.Owner.ID, Epoch: f.Roster().Epoch,
	}})
}

func (s *schedule) next() (packet, bool) {
	if len(s.packets) == 0 {
		return packet{}, false
	}
	i := s.random.IntN(len(s.packets))
	p := s.packets[i]
	s.packets = append(s.packets[:i], s.packets[i+1:]...)
	return p, true
}

// drop loses a message. Its sender gets no error.
func (s *schedule) drop() { s.next() }

// lose loses a message. Its sender gets an error.
func (s *schedule) lose() {
	p, ok := s.next()
	switch {
	case !ok:
	case p.offer != nil && s.alive[p.from]:
		s.forwarders[p.from].Record(p.offer.Job.Key, p.to, Unconfirmed{})
	case p.fence != "" && s.alive[p.from]:
		s.verdict(packet{from: p.to, to: p.from, key: p.fence, verdict: CannotTell{}})
	}
}

func (s *schedule) deliver() {
	p, ok := s.next()
	if !ok || !s.alive[p.to] {
		return
	}
	switch {
	case p.offer != nil:
		s.take(p)
	case p.fence != "":
		f := s.forwarders[p.to]
		s.packets = append(s.packets, packet{
			from: p.to, to: p.from, key: p.fence, verdict: f.Fence(s.at(p.to), p.fence, p.from), epoch: f.Roster().Epoch,
		})
	case p.verdict != nil:
		s.verdict(p)
	default:
		s.forwarders[p.to].Record(p.key, p.from, p.result)
		if _, refused := p.result.(Refused); refused {
			s.see(p.to)
		}
	}
}

func (s *schedule) take(p packet) {
	table := s.tables[p.to]
	if p.offer.Epoch > table.Roster().Epoch {
		s.see(p.to)
	}
	decision := table.Take(s.at(p.to), *p.offer)
	switch decision.(type) {
	case Run, Ask:
		s.offered[claim{owner: p.to, key: p.offer.Job.Key}] = p.offer.Job.Attempt
	}
	s.decide(p.to, p.from, p.offer.Job.Key, p.offer.Job.Attempt, decision)
}

func (s *schedule) verdict(p packet) {
	table := s.tables[p.to]
	if p.epoch > table.Roster().Epoch {
		s.see(p.to)
	}
	if decision, ok := table.Fenced(s.at(p.to), p.key, p.from, p.verdict, p.epoch); ok {
		s.decide(p.to, "", p.key, s.offered[claim{owner: p.to, key: p.key}], decision)
	}
}

func (s *schedule) decide(owner, entry MemberID, key model.Key, attempt uint32, decision Decision) {
	reply := packet{from: owner, to: entry, key: key}
	switch d := decision.(type) {
	case Run:
		s.start(owner, key, attempt)
		reply.result = Taken{}
	case Join:
		reply.result = Taken{}
	case Reply:
		if _, refused := d.Answer.(model.NotRun); refused {
			s.refused[key] = max(s.refused[key], attempt)
		}
		reply.result = Taken{}
	case Decline:
		reply.result = Declined{BoundTo: d.BoundTo}
	case Refuse:
		reply.result = Refused{}
	case Ask:
		for _, m := range d.Entries {
			s.packets = append(s.packets, packet{from: owner, to: m.ID, fence: key})
		}
		return
	}
	if entry != "" {
		s.packets = append(s.packets, reply)
	}
}

// start runs the submission or refuses it. It checks that the key has not run before, and that its attempt was not refused.
func (s *schedule) start(owner MemberID, key model.Key, attempt uint32) {
	if s.random.IntN(5) == 0 {
		s.tables[owner].Finish(s.at(owner), key, attempt, model.NotRun{})
		s.refused[key] = max(s.refused[key], attempt)
		return
	}
	if attempt <= s.refused[key] {
		s.rt.Fatalf("attempt %d of %s starts after not_run", attempt, key)
	}
	if s.starts[key]++; s.starts[key] > 1 {
		s.rt.Fatalf("%s starts %d times", key, s.starts[key])
	}
	if s.random.IntN(2) == 0 {
		s.tables[owner].Finish(s.at(owner), key, attempt, model.Complete{})
	}
}

func (s *schedule) spreadOne() {
	role := oneOf(s, []Role{RoleEntry, RoleAgent})
	if id, ok := s.pick(role, true); ok {
		s.see(id)
	}
}

func (s *schedule) advance() {
	s.now = s.now.Add(oneOf(s, []time.Duration{time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 20 * time.Second}))
	for id := range s.alive {
		if f, ok := s.forwarders[id]; ok {
			f.Expire(s.at(id))
		} else {
			s.tables[id].Expire(s.at(id))
		}
	}
	s.roster = s.roster.WithPruned(s.now.Add(-2 * s.limits.Retention()))
}

func (s *schedule) kill() {
	role := oneOf(s, []Role{RoleEntry, RoleAgent})
	if id, ok := s.pick(role, true); ok && len(s.roster.Listed(role)) > 2 {
		s.alive[id] = false
	}
}

// crash kills an entry, removes it at once and sets the roster at all other processes.
func (s *schedule) crash() {
	id, ok := s.pick(RoleEntry, true)
	if !ok || len(s.roster.Listed(RoleEntry)) < 2 {
		return
	}
	s.alive[id] = false
	s.roster, _ = s.roster.WithDead(id, s.now)
	for _, m := range s.roster.Members {
		if m.IsListed() && s.alive[m.ID] {
			s.see(m.ID)
		}
	}
}

func (s *schedule) remove() {
	role := oneOf(s, []Role{RoleEntry, RoleAgent})
	if id, ok := s.pick(role, false); ok {
		s.roster, _ = s.roster.WithDead(id, s.now)
	}
}

func (s *schedule) restart() {
	role := oneOf(s, []Role{RoleEntry, RoleAgent})
	if id, ok := s.pick(role, false); ok {
		m, _ := s.roster.MemberByID(id)
		s.join(role, m.Address)
	}
}

func (s *schedule) grow() {
	role := oneOf(s, []Role{RoleEntry, RoleAgent})
	if len(s.roster.Listed(role)) < 4 {
		s.join(role, fmt.Sprintf("%s-%d", role, s.joined))
	}
}

func (s *schedule) leaveAgent() {
	id, ok := s.pick(RoleAgent, true)
	if !ok || len(s.roster.Listed(RoleAgent)) < 2 {
		return
	}
	table := s.tables[id]
	table.Leave()
	s.see(id)
	for key := range table.records {
		table.Finish(s.at(id), key, s.offered[claim{owner: id, key: key}], model.Complete{})
	}
	if table.Running() > 0 {
		return
	}
	heirs, _ := table.Handover()
	for heir, records := range heirs {
		if !s.alive[heir] {
			return
		}
		if _, ok := s.tables[heir].Inherit(records); !ok {
			return
		}
	}
	// The process runs for some time after that, and messages in transit reach it.
	s.roster, _ = s.roster.WithLeft(id, "", s.at(id))
}

func (s *schedule) leaveEntry() {
	id, ok := s.pick(RoleEntry, true)
	if !ok {
		return
	}
	for _, heir := range s.roster.Listed(RoleEntry) {
		if heir.ID == id || !s.alive[heir.ID] {
			continue
		}
		if s.forwarders[heir.ID].Inherit(s.forwarders[id].Close()) {
			s.roster, _ = s.roster.WithLeft(id, heir.ID, s.at(id))
		}
		return
	}
}

func TestRandomSchedulesStartNothingTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &schedule{
			world: newWorld(t), rt: rt, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)), alive: make(map[MemberID]bool), skews: make(map[MemberID]time.Duration),
			starts: make(map[model.Key]int), refused: make(map[model.Key]uint32), offered: make(map[claim]uint32),
		}
		s.limits.Entries = 100
		for i := range 3 {
			s.join(RoleEntry, fmt.Sprintf("entry-%d", i))
			s.join(RoleAgent, fmt.Sprintf("agent-%d", i))
		}
		s.spread()
		for _, m := range s.roster.Listed(RoleEntry) {
			s.see(m.ID)
		}
		s.now = s.now.Add(time.Second)
		for range 300 {
			s.step()
		}
	})
}
