// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package keep

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sailhead/internal/dispatch"
	"sailhead/internal/keep/keeppb"
)

// Limits bound what a keeper holds and how long it waits.
type Limits struct {
	// Jobs is the largest number of jobs under way that are owned here.
	Jobs int
	// StatusTime is how long the state of a job is known after its end.
	StatusTime time.Duration
	// LeaseTime is the time of the store's lease: after the loss of a machine its shards wait as long.
	LeaseTime time.Duration
	// Commits is how many commits all entries together may make in a second.
	Commits int
}

const (
	// retryPause lies between two calls to a store that does not answer.
	retryPause = 250 * time.Millisecond
	// renewals is how often a lease is renewed in its time.
	renewals = 6
	// driftDivisor bounds the drift of two steady clocks, twice: one part in so many of a lease is not relied on.
	driftDivisor = 20
	// rankPause is how much longer an entry waits than the one before it until it claims a shard that nobody owns.
	rankPause = 400 * time.Millisecond
	// restoreWait is how long after an earlier owner has surely stopped the jobs of a shard go on: agents stop its
	// runs within the time of a session, and tell of ends that nobody has noted.
	restoreWait = 2500 * time.Millisecond
)

// Keeper owns shards of the jobs that must be kept. It is not safe for concurrent use.
type Keeper struct {
	self   Claim
	limits Limits
	shards [Shards]*shard
	lease  heldLease
	// wanted is set once there are jobs that must be kept, and current once the store was read.
	wanted  bool
	current bool
	// since is when jobs that must be kept were first known.
	since   time.Time
	entries []string
	// leaving is when the shards must be given up; nothing if the process goes on.
	leaving   time.Time
	commit    *openCommit
	committed time.Time
	number    uint64
	// looks are the questions for states that wait for an end.
	looks   []look
	effects []Effect
}

// heldLease is the lease that the claims live by.
type heldLease struct {
	id Lease
	// valid is when the lease may have run out.
	valid time.Time
	// asked is when it was last asked for or renewed; waiting is set until that is answered.
	asked   time.Time
	waiting bool
	unknown bool
}

// New returns a keeper of an entry. Self names the entry as its claims do.
func New(self Claim, limits Limits) *Keeper {
	k := &Keeper{self: self, limits: limits}
	for i := range k.shards {
		k.shards[i] = newShard(Shard(i))
	}
	return k
}

// Handle takes in an event and returns its effects in order.
func (k *Keeper) Handle(now time.Time, event Event) []Effect {
	k.effects = nil
	k.expireLease(now)
	switch e := event.(type) {
	case Submitted:
		k.submit(e)
	case CancelAsked:
		k.cancel(e)
	case StateAsked:
		k.look(now, e)
	case PendingAsked:
		e.Done(k.pending(e.Kind))
	case OwnerWanted:
		k.want(now)
	case TaskEnded:
		k.taskEnded(e)
	case JobBegun:
		if j, ok := k.shards[ShardOf(e.Job)].jobs[e.Job]; ok {
			j.begun = true
		}
	case EntriesSeen:
		k.entries = e.Names
	case StoreRead:
		k.current = true
		if e.Kept {
			k.want(now)
		}
	case ClaimSeen:
		k.seeClaim(now, e.Claim)
	case ClaimGone:
		k.claimGone(now, e)
	case LeaseAnswered:
		k.leaseAnswered(e)
	case ClaimAnswered:
		k.claimAnswered(now, e)
	case Loaded:
		k.loaded(now, e)
	case Committed:
		k.commitAnswered(now, e)
	case SurrenderAsked:
		k.surrender(e)
	case Surrendered:
		k.surrendered(now, e)
	case LeaveAsked:
		k.leaving = e.Until
	case Ticked:
		k.tick(now, e)
	}
	k.commitDue(now)
	return k.effects
}

// Expire gives everything up if the lease may have run out, as after a pause of the process.
func (k *Keeper) Expire(now time.Time) []Effect {
	k.effects = nil
	k.expireLease(now)
	return k.effects
}

func (k *Keeper) emit(effect Effect) { k.effects = append(k.effects, effect) }

func (k *Keeper) note(s *shard, decision, detail string) {
	k.emit(Note{Decision: decision, Shard: s.number, Token: s.token, Detail: detail})
}

// IsActive reports whether there may be jobs that must be kept.
func (k *Keeper) IsActive() bool { return k.wanted }

// Owner returns who owns a job's shard, as far as is known here.
func (k *Keeper) Owner(job string) (claim Claim, ok bool) {
	return k.OwnerOf(ShardOf(job))
}

// OwnerOf returns who owns a shard, as far as is known here.
func (k *Keeper) OwnerOf(shard Shard) (claim Claim, ok bool) {
	s := k.shards[shard]
	switch {
	case s.state == owning && !s.releasing:
		return k.self, true
	case s.claim != nil && s.claim.Owner != k.self.Owner:
		return *s.claim, true
	default:
		return Claim{}, false
	}
}

// Owners returns the addresses of the entries that own shards, but for this one.
func (k *Keeper) Owners() []string {
	var addresses []string
	known := make(map[string]bool)
	for _, s := range k.shards {
		if s.claim != nil && s.claim.Owner != k.self.Owner && !known[s.claim.Address] {
			known[s.claim.Address] = true
			addresses = append(addresses, s.claim.Address)
		}
	}
	return addresses
}

// Counts returns the numbers of shards that are owned here, and of their jobs under way.
func (k *Keeper) Counts() (shards, jobs int) {
	for _, s := range k.shards {
		if s.state == owning {
			shards++
			jobs += s.open
		}
	}
	return shards, jobs
}

// want begins to claim shards: there are jobs that must be kept.
func (k *Keeper) want(now time.Time) {
	if !k.wanted {
		k.wanted, k.since = true, now
	}
}

func (k *Keeper) tick(now time.Time, e Ticked) {
	if !k.leaving.IsZero() {
		k.release(now, e.KeptRuns)
	}
	if !k.wanted {
		return
	}
	k.renewLease(now)
	k.answerLooks(now)
	for _, s := range k.shards {
		switch {
		case s.state == unowned && k.mayClaim(now, s):
			k.callClaim(now, s)
		case s.state == loading && now.Sub(s.tried) >= 4*retryPause:
			k.load(now, s)
		}
		s.forgetEnded(now.Add(-k.limits.StatusTime))
	}
}

// renewLease asks for a lease, or renews it in time.
func (k *Keeper) renewLease(now time.Time) {
	pause := k.limits.LeaseTime / renewals
	if k.lease.unknown || k.lease.id == 0 {
		pause = retryPause
	}
	if k.lease.waiting || now.Sub(k.lease.asked) < pause || !k.leaving.IsZero() && k.lease.id == 0 {
		return
	}
	k.lease.waiting, k.lease.asked = true, now
	k.emit(CallLease{Lease: k.lease.id, Time: k.limits.LeaseTime})
}

func (k *Keeper) leaseAnswered(e LeaseAnswered) {
	k.lease.waiting = false
	result, isGranted := e.Result.(LeaseGranted)
	if e.Lease != k.lease.id {
		// The lease was given up meanwhile. Its claims would live on with it, and nobody would own the shards.
		if isGranted {
			k.emit(EndLease{Lease: result.Lease})
		}
		return
	}
	switch result := e.Result.(type) {
	case LeaseGranted:
		k.lease.unknown = false
		k.lease.id = result.Lease
		k.lease.valid = e.Asked.Add(result.Time - result.Time/driftDivisor)
	case LeaseOver:
		k.loseLease("the store says that the lease is over")
	case LeaseUnknown:
		k.lease.unknown = true
	}
}

// expireLease gives everything up once the lease may have run out, also right after a pause of the process.
func (k *Keeper) expireLease(now time.Time) {
	if k.lease.id != 0 && now.After(k.lease.valid) {
		k.loseLease("the lease may have run out")
	}
}

func (k *Keeper) loseLease(reason string) {
	k.emit(EndLease{Lease: k.lease.id})
	k.lease.id = 0
	for _, s := range k.shards {
		if s.state != unowned {
			k.lose(s, reason)
		}
	}
	k.commit = nil
}

// mayClaim reports whether the entry may claim a shard: entries do so one after the other, in an order of the shard's.
func (k *Keeper) mayClaim(now time.Time, s *shard) bool {
	if !k.current || k.lease.id == 0 || !k.leaving.IsZero() || s.claim != nil || now.Sub(s.tried) < retryPause {
		return false
	}
	free := s.changed
	if free.Before(k.since) {
		free = k.since
	}
	return now.Sub(free) >= time.Duration(k.rank(s))*rankPause
}

// rank counts the entries that come before this one for a shard.
func (k *Keeper) rank(s *shard) int {
	weight := func(name string) uint64 { return xxhash.Sum64(append([]byte(name), '/', byte(s.number))) }
	rank, own := 0, weight(k.self.Owner)
	for _, name := range k.entries {
		if name != k.self.Owner && weight(name) > own {
			rank++
		}
	}
	return rank
}

func (k *Keeper) callClaim(now time.Time, s *shard) {
	s.state, s.tried = claiming, now
	claim := k.self
	claim.Shard, claim.Lease = s.number, k.lease.id
	k.emit(CallClaim{Claim: claim})
}

func (k *Keeper) claimAnswered(now time.Time, e ClaimAnswered) {
	s := k.shards[e.Shard]
	if s.state != claiming || e.Lease != k.lease.id {
		return
	}
	switch result := e.Result.(type) {
	case ClaimWon:
		k.won(now, s, result.Token)
	default:
		// A claim that is carried out late, or another's, shows in the store's changes.
		s.state = unowned
	}
}

// isOwn reports whether a claim is this process's, under its present lease.
func (k *Keeper) isOwn(c Claim) bool {
	return c.Owner == k.self.Owner && c.Incarnation == k.self.Incarnation && c.Lease == k.lease.id && k.lease.id != 0
}

func (k *Keeper) seeClaim(now time.Time, c Claim) {
	k.want(now)
	s := k.shards[c.Shard]
	if c.Token <= s.seen {
		return
	}
	s.seen, s.claim, s.changed = c.Token, &c, now
	switch {
	case k.isOwn(c) && !s.isHeld():
		k.won(now, s, c.Token)
	case k.isOwn(c) && c.Token == s.token:
	case s.state == claiming:
		s.state = unowned
	case s.isHeld():
		k.lose(s, "the claim is "+c.Owner+"'s")
	}
}

func (k *Keeper) claimGone(now time.Time, e ClaimGone) {
	s := k.shards[e.Shard]
	if e.Token <= s.seen {
		return
	}
	s.seen, s.claim, s.changed = e.Token, nil, now
	if s.isHeld() && s.token < e.Token {
		k.lose(s, "the claim is gone")
	}
}

// won takes a shard up that was claimed.
func (k *Keeper) won(now time.Time, s *shard, token Token) {
	s.clear()
	s.token, s.claimed = token, now
	if token > s.seen {
		claim := k.self
		claim.Shard, claim.Lease, claim.Token = s.number, k.lease.id, token
		s.seen, s.claim, s.changed = token, &claim, now
	}
	k.load(now, s)
}

func (k *Keeper) load(now time.Time, s *shard) {
	s.state, s.tried = loading, now
	k.emit(Load{Shard: s.number, Token: s.token})
}

func (k *Keeper) loaded(now time.Time, e Loaded) {
	s := k.shards[e.Shard]
	if s.state != loading || s.token != e.Token || e.Err != nil {
		return
	}
	if err := s.restore(now, e.Batches); err != nil {
		// What cannot be read is not given up: the shard stays as it is until a process can read it.
		token := s.token
		s.clear()
		s.state, s.token = loading, token
		k.note(s, "shard_unreadable", err.Error())
		return
	}
	switch previous := s.previous; {
	case previous == nil || previous.Released:
		k.own(s, time.Time{})
	case previous.Name == k.self.Owner && previous.Address == k.self.Address:
		// The earlier process is gone: this one has its addresses.
		k.own(s, now.Add(restoreWait))
	default:
		s.state = asking
		k.emit(CallSurrender{Shard: s.number, Token: s.token, Address: previous.Address})
	}
}

// surrendered goes on once the earlier owner has given the shard up, or must have: its lease has run out.
func (k *Keeper) surrendered(now time.Time, e Surrendered) {
	s := k.shards[e.Shard]
	if s.state != asking || s.token != e.Token {
		return
	}
	stopped := now
	if !e.IsSure {
		stopped = s.claimed.Add(k.limits.LeaseTime)
	}
	k.own(s, stopped.Add(restoreWait))
}

// own begins to serve a shard.
func (k *Keeper) own(s *shard, notBefore time.Time) {
	s.state = owning
	s.add(nil, ownedRecord(&keeppb.Owned{Name: k.self.Owner, Address: k.self.Address}))
	for _, j := range s.jobs {
		if !j.written.IsEnd() {
			k.emit(ToDispatcher{Event: j.kept(notBefore)})
		}
	}
	k.note(s, "shard_owned", "")
}

func ownedRecord(owned *keeppb.Owned) *keeppb.Record {
	return &keeppb.Record{Record: &keeppb.Record_Owned{Owned: owned}}
}

// lose gives a shard up at once: nothing more is started for it, and what runs is stopped.
func (k *Keeper) lose(s *shard, reason string) {
	k.note(s, "shard_lost", reason)
	k.abandon(s)
	for _, j := range s.jobs {
		for _, waiter := range j.waiters {
			k.emit(Reply{Waiter: waiter, Answer: InDoubt{Reason: "the entry has lost the job's shard"}})
		}
	}
	s.clear()
}

// abandon stops all jobs of a shard.
func (k *Keeper) abandon(s *shard) {
	var ids []string
	for id, j := range s.jobs {
		if !j.written.IsEnd() {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		k.emit(ToDispatcher{Event: dispatch.Dropped{Jobs: ids}})
	}
}

func (k *Keeper) surrender(e SurrenderAsked) {
	s := k.shards[e.Shard]
	if s.isHeld() && s.token < e.Token {
		k.lose(s, "another entry asks for it")
	}
	e.Done()
}

// release gives all shards up for a planned stop: once nothing of them runs, or shortly before the end.
func (k *Keeper) release(now time.Time, runs int) {
	if runs > 0 && now.Before(k.leaving) {
		return
	}
	held := 0
	for _, s := range k.shards {
		switch {
		case s.state == owning && !s.releasing:
			s.releasing = true
			k.abandon(s)
			s.add(nil, ownedRecord(&keeppb.Owned{Name: k.self.Owner, Address: k.self.Address, Released: runs == 0}))
			held++
		case s.state == owning:
			held++
		case s.isHeld():
			k.lose(s, "the entry stops")
		}
	}
	if held == 0 && k.lease.id != 0 {
		k.emit(EndLease{Lease: k.lease.id})
		k.lease.id = 0
	}
}
