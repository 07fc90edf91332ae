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
)

// Coordinator owns shards of the jobs that must be kept. It is not safe for concurrent use.
type Coordinator struct {
	self   Claim
	limits Limits
	shards [Shards]*shard
	lease  heldLease
	// active is set once there are jobs that must be kept, and current once the store was read.
	active    bool
	storeRead bool
	// activeSince is when jobs that must be kept were first known.
	activeSince time.Time
	entries     []string
	// shutdownAt is when the shards must be given up; nothing if the process goes on.
	shutdownAt time.Time
	commit     *openCommit
	lastCommit time.Time
	number     uint64
	// stateQueries are the questions for states that wait for an end.
	stateQueries []stateQuery
	effects      []Effect
}

// New returns a keeper of an entry. Self names the entry as its claims do.
func New(self Claim, limits Limits) *Coordinator {
	c := &Coordinator{self: self, limits: limits}
	for i := range c.shards {
		c.shards[i] = newShard(Shard(i))
	}
	return c
}

// Handle takes in an event and returns its effects in order.
func (c *Coordinator) Handle(now time.Time, event Event) []Effect {
	c.effects = nil
	c.expireLease(now)
	switch e := event.(type) {
	case Submitted:
		c.submit(e)
	case CancelRequested:
		c.cancel(e)
	case StateRequested:
		c.queryState(now, e)
	case PendingRequested:
		jobs, isComplete := c.pending(e.Kind)
		c.emit(PendingReply{Waiter: e.Waiter, Jobs: jobs, IsComplete: isComplete})
	case ActivationRequested:
		c.activate(now)
	case TaskEnded:
		c.taskEnded(e)
	case JobBegun:
		if j, ok := c.shards[ShardOf(e.Job)].jobs[e.Job]; ok {
			j.begun = true
		}
	case EntriesChanged:
		c.entries = e.Names
	case StoreRead:
		c.storeRead = true
		if e.HasJobs {
			c.activate(now)
		}
	case ClaimObserved:
		c.observeClaim(now, e.Claim)
	case ClaimGone:
		c.claimGone(now, e)
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
	case ShutdownRequested:
		c.shutdownAt = e.Until
	case Ticked:
		c.tick(now, e)
	}
	c.commitDue(now)
	return c.effects
}

// Expire gives everything up if the lease may have run out, as after a pause of the process.
func (c *Coordinator) Expire(now time.Time) []Effect {
	c.effects = nil
	c.expireLease(now)
	return c.effects
}

func (c *Coordinator) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Coordinator) logDecision(s *shard, decision, detail string) {
	c.emit(DecisionMade{Decision: decision, Shard: s.number, Token: s.token, Detail: detail})
}

// IsActive reports whether there may be jobs that must be kept.
func (c *Coordinator) IsActive() bool { return c.active }

// Owner returns who owns a job's shard, as far as is known here.
func (c *Coordinator) Owner(job string) (claim Claim, ok bool) {
	return c.OwnerOf(ShardOf(job))
}

// OwnerOf returns who owns a shard, as far as is known here.
func (c *Coordinator) OwnerOf(shard Shard) (claim Claim, ok bool) {
	s := c.shards[shard]
	switch {
	case s.state == owning && !s.releasing:
		return c.self, true
	case s.claim != nil && s.claim.Owner != c.self.Owner:
		return *s.claim, true
	default:
		return Claim{}, false
	}
}

// Owners returns the addresses of the entries that own shards, but for this one.
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

// Counts returns the numbers of shards that are owned here, and of their jobs under way.
func (c *Coordinator) Counts() (shards, jobs int) {
	for _, s := range c.shards {
		if s.state == owning {
			shards++
			jobs += s.open
		}
	}
	return shards, jobs
}

// activate begins to claim shards: there are jobs that must be kept.
func (c *Coordinator) activate(now time.Time) {
	if !c.active {
		c.active, c.activeSince = true, now
	}
}

func (c *Coordinator) tick(now time.Time, e Ticked) {
	if !c.shutdownAt.IsZero() {
		c.releaseShards(now, e.DurableRuns)
	}
	if !c.active {
		return
	}
	c.renewLease(now)
	c.answerStateQueries(now)
	for _, s := range c.shards {
		switch {
		case s.state == unowned && c.mayClaim(now, s):
			c.callClaim(now, s)
		case s.state == loading && now.Sub(s.lastTry) >= 4*retryPause:
			c.load(now, s)
		}
		s.forgetEnded(now.Add(-c.limits.StatusTime))
	}
}
