// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package agent

import (
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/cluster"
	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// registerRetryInterval is the shortest time between two attempts to write the record; up to as much is added at random, so that the agents
// do not all return at once to a store that has recovered.
const registerRetryInterval = 300 * time.Millisecond

// registration holds the worker that the agent's record in the store should name.
type registration struct {
	mu sync.Mutex
	// worker is nil until a worker is known. Its clock and sequence are zero.
	worker *worker.Record
	// changed has an element while worker may differ from what was written.
	changed chan struct{}
}

func newRegistration() registration {
	return registration{changed: make(chan struct{}, 1)}
}

// setWorker sets the worker and wakes the registration if it differs from the previous one in more than its clock.
func (r *registration) setWorker(record worker.Record) {
	record.Sequence = 0
	record.Clock = 0
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker != nil && reflect.DeepEqual(*r.worker, record) {
		return
	}
	r.worker = &record
	select {
	case r.changed <- struct{}{}:
	default:
		// A wake-up is pending already; it will read the worker that was just set.
	}
}

// recall sets the worker that an earlier process registered, unless one is known. The record that names it is about to be written.
func (r *registration) recall(record worker.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker == nil {
		r.worker = &record
	}
}

// latest returns the worker, or nil while none is known.
func (r *registration) latest() *worker.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.worker
}

// register writes the agent's record to the store, and again whenever the worker changes. First it reads the record of the
// agent's earlier process: if that incarnation of the worker still answers, the agent need not wait for a heartbeat.
func (a *Agent) register() {
	a.recallWorker()
	for {
		member := a.self
		member.Worker = a.registration.latest()
		if !a.putRecord(member) {
			return
		}
		if !wait(a.context, a.registration.changed) {
			return
		}
	}
}

// recallWorker passes the worker that the earlier process of the agent registered to the runner, if there is one.
func (a *Agent) recallWorker() {
	earlier, ok, err := a.store.Member(a.self.Name)
	if err != nil {
		_ = level.Warn(a.logger).Log("msg", "unable to read the agent's earlier record", "err", err)
		return
	}
	if !ok || earlier.Worker == nil {
		return
	}
	record := *earlier.Worker
	// The clock was read long ago, and any heartbeat is newer than the record.
	record.Clock = 0
	record.Sequence = 0
	a.registration.recall(record)
	a.post(runner.StoredWorkerLoaded{Record: record})
	_ = level.Info(a.logger).Log("msg", "worker recalled", "life", record.Incarnation())
}

// putRecord writes the record and retries until that succeeds. It returns false if the agent stops first. Only the first
// failure is logged; the line of the success tells how many attempts and how long it took.
func (a *Agent) putRecord(member cluster.Member) bool {
	began := time.Now()
	for tries := 1; ; tries++ {
		err := a.store.PutMember(member)
		if err == nil {
			_ = level.Info(a.logger).Log("msg", "registered in the store", "worker", incarnationOf(member.Worker),
				"tries", tries, "after", time.Since(began).Round(time.Millisecond))
			return true
		}
		if tries == 1 {
			_ = level.Warn(a.logger).Log("msg", "dependency lost", "dependency", "store", "err", err)
		}
		pause := registerRetryInterval + rand.N(registerRetryInterval)
		if !wait(a.context, time.After(pause)) {
			return false
		}
	}
}

// incarnationOf returns the worker's incarnation, or none for nil.
func incarnationOf(record *worker.Record) worker.Incarnation {
	if record == nil {
		return worker.Incarnation{}
	}
	return record.Incarnation()
}
