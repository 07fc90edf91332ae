// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import "time"

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
