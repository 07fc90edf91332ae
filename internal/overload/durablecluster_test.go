// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"fmt"
	"slices"
	"time"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

const (
	// watchInterval is the interval at which an entry learns of changed claims, and statePollInterval that at which callers ask for the
	// states of their durable jobs.
	watchInterval     = 50 * time.Millisecond
	statePollInterval = 50 * time.Millisecond
	// commitsPerSecond is the largest rate of commits of all entries. Source: half of writes_per_s.
	commitsPerSecond = 200
	// requestTimeout is how long a caller waits for an answer.
	requestTimeout = 1500 * time.Millisecond
	// surrenderTimeout is how long an entry waits for the previous owner of a shard, as in package durable.
	surrenderTimeout = 1500 * time.Millisecond
)

// clusterRun is a run on a worker of the cluster.
type clusterRun struct {
	worker     *leasedWorker
	agent      dispatch.AgentID
	run        uint32
	begun      time.Time
	ended      time.Time
	isComplete bool
}

// endNote is an end that the system has taken note of.
type endNote struct {
	task string
	run  uint32
	at   time.Time
}

// counts reports whether the end of a completed run was taken note of, and the worker's lease did not lapse between the two.
func (r clusterRun) counts(task string) bool {
	for _, note := range r.worker.notes {
		if note.task != task || note.run != r.run || note.at.Before(r.ended) {
			continue
		}
		return !slices.ContainsFunc(r.worker.lapses, func(lapse time.Time) bool { return !lapse.Before(r.ended) && !lapse.After(note.at) })
	}
	return false
}

// recordEnd records that the latest run of a task on a worker has ended.
func (c *cluster) recordEnd(w *leasedWorker, task string, ending worker.Ending) {
	runs := c.runs[task]
	for i := len(runs) - 1; i >= 0; i-- {
		if runs[i].agent == w.agent.id {
			runs[i].ended, runs[i].isComplete = c.now, ending == worker.EndingDone
			return
		}
	}
}

// doneTwice describes the runs that began after a run of their task was done. If onlyCounted is set, they are those that break the users'
// rule: the earlier end was taken note of, and its worker's lease did not lapse before that.
func (c *cluster) doneTwice(onlyCounted bool) []string {
	var twice []string
	for task, runs := range c.runs {
		for i, later := range runs {
			for _, earlier := range runs[:i] {
				isExcused := onlyCounted && !earlier.counts(task)
				if earlier.isComplete && !later.begun.Before(earlier.ended) && !isExcused {
					twice = append(twice, fmt.Sprintf("%s is done at %s after %.3f s and begins again at %s after %.3f s", task,
						earlier.agent, earlier.ended.Sub(origin).Seconds(), later.agent, later.begun.Sub(origin).Seconds()))
				}
			}
		}
	}
	slices.Sort(twice)
	return twice
}

// withDurableJobs makes the jobs of a cluster durable.
func withDurableJobs(c *cluster) { c.store = newClusterStore(c.scheduler) }

// cutEntry makes the paths from an entry to all agents and other entries silent. The store stays in reach.
func (c *cluster) cutEntry(e *clusterEntry, span time.Duration) {
	c.record("%s is cut off for %s", e.name, span)
	for _, a := range c.agents {
		c.path(e, a).silence(span)
	}
	for _, other := range c.entries {
		c.peerPath(e, other).silence(span)
		c.peerPath(other, e).silence(span)
	}
}

// cutAgent makes the paths from all entries to an agent silent. The store stays in reach.
func (c *cluster) cutAgent(a *clusterAgent, span time.Duration) {
	c.record("%s is cut off for %s", a.id, span)
	for _, e := range c.entries {
		c.path(e, a).silence(span)
	}
}

// clusterOwner runs the coordinator of an entry beside its dispatcher, as the decider of package entry does.
type clusterOwner struct {
	entry       *clusterEntry
	coordinator *durable.Coordinator
	queue       []ownerEffect
	isDraining  bool
	// claims are the claims that the coordinator was told of.
	claims [durable.Shards]durable.Token
	// onAnswer is called with the answer to each request.
	onAnswer map[durable.Waiter]func(durable.Answer)
	waiter   durable.Waiter
}

// ownerEffect is an effect of the dispatcher or of the coordinator. Exactly one field is set.
type ownerEffect struct {
	dispatch dispatch.Effect
	durable  durable.Effect
}

func newClusterOwner(e *clusterEntry) *clusterOwner {
	o := &clusterOwner{entry: e, onAnswer: make(map[durable.Waiter]func(durable.Answer))}
	self := durable.Claim{Owner: e.name, Address: e.name, Incarnation: int64(e.life)}
	o.coordinator = durable.New(self, durable.Limits{
		Jobs: 16000, StatusRetention: 130 * time.Second, LeaseTTL: timing.ClaimLease, CommitsPerSecond: commitsPerSecond,
	})
	c := e.cluster
	c.after(0, e.inLife(func() {
		names := make([]string, 0, len(c.entries))
		for _, other := range c.entries {
			names = append(names, other.name)
		}
		o.handle(durable.EntriesChanged{Names: names})
		o.watch()
		o.handle(durable.ClaimsRead{HasJobs: true})
	}))
	return o
}

// watch tells the coordinator of the claims that have changed, now and at regular intervals.
func (o *clusterOwner) watch() {
	c := o.entry.cluster
	c.after(watchInterval, o.entry.inLife(o.watch))
	if c.store.isSilent(o.entry.name) {
		return
	}
	for shard := range durable.Shard(durable.Shards) {
		claim, ok := c.store.claims[shard]
		switch {
		case ok && claim.Token != o.claims[shard]:
			o.handle(durable.ClaimObserved{Claim: claim})
		case !ok && o.claims[shard] != 0:
			o.handle(durable.ClaimRemoved{Shard: shard, Token: c.store.revision})
		}
		o.claims[shard] = claim.Token
	}
}

// handle passes an event to the coordinator, which first drops its shards if its lease may have expired.
func (o *clusterOwner) handle(event durable.Event) {
	now := o.entry.cluster.now
	o.addDurable(o.coordinator.Expire(now))
	o.addDurable(o.coordinator.Handle(now, event))
	o.drain()
}

func (o *clusterOwner) add(effects []dispatch.Effect) {
	for _, effect := range effects {
		o.queue = append(o.queue, ownerEffect{dispatch: effect})
	}
	o.drain()
}

func (o *clusterOwner) addDurable(effects []durable.Effect) {
	for _, effect := range effects {
		o.queue = append(o.queue, ownerEffect{durable: effect})
	}
}

// drain carries out the queued effects in their order, and those that they cause.
func (o *clusterOwner) drain() {
	if o.isDraining {
		return
	}
	o.isDraining = true
	for len(o.queue) > 0 {
		next := o.queue[0]
		o.queue = o.queue[1:]
		if next.dispatch != nil {
			o.applyDispatch(next.dispatch)
		} else {
			o.apply(next.durable)
		}
	}
	o.isDraining = false
}

func (o *clusterOwner) applyDispatch(effect dispatch.Effect) {
	now := o.entry.cluster.now
	switch e := effect.(type) {
	case dispatch.RecordEnd:
		o.addDurable(o.coordinator.Handle(now, durable.TaskEnded{Agent: e.Agent, Update: e.Update}))
	case dispatch.DurableGivenUp:
		o.addDurable(o.coordinator.Handle(now, durable.JobGivenUp{Job: e.Job}))
	case dispatch.ReadStoredEnds:
		o.addDurable(o.coordinator.Handle(now, durable.StoredEndsRequested{Job: e.Job}))
	case dispatch.DurableStarted:
		o.addDurable(o.coordinator.Handle(now, durable.JobStarted{Job: e.Job}))
	default:
		o.entry.apply(effect)
	}
}

// apply carries out an effect of the coordinator.
func (o *clusterOwner) apply(effect durable.Effect) {
	switch e := effect.(type) {
	case durable.ToDispatcher:
		o.add(o.entry.dispatcher.Handle(o.entry.cluster.now, e.Event))
	case durable.AcknowledgeEnd:
		o.entry.send(e.Agent, acknowledgementOf(e))
	case durable.Reply:
		if answered, ok := o.onAnswer[e.Waiter]; ok {
			delete(o.onAnswer, e.Waiter)
			answered(e.Answer)
		}
	case durable.CallSurrender:
		o.callSurrender(e)
	case durable.CallLease, durable.EndLease, durable.CallClaim, durable.Load, durable.Commit, durable.CallReadEnds, durable.CallRemoveEnds:
		o.callStore(effect)
	}
}

// callSurrender asks the previous owner of a shard to stop serving it. If its process has ended, the connection is refused.
func (o *clusterOwner) callSurrender(call durable.CallSurrender) {
	c := o.entry.cluster
	answer := func(delay time.Duration, isConfirmed bool) {
		c.after(delay, o.entry.inLife(func() {
			o.handle(durable.Surrendered{Shard: call.Shard, Token: call.Token, IsConfirmed: isConfirmed})
		}))
	}
	previous := slices.IndexFunc(c.entries, func(e *clusterEntry) bool { return e.name == call.Address })
	other := c.entries[previous]
	switch {
	case c.peerPath(o.entry, other).isSilent():
		answer(surrenderTimeout, false)
	case other.isDown:
		answer(2*sessionDelay, true)
	default:
		c.after(sessionDelay, other.inLife(func() {
			other.owner.handle(durable.SurrenderRequested{Shard: call.Shard, Token: call.Token})
			answer(sessionDelay, true)
		}))
	}
}

// request passes a request to the coordinator.
func (o *clusterOwner) request(event func(durable.Waiter) durable.Event, answered func(durable.Answer)) {
	o.waiter++
	o.onAnswer[o.waiter] = answered
	o.handle(event(o.waiter))
}

// durableJob is a durable job with what its caller has learned.
type durableJob struct {
	id        string
	submitted time.Time
	// finished is when the caller learned of the end of the job, zero before that, and state is that end.
	finished time.Time
	state    durable.State
}

// ownerOf returns the entry that serves the shard of a job, nil if there is none.
func (c *cluster) ownerOf(job string) *clusterOwner {
	for _, e := range c.entries {
		if e.isDown {
			continue
		}
		if claim, ok := e.owner.coordinator.OwnerOf(durable.ShardOf(job)); ok && claim.Owner == e.name {
			return e.owner
		}
	}
	return nil
}

// hand submits a durable job at the owner of its shard, and again until it is accepted. Its caller then asks for its state.
func (c *cluster) hand(j *durableJob, job dispatch.Job) {
	owner := c.ownerOf(j.id)
	if owner == nil {
		c.after(statePollInterval, func() { c.hand(j, job) })
		return
	}
	c.request(owner, func(w durable.Waiter) durable.Event { return durable.Submitted{Job: job, Waiter: w} }, func(answer durable.Answer) {
		if _, isKnown := answer.(durable.Known); !isKnown {
			c.after(statePollInterval, func() { c.hand(j, job) })
			return
		}
		c.ask(j)
	})
}

// request passes a request to an owner. If there is no answer in time, for example as its process was killed, the answer is nil.
func (c *cluster) request(owner *clusterOwner, event func(durable.Waiter) durable.Event, answered func(durable.Answer)) {
	isAnswered := false
	answer := func(answer durable.Answer) {
		if !isAnswered {
			isAnswered = true
			answered(answer)
		}
	}
	owner.request(event, answer)
	c.after(requestTimeout, func() { answer(nil) })
}

// ask asks for the state of a job until it has ended.
func (c *cluster) ask(j *durableJob) {
	again := func() { c.after(statePollInterval, func() { c.ask(j) }) }
	owner := c.ownerOf(j.id)
	if owner == nil {
		again()
		return
	}
	c.request(owner, func(w durable.Waiter) durable.Event { return durable.StateRequested{Job: j.id, Waiter: w} }, func(answer durable.Answer) {
		if known, ok := answer.(durable.Known); ok && known.State.IsEnd() {
			j.finished, j.state = c.now, known.State
			return
		}
		again()
	})
}
