// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package agent

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/dispatch"
	"sailhead/internal/durable"
	"sailhead/internal/logging"
	"sailhead/internal/metric"
	"sailhead/internal/runner"
	"sailhead/internal/timing"
)

// EndStore keeps ends in the platform's store for the owners of durable jobs.
type EndStore interface {
	// Put writes the records, and removes those without ends, if all have the given revisions; otherwise it writes nothing and isWritten is
	// false. It returns the records with their revisions in the store, which may be too low after a write of several. After an error they
	// may or may not have been written.
	Put(records []durable.StoredEnds) (stored []durable.StoredEnds, isWritten bool, err error)
}

// maxEndStoreFailureLinesPerSecond limits the log lines about ends that could not be stored.
const maxEndStoreFailureLinesPerSecond = 1

// pendingEnds holds the ends that the store must contain.
type pendingEnds struct {
	mu   sync.Mutex
	ends []runner.Update
	// changed has an element while ends may differ from the stored ones.
	changed chan struct{}
}

func newPendingEnds() pendingEnds {
	return pendingEnds{changed: make(chan struct{}, 1)}
}

// set replaces the ends and wakes the goroutine that stores them.
func (p *pendingEnds) set(ends []runner.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ends = ends
	select {
	case p.changed <- struct{}{}:
	default:
		// A wake-up is already pending; it will read the new ends.
	}
}

func (p *pendingEnds) latest() []runner.Update {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends
}

// endRecords are the process's records of stored ends by shard, as far as it knows them. Only the goroutine that stores ends uses it.
type endRecords struct {
	process durable.AgentProcess
	// revisions are the known revisions of the records, 0 for none.
	revisions [durable.Shards]int64
	// mayExist is set if there may be a record, also after a write without an answer.
	mayExist [durable.Shards]bool
}

// next returns the records to be written so that the process's records contain exactly the given ends.
func (r *endRecords) next(ends []runner.Update) []durable.StoredEnds {
	records := durable.EndsByShard(r.process, ends)
	var isWritten [durable.Shards]bool
	for i := range records {
		records[i].Revision = r.revisions[records[i].Shard]
		isWritten[records[i].Shard] = true
	}
	for shard := range durable.Shard(durable.Shards) {
		if r.mayExist[shard] && !isWritten[shard] {
			records = append(records, durable.StoredEnds{Shard: shard, Process: r.process, Revision: r.revisions[shard]})
		}
	}
	return records
}

// sent records that records are being written.
func (r *endRecords) sent(records []durable.StoredEnds) {
	for _, record := range records {
		r.mayExist[record.Shard] = true
	}
}

// answered records the state of the records in the store.
func (r *endRecords) answered(stored []durable.StoredEnds) {
	for _, record := range stored {
		r.revisions[record.Shard] = record.Revision
		r.mayExist[record.Shard] = record.Revision != 0
	}
}

// process identifies this process among those of the agent.
func (a *Agent) process() durable.AgentProcess {
	return durable.AgentProcess{Agent: dispatch.AgentID(a.self.Name), Incarnation: a.self.Incarnation}
}

// storeEnds keeps the ends that no owner has acknowledged in the store.
func (a *Agent) storeEnds() {
	records := &endRecords{process: a.process()}
	logger := logging.NewLimited(a.logger, maxEndStoreFailureLinesPerSecond)
	for wait(a.context, a.pendingEnds.changed) {
		for !a.putEnds(records) {
			_ = level.Warn(logger).Log("msg", "unable to store ends that no entry acknowledges", "ends", len(a.pendingEnds.latest()))
			delay := timing.EndStoreRetryDelay/2 + rand.N(timing.EndStoreRetryDelay/2)
			if !wait(a.context, time.After(delay)) {
				return
			}
		}
	}
}

// putEnds writes the latest ends and reports whether the store contains them now. A record that is not as expected, because an owner has
// removed it or the answer to an earlier write was lost, is written again at once.
func (a *Agent) putEnds(records *endRecords) bool {
	for range maxEndConflicts {
		next := records.next(a.pendingEnds.latest())
		if len(next) == 0 {
			return true
		}
		records.sent(next)
		a.metrics.Add(metric.EndWrites, 1)
		stored, isWritten, err := a.settings.Ends.Put(next)
		if err != nil {
			return false
		}
		records.answered(stored)
		if isWritten {
			_ = level.Info(a.logger).Log("msg", "ends stored that no entry acknowledges", "ends", len(a.pendingEnds.latest()), "records", len(next))
			return true
		}
	}
	return false
}

// maxEndConflicts is the number of attempts to write records that are not as expected without a pause.
const maxEndConflicts = 3
