// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import "time"

// Limits configures the capacity and the timing of a Coordinator.
type Limits struct {
	// Jobs is the largest number of unfinished jobs that this entry may own. Each shard may hold an equal part of it.
	Jobs int
	// StatusRetention is how long the state of a job can be queried after its end.
	StatusRetention time.Duration
	// LeaseTTL is the time to live of the lease in the store. The shards of a failed VM have no owner for that long.
	LeaseTTL time.Duration
	// CommitsPerSecond is the largest number of commits per second of all entries together.
	CommitsPerSecond int
}

// storeRetryInterval is the time between two attempts to claim a shard, or to obtain a lease that the store did not grant.
const storeRetryInterval = 250 * time.Millisecond

// Coordinator is the part of an entry that owns shards and records their jobs. It is not safe for concurrent use.
type Coordinator struct {
	// self is the claim of this entry, without a shard and a lease.
	self   Claim
	limits Limits
	shards [Shards]*shard
	lease  heldLease
	// active is set once there are, or may be, durable jobs. Until then no lease is held and no shard is claimed.
	active      bool
	activeSince time.Time
	// storeRead is set once the claims have been read from the store. Until then a shard without a known claim may have one.
	storeRead bool
	// entries are the names of all known entries.
	entries []string
	// shutdownAt is when the shards must be released at the latest, or zero if no shutdown is requested.
	shutdownAt time.Time
	// commit is the commit in flight, or nil.
	commit       *inFlightCommit
	lastCommit   time.Time
	commitNumber uint64
	stateQueries []stateQuery
	// endsBeforeJobs are the ends that arrived while this entry knew of no durable job.
	endsBeforeJobs endsBeforeJobs
	// effects collects the effects of the event that is being handled.
	effects []Effect
}

// New returns the coordinator of an entry. Self holds the entry's name, address and incarnation.
func New(self Claim, limits Limits) *Coordinator {
	c := &Coordinator{self: self, limits: limits}
	for i := range c.shards {
		c.shards[i] = newShard(Shard(i))
	}
	return c
}

// Handle applies an event and returns the effects in the order in which they must be carried out.
func (c *Coordinator) Handle(now time.Time, event Event) []Effect {
	c.effects = nil
	c.expireLease(now)
	c.apply(now, event)
	c.commitIfDue(now)
	return c.effects
}

func (c *Coordinator) apply(now time.Time, event Event) {
	switch e := event.(type) {
	case Submitted:
		c.submit(e)
	case CancelRequested:
		c.cancel(e)
	case StateRequested:
		c.queryState(now, e)
	case PendingRequested:
		c.replyPending(e)
	case ActivationRequested:
		c.activate(now)
	case TaskEnded:
		c.taskEnded(e)
	case JobStarted:
		c.jobStarted(e)
	case JobGivenUp:
		c.failJob(e)
	case EntriesChanged:
		c.entries = e.Names
	case ClaimsRead:
		c.claimsRead(now, e)
	case ClaimObserved:
		c.claimObserved(now, e.Claim)
	case ClaimRemoved:
		c.claimRemoved(now, e)
	case LeaseAnswered:
		c.leaseAnswered(e)
	case ClaimAnswered:
		c.claimAnswered(now, e)
	case Loaded:
		c.loaded(now, e)
	case Committed:
		c.commitAnswered(now, e)
	case SurrenderRequested:
		c.surrender(e)
	case Surrendered:
		c.surrendered(now, e)
	case HasJobsAnswered:
		c.hasJobsAnswered(now, e)
	case StoredEndsRequested:
		c.requestStoredEnds(e)
	case StoredEndsAnswered:
		c.storedEndsRead(e)
	case ShutdownRequested:
		c.shutdownAt = e.Until
	case Ticked:
		c.tick(now, e)
	}
}

// Expire drops all shards if the lease may have expired, and returns the effects. The entry calls it first after each wait,
// because the process may have been frozen in the meantime.
func (c *Coordinator) Expire(now time.Time) []Effect {
	c.effects = nil
	c.expireLease(now)
	return c.effects
}

func (c *Coordinator) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Coordinator) logDecision(s *shard, decision Decision, detail string) {
	c.emit(DecisionMade{Decision: decision, Shard: s.number, Token: s.token, Detail: detail})
}

// activate starts the claiming of shards.
func (c *Coordinator) activate(now time.Time) {
	if !c.active {
		c.active, c.activeSince = true, now
		c.endsBeforeJobs = endsBeforeJobs{}
	}
}

func (c *Coordinator) claimsRead(now time.Time, e ClaimsRead) {
	c.storeRead = true
	if e.HasJobs {
		c.activate(now)
	}
}

func (c *Coordinator) tick(now time.Time, e Ticked) {
	if !c.shutdownAt.IsZero() {
		c.releaseShards(now, e.DurableRuns)
	}
	if !c.active {
		c.readHasJobsIfDue(now)
		return
	}
	c.renewLease(now)
	c.answerStateQueries(now)
	for _, s := range c.shards {
		c.claimIfDue(now, s)
		c.loadIfDue(now, s)
		c.readStoredEndsIfDue(now, s)
		s.evictEnded(now.Add(-c.limits.StatusRetention))
	}
}

// IsActive reports whether there are, or may be, durable jobs.
func (c *Coordinator) IsActive() bool { return c.active }

// OwnerOf returns the owner of a shard that this entry knows of; ok is false if there is none, or if this entry has claimed the
// shard but does not serve it, as while it loads or releases the shard.
func (c *Coordinator) OwnerOf(shard Shard) (claim Claim, ok bool) {
	s := c.shards[shard]
	switch {
	case s.isServed():
		return c.self, true
	case s.claim != nil && s.claim.Owner != c.self.Owner:
		return *s.claim, true
	default:
		return Claim{}, false
	}
}

// Owners returns the distinct addresses of the other entries that have claims.
func (c *Coordinator) Owners() []string {
	var addresses []string
	known := make(map[string]bool)
	for _, s := range c.shards {
		if s.claim != nil && s.claim.Owner != c.self.Owner && !known[s.claim.Address] {
			known[s.claim.Address] = true
			addresses = append(addresses, s.claim.Address)
		}
	}
	return addresses
}

// Counts returns the number of shards that this entry owns, and the number of their unfinished jobs.
func (c *Coordinator) Counts() (shards, jobs int) {
	for _, s := range c.shards {
		if s.state == owned {
			shards++
			jobs += s.unfinished
		}
	}
	return shards, jobs
}
