// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/runner"
)

var (
	schedules = flag.Int("schedules", 40, "number of random schedules")
	firstSeed = flag.Uint64("first", 0, "seed of the first random schedule")
)

// fakeStore is an in-memory store with leases and one revision for all keys. The schedule injects lost answers and delayed
// writes.
type fakeStore struct {
	now      time.Time
	revision int64
	leases   map[Lease]time.Time
	claims   map[Shard]Claim
	batches  map[Shard]map[Sequence][]byte
}

func newFakeStore(now time.Time) *fakeStore {
	s := &fakeStore{now: now, leases: make(map[Lease]time.Time), claims: make(map[Shard]Claim), batches: make(map[Shard]map[Sequence][]byte)}
	for shard := range Shard(Shards) {
		s.batches[shard] = make(map[Sequence][]byte)
	}
	return s
}

func (s *fakeStore) expire(now time.Time) {
	s.now = now
	for id, ends := range s.leases {
		if now.After(ends) {
			s.endLease(id)
		}
	}
}

func (s *fakeStore) endLease(id Lease) {
	delete(s.leases, id)
	for shard, claim := range s.claims {
		if claim.Lease == id {
			s.revision++
			delete(s.claims, shard)
		}
	}
}

func (s *fakeStore) lease(id Lease, ttl time.Duration) LeaseResult {
	if id == 0 {
		s.revision++
		id = Lease(s.revision)
	} else if _, ok := s.leases[id]; !ok {
		return LeaseExpired{}
	}
	s.leases[id] = s.now.Add(ttl)
	return LeaseGranted{Lease: id, Time: ttl}
}

func (s *fakeStore) claim(c Claim) ClaimResult {
	_, taken := s.claims[c.Shard]
	if _, ok := s.leases[c.Lease]; !ok || taken {
		return ClaimLost{}
	}
	s.revision++
	c.Token = Token(s.revision)
	s.claims[c.Shard] = c
	return ClaimWon{Token: c.Token}
}

func (s *fakeStore) commit(c Commit) CommitResult {
	var fenced CommitFenced
	for _, part := range c.Parts {
		if _, ok := s.batches[part.Shard][part.Sequence]; ok {
			return CommitWritten{}
		}
		if s.claims[part.Shard].Token != part.Token {
			fenced.Shards = append(fenced.Shards, part.Shard)
		}
	}
	if len(fenced.Shards) > 0 {
		return fenced
	}
	s.revision++
	for _, part := range c.Parts {
		s.batches[part.Shard][part.Sequence] = part.Data
		for _, sequence := range part.Remove {
			delete(s.batches[part.Shard], sequence)
		}
		if part.ReleasesClaim {
			delete(s.claims, part.Shard)
		}
	}
	return CommitWritten{}
}

func (s *fakeStore) load(shard Shard) []StoredBatch {
	var batches []StoredBatch
	for _, sequence := range slices.Sorted(maps.Keys(s.batches[shard])) {
		batches = append(batches, StoredBatch{Sequence: sequence, Data: s.batches[shard][sequence]})
	}
	return batches
}

// fakeEntry is a coordinator with the jobs that its dispatcher holds.
type fakeEntry struct {
	name         string
	coordinator  *Coordinator
	alive        bool
	frozen       bool
	seenRevision int64
	claimed      map[Shard]bool
	// runnable holds the jobs that the dispatcher may run, each with the time from which it may be run.
	runnable map[string]time.Time
	// inbox holds events with their delivery times.
	inbox []delayed
}

type delayed struct {
	at    time.Time
	event Event
}

// schedule runs three coordinators against one store in virtual time, with random faults of the store and of the processes.
type schedule struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	store   *fakeStore
	entries []*fakeEntry
	// delayedWrites holds writes that the store applies after their call has gone unanswered.
	delayedWrites []func()
	next          int
	// accepted holds the jobs whose acceptance was reported, each with the tasks whose ends were acknowledged.
	accepted     map[string]map[string]bool
	ended        map[string]State
	openRequests map[Waiter]string
	jobs         map[string]dispatch.Job
	faultFree    bool
}

func newSchedule(t *testing.T, seed uint64) *schedule {
	now := time.Unix(1_000_000, 0)
	s := &schedule{
		t: t, random: rand.New(rand.NewPCG(seed, 5)), now: now, store: newFakeStore(now),
		accepted: make(map[string]map[string]bool), ended: make(map[string]State), openRequests: make(map[Waiter]string),
		jobs: make(map[string]dispatch.Job),
	}
	for i := range 3 {
		e := &fakeEntry{name: fmt.Sprintf("entry-%d", i)}
		s.entries = append(s.entries, e)
		s.start(e)
	}
	return s
}

func (s *schedule) chance(probability float64) bool { return s.random.Float64() < probability }

func (s *schedule) start(e *fakeEntry) {
	e.coordinator = New(Claim{Owner: e.name, Address: e.name, Incarnation: s.now.UnixNano()}, Limits{Jobs: 4096, StatusRetention: time.Minute, LeaseTTL: 6 * time.Second, CommitsPerSecond: 200})
	e.alive, e.frozen, e.seenRevision = true, false, 0
	e.runnable, e.claimed, e.inbox = make(map[string]time.Time), make(map[Shard]bool), nil
	s.handle(e, EntriesChanged{Names: []string{"entry-0", "entry-1", "entry-2"}})
	s.handle(e, ClaimsRead{HasJobs: true})
}

// post delivers an event after a random delay, which simulates the results of calls.
func (s *schedule) post(e *fakeEntry, event Event) {
	e.inbox = append(e.inbox, delayed{at: s.now.Add(time.Duration(s.random.IntN(30)) * time.Millisecond), event: event})
}

func (s *schedule) handle(e *fakeEntry, event Event) {
	for _, effect := range e.coordinator.Handle(s.now, event) {
		s.apply(e, effect)
	}
}

// outcome is the simulated result of a call to the store.
type outcome int

const (
	answered outcome = iota
	unanswered
	refused
	postponed
)

func (s *schedule) outcome() outcome {
	switch {
	case s.faultFree || s.chance(0.8):
		return answered
	case s.chance(0.4):
		return unanswered
	case s.chance(0.5):
		return refused
	default:
		return postponed
	}
}

func (s *schedule) apply(e *fakeEntry, effect Effect) {
	switch effect := effect.(type) {
	case CallLease:
		sent := s.now
		var result LeaseResult = LeaseUnknown{}
		if out := s.outcome(); out == answered || out == unanswered {
			if granted := s.store.lease(effect.Lease, effect.Time); out == answered {
				result = granted
			}
		}
		s.post(e, LeaseAnswered{Lease: effect.Lease, Sent: sent, Result: result})
	case EndLease:
		s.store.endLease(effect.Lease)
	case CallClaim:
		s.post(e, ClaimAnswered{Shard: effect.Claim.Shard, Lease: effect.Claim.Lease, Result: s.callClaim(effect.Claim)})
	case Load:
		s.post(e, Loaded{Shard: effect.Shard, Token: effect.Token, Batches: s.store.load(effect.Shard)})
	case Commit:
		s.post(e, Committed{Number: effect.Number, Result: s.callCommit(effect)})
	case CallSurrender:
		s.surrender(e, effect)
	case Reply:
		s.reply(effect)
	case ToDispatcher:
		s.dispatch(e, effect.Event)
	case AcknowledgeEnd:
		if tasks, ok := s.accepted[runner.JobOf(effect.Name)]; ok {
			tasks[effect.Name] = true
		}
	}
}

func (s *schedule) callClaim(c Claim) ClaimResult {
	switch s.outcome() {
	case answered:
		return s.store.claim(c)
	case unanswered:
		s.store.claim(c)
	case postponed:
		s.delayedWrites = append(s.delayedWrites, func() { s.store.claim(c) })
	case refused:
		return ClaimLost{}
	}
	return ClaimUnknown{}
}

func (s *schedule) callCommit(c Commit) CommitResult {
	switch s.outcome() {
	case answered:
		return s.store.commit(c)
	case unanswered:
		s.store.commit(c)
	case postponed:
		s.delayedWrites = append(s.delayedWrites, func() { s.store.commit(c) })
	}
	return CommitUnknown{}
}

// surrender calls the previous owner. A frozen owner does not answer, and a terminated one refuses the connection.
func (s *schedule) surrender(e *fakeEntry, call CallSurrender) {
	for _, other := range s.entries {
		if other.name != call.Address {
			continue
		}
		isConfirmed := !other.alive || !other.frozen
		if other.alive && !other.frozen {
			s.handle(other, SurrenderRequested{Shard: call.Shard, Token: call.Token})
		}
		s.post(e, Surrendered{Shard: call.Shard, Token: call.Token, IsConfirmed: isConfirmed})
	}
}

func (s *schedule) reply(r Reply) {
	id, ok := s.openRequests[r.Waiter]
	if !ok {
		return
	}
	delete(s.openRequests, r.Waiter)
	known, isKnown := r.Answer.(Known)
	if _, isUnknown := r.Answer.(Unknown); isUnknown && s.accepted[id] != nil {
		s.t.Errorf("job %s was accepted and is reported as unknown", id)
	}
	if !isKnown {
		return
	}
	if s.accepted[id] == nil {
		s.accepted[id] = make(map[string]bool)
	}
	if was, hasEnded := s.ended[id]; hasEnded && was != known.State {
		s.t.Errorf("job %s was reported in final state %d and is now reported in state %d", id, was, known.State)
	}
	if known.State.IsEnd() {
		s.ended[id] = known.State
	}
}

func (s *schedule) dispatch(e *fakeEntry, event dispatch.Event) {
	switch event := event.(type) {
	case dispatch.DurableAccepted:
		from := s.now
		if event.NotBefore.After(from) {
			from = event.NotBefore
		}
		e.runnable[event.Job.ID] = from
		for name := range s.accepted[event.Job.ID] {
			if !slices.Contains(event.DoneTasks, name) {
				s.t.Errorf("the end of task %s was acknowledged, but %s runs the task again", name, e.name)
			}
		}
		if state, hasEnded := s.ended[event.Job.ID]; hasEnded {
			s.t.Errorf("job %s was reported in final state %d, but %s runs it again", event.Job.ID, state, e.name)
		}
	case dispatch.DurableDropped:
		for _, id := range event.Jobs {
			delete(e.runnable, id)
		}
	}
}

// watch simulates the watch of the store: it reports changed claims to an entry, with random delays.
func (s *schedule) watch(e *fakeEntry) {
	if e.seenRevision == s.store.revision || !s.faultFree && s.chance(0.7) {
		return
	}
	e.seenRevision = s.store.revision
	claimed := make(map[Shard]bool)
	for _, shard := range slices.Sorted(maps.Keys(s.store.claims)) {
		claimed[shard] = true
		s.handle(e, ClaimObserved{Claim: s.store.claims[shard]})
	}
	for shard := range e.claimed {
		if !claimed[shard] {
			s.handle(e, ClaimRemoved{Shard: shard, Token: Token(e.seenRevision)})
		}
	}
	e.claimed = claimed
}

func (s *schedule) step() {
	s.now = s.now.Add(10 * time.Millisecond)
	s.store.expire(s.now)
	if len(s.delayedWrites) > 0 && s.chance(0.1) {
		s.delayedWrites[0]()
		s.delayedWrites = s.delayedWrites[1:]
	}
	for _, e := range s.entries {
		if !e.alive || e.frozen {
			continue
		}
		for _, effect := range e.coordinator.Expire(s.now) {
			s.apply(e, effect)
		}
		s.deliver(e)
		s.watch(e)
		s.handle(e, Ticked{})
		s.runWorkload(e)
	}
	s.checkOwners()
}

func (s *schedule) deliver(e *fakeEntry) {
	var waiting, due []delayed
	for _, d := range e.inbox {
		if d.at.After(s.now) {
			waiting = append(waiting, d)
		} else {
			due = append(due, d)
		}
	}
	e.inbox = waiting
	for _, d := range due {
		s.handle(e, d.event)
	}
}

// runWorkload ends tasks of runnable jobs, submits jobs and queries states.
func (s *schedule) runWorkload(e *fakeEntry) {
	for _, id := range slices.Sorted(maps.Keys(e.runnable)) {
		if s.now.Before(e.runnable[id]) || !s.chance(0.2) {
			continue
		}
		for _, name := range taskNames(s.jobs[id]) {
			outcome := runner.OutcomeDone
			s.handle(e, TaskEnded{Agent: "a", Update: runner.Update{Name: name, Run: 1, Outcome: outcome}})
		}
		if len(taskNames(s.jobs[id])) > 0 {
			delete(e.runnable, id)
		}
	}
	if !s.faultFree && s.chance(0.1) {
		s.next++
		id := fmt.Sprintf("%016x", s.next)
		s.jobs[id] = dispatch.Job{ID: id, Kind: dispatch.Kind{Name: "k", Attempts: 2}, Steps: []dispatch.Step{{Count: 2}}}
		s.submit(e, id)
	}
	// Jobs are queried only in the first 15 s: later an ended job may have been evicted, and Unknown would be a correct answer.
	if s.next > 0 && s.chance(0.1) && s.now.Sub(time.Unix(1_000_000, 0)) < 15*time.Second {
		id := fmt.Sprintf("%016x", 1+s.random.IntN(s.next))
		if s.chance(0.3) {
			s.submit(e, id)
		} else {
			waiter := Waiter(s.random.Uint64())
			s.openRequests[waiter] = id
			s.handle(e, StateRequested{Job: id, Waiter: waiter})
		}
	}
}

func (s *schedule) submit(e *fakeEntry, id string) {
	waiter := Waiter(s.random.Uint64())
	s.openRequests[waiter] = id
	s.handle(e, Submitted{Job: s.jobs[id], Waiter: waiter})
}

// checkOwners checks that no job may run at two entries at once. Frozen entries do not count.
func (s *schedule) checkOwners() {
	runs := make(map[string]string)
	for _, e := range s.entries {
		if !e.alive || e.frozen {
			continue
		}
		for id, from := range e.runnable {
			if s.now.Before(from) {
				continue
			}
			if other, ok := runs[id]; ok {
				s.t.Errorf("at %s job %s may run at %s and %s", s.now.Sub(time.Unix(1_000_000, 0)), id, other, e.name)
			}
			runs[id] = e.name
		}
	}
}

// injectFault terminates or freezes a random entry, or ends its fault if it has one.
func (s *schedule) injectFault() {
	e := s.entries[s.random.IntN(len(s.entries))]
	switch {
	case !e.alive:
		s.start(e)
	case e.frozen:
		e.frozen = false
	case s.chance(0.5):
		e.alive = false
	default:
		e.frozen = true
	}
}

func TestRandomSchedulesLoseNoJobAndRunNoJobAtTwoOwners(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*schedules); seed++ {
		s := newSchedule(t, seed)
		for range 1200 {
			s.step()
			if s.chance(0.006) {
				s.injectFault()
			}
		}
		s.faultFree = true
		for _, e := range s.entries {
			if e.frozen {
				e.frozen = false
			}
			if !e.alive {
				s.start(e)
			}
		}
		for range 2500 {
			s.step()
		}
		s.checkEnds()
		if t.Failed() {
			t.Fatalf("schedule %d", seed)
		}
	}
}

// checkEnds checks that every accepted job is completed.
func (s *schedule) checkEnds() {
	for _, id := range slices.Sorted(maps.Keys(s.accepted)) {
		var state State
		for _, e := range s.entries {
			if known, ok := e.coordinator.stateOf(id).(Known); ok {
				state = known.State
			}
		}
		if state != StateCompleted && s.ended[id] != StateCompleted {
			s.t.Errorf("job %s was accepted but is in state %d at the end of the schedule", id, state)
		}
	}
}
