// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/durable"
	"sailhead/internal/runner"
	"sailhead/internal/timing"
)

// storeDelay is the time from a call to the store until it is carried out, and from then until its answer.
const storeDelay = 2 * time.Millisecond

// errNoAnswer is the error of a call that times out.
var errNoAnswer = errors.New("the store does not answer")

// clusterStore is the platform's store with what package durable keeps there. Callers can be cut off from it.
type clusterStore struct {
	clock    *scheduler
	revision durable.Token
	leases   map[durable.Lease]time.Time
	claims   map[durable.Shard]durable.Claim
	batches  map[durable.Shard]map[durable.Sequence][]byte
	// ends are the stored ends of each shard, by process.
	ends map[durable.Shard]map[durable.AgentProcess]durable.StoredEnds
	// endWrites counts the calls that write stored ends, and endReads those that read them.
	endWrites, endReads int
	// silentUntil is when a caller reaches the store again, by the caller's name.
	silentUntil map[string]time.Time
}

func newClusterStore(clock *scheduler) *clusterStore {
	s := &clusterStore{
		clock: clock, leases: make(map[durable.Lease]time.Time), claims: make(map[durable.Shard]durable.Claim),
		batches: make(map[durable.Shard]map[durable.Sequence][]byte), silentUntil: make(map[string]time.Time),
		ends: make(map[durable.Shard]map[durable.AgentProcess]durable.StoredEnds),
	}
	for shard := range durable.Shard(durable.Shards) {
		s.batches[shard] = make(map[durable.Sequence][]byte)
		s.ends[shard] = make(map[durable.AgentProcess]durable.StoredEnds)
	}
	return s
}

// silence cuts a caller off from the store for a time.
func (s *clusterStore) silence(caller string, span time.Duration) {
	s.silentUntil[caller] = latest(s.silentUntil[caller], s.clock.now.Add(span))
}

func (s *clusterStore) isSilent(caller string) bool { return s.clock.now.Before(s.silentUntil[caller]) }

// call carries out a call of a caller, and then calls answered. If the caller is cut off, the call is not carried out and times out.
func (s *clusterStore) call(caller string, carryOut func(), answered func(isAnswered bool)) {
	s.clock.after(storeDelay, func() {
		if s.isSilent(caller) {
			s.clock.after(timing.StoreCallTimeout, func() { answered(false) })
			return
		}
		s.expireLeases()
		carryOut()
		s.clock.after(storeDelay, func() { answered(true) })
	})
}

func (s *clusterStore) expireLeases() {
	for _, lease := range slices.Sorted(maps.Keys(s.leases)) {
		if s.clock.now.After(s.leases[lease]) {
			s.endLease(lease)
		}
	}
}

// endLease removes the claims that are bound to a lease.
func (s *clusterStore) endLease(lease durable.Lease) {
	delete(s.leases, lease)
	for shard, claim := range s.claims {
		if claim.Lease == lease {
			s.revision++
			delete(s.claims, shard)
		}
	}
}

func (s *clusterStore) grantLease(call durable.CallLease) durable.LeaseResult {
	lease := call.Lease
	if _, ok := s.leases[lease]; lease != 0 && !ok {
		return durable.LeaseExpired{}
	}
	if lease == 0 {
		s.revision++
		lease = durable.Lease(s.revision)
	}
	s.leases[lease] = s.clock.now.Add(call.Time)
	return durable.LeaseGranted{Lease: lease, Time: call.Time}
}

func (s *clusterStore) claim(claim durable.Claim) durable.ClaimResult {
	_, isClaimed := s.claims[claim.Shard]
	if _, ok := s.leases[claim.Lease]; !ok || isClaimed {
		return durable.ClaimLost{}
	}
	s.revision++
	claim.Token = s.revision
	s.claims[claim.Shard] = claim
	return durable.ClaimWon{Token: claim.Token}
}

func (s *clusterStore) load(shard durable.Shard) []durable.StoredBatch {
	var batches []durable.StoredBatch
	for _, sequence := range slices.Sorted(maps.Keys(s.batches[shard])) {
		batches = append(batches, durable.StoredBatch{Sequence: sequence, Data: s.batches[shard][sequence]})
	}
	return batches
}

// commit writes all parts, or none if a claim has changed.
func (s *clusterStore) commit(commit durable.Commit) durable.CommitResult {
	isChanged := func(p durable.Part) bool { return s.claims[p.Shard].Token != p.Token }
	if slices.ContainsFunc(commit.Parts, isChanged) {
		var fenced durable.CommitFenced
		for _, part := range commit.Parts {
			if isChanged(part) {
				fenced.Shards = append(fenced.Shards, part.Shard)
			}
		}
		return fenced
	}
	s.revision++
	for _, part := range commit.Parts {
		s.batches[part.Shard][part.Sequence] = part.Data
		for _, sequence := range part.Remove {
			delete(s.batches[part.Shard], sequence)
		}
		if part.ReleasesClaim {
			delete(s.claims, part.Shard)
		}
	}
	return durable.CommitWritten{}
}

// putEnds replaces all records of a process.
func (s *clusterStore) putEnds(process durable.AgentProcess, records []durable.StoredEnds) {
	s.endWrites++
	s.revision++
	for shard := range durable.Shard(durable.Shards) {
		delete(s.ends[shard], process)
	}
	for _, record := range records {
		record.Revision = int64(s.revision)
		s.ends[record.Shard][process] = record
	}
}

// readEnds returns the records of a shard as they are read from the store.
func (s *clusterStore) readEnds(shard durable.Shard) ([]durable.StoredEnds, error) {
	s.endReads++
	var records []durable.StoredEnds
	for _, process := range slices.SortedFunc(maps.Keys(s.ends[shard]), compareProcesses) {
		record := s.ends[shard][process]
		ends, err := durable.DecodeEnds(durable.EncodeEnds(record.Ends))
		if err != nil {
			return nil, err
		}
		record.Ends = ends
		records = append(records, record)
	}
	return records, nil
}

func (s *clusterStore) removeEnds(record durable.StoredEnds) {
	s.endWrites++
	if s.ends[record.Shard][record.Process].Revision == record.Revision {
		delete(s.ends[record.Shard], record.Process)
	}
}

func compareProcesses(a, b durable.AgentProcess) int {
	return cmp.Or(cmp.Compare(a.Agent, b.Agent), cmp.Compare(a.Incarnation, b.Incarnation))
}

// storeEnds makes the agent write the latest ends to the store until that succeeds. The process has one such call in flight.
func (a *clusterAgent) storeEnds(ends []runner.Update) {
	a.endsToStore, a.areEndsStored = ends, false
	if !a.isStoringEnds {
		a.isStoringEnds = true
		a.callPutEnds()
	}
}

func (a *clusterAgent) callPutEnds() {
	c, written := a.cluster, a.endsToStore
	a.areEndsStored = true
	process := durable.AgentProcess{Agent: a.id, Incarnation: int64(a.life)}
	carryOut := func() { c.store.putEnds(process, durable.EndsByShard(process, written)) }
	c.store.call(string(a.id), carryOut, func(isAnswered bool) {
		again := a.inLife(a.callPutEnds)
		switch {
		case !isAnswered:
			c.after(timing.EndStoreRetryDelay, again)
		case !a.areEndsStored:
			again()
		default:
			a.isStoringEnds = false
		}
	})
}

// callStore makes a call of the coordinator to the store and passes the result back.
func (o *clusterOwner) callStore(effect durable.Effect) {
	c := o.entry.cluster
	s, sent := c.store, c.now
	var result durable.Event
	var unanswered durable.Event
	carryOut := func() {}
	switch call := effect.(type) {
	case durable.CallLease:
		unanswered = durable.LeaseAnswered{Lease: call.Lease, Sent: sent, Result: durable.LeaseUnknown{}}
		carryOut = func() { result = durable.LeaseAnswered{Lease: call.Lease, Sent: sent, Result: s.grantLease(call)} }
	case durable.EndLease:
		carryOut = func() { s.endLease(call.Lease) }
	case durable.CallClaim:
		unanswered = durable.ClaimAnswered{Shard: call.Claim.Shard, Lease: call.Claim.Lease, Result: durable.ClaimUnknown{}}
		carryOut = func() {
			result = durable.ClaimAnswered{Shard: call.Claim.Shard, Lease: call.Claim.Lease, Result: s.claim(call.Claim)}
		}
	case durable.Load:
		unanswered = durable.Loaded{Shard: call.Shard, Token: call.Token, Err: errNoAnswer}
		carryOut = func() { result = durable.Loaded{Shard: call.Shard, Token: call.Token, Batches: s.load(call.Shard)} }
	case durable.CallReadEnds:
		unanswered = durable.StoredEndsAnswered{Shard: call.Shard, Token: call.Token, Err: errNoAnswer}
		carryOut = func() {
			records, err := s.readEnds(call.Shard)
			result = durable.StoredEndsAnswered{Shard: call.Shard, Token: call.Token, Records: records, Err: err}
		}
	case durable.CallRemoveEnds:
		carryOut = func() { s.removeEnds(call.Record) }
	case durable.Commit:
		unanswered = durable.Committed{Number: call.Number, Result: durable.CommitUnknown{}}
		carryOut = func() { result = durable.Committed{Number: call.Number, Result: s.commit(call)} }
	}
	s.call(o.entry.name, carryOut, func(isAnswered bool) {
		if !isAnswered {
			result = unanswered
		}
		if result != nil {
			o.entry.inLife(func() { o.handle(result) })()
		}
	})
}

// acknowledgementOf returns the event that acknowledges an end to an agent.
func acknowledgementOf(e durable.AcknowledgeEnd) func(runner.SessionID) runner.Event {
	return func(runner.SessionID) runner.Event { return runner.EndAcknowledged{Name: e.Name, Run: e.Run} }
}
