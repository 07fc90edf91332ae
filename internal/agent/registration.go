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

// registerRetryInterval is the shortest time between two attempts to write the record. Random jitter of up to the same
// time is added, so that the agents do not all reach a recovered store at once.
const registerRetryInterval = 300 * time.Millisecond

// registration holds the worker that the agent's record in the store must contain.
type registration struct {
	mu sync.Mutex
	// worker is nil until a worker is known. Its Clock and Sequence are zero.
	worker *worker.Record
	// incarnation is the one in the record, which is above that of the process if a wrong record had a higher one.
	incarnation int64
	// changed has an element while worker may differ from the stored record.
	changed chan struct{}
}

func newRegistration(incarnation int64) registration {
	return registration{incarnation: incarnation, changed: make(chan struct{}, 1)}
}

// setWorker sets the worker, and wakes the goroutine that writes the record if anything but Clock and Sequence changed.
func (r *registration) setWorker(record worker.Record) {
	record.Sequence = 0
	record.Clock = 0
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker != nil && reflect.DeepEqual(*r.worker, record) {
		return
	}
	r.worker = &record
	r.wake()
}

// wake wakes the goroutine that writes the record.
func (r *registration) wake() {
	select {
	case r.changed <- struct{}{}:
	default:
		// A wake-up is already pending; it will read the latest values.
	}
}

// raiseIncarnation makes the incarnation higher than another one, and wakes the goroutine that writes the record. It returns the new incarnation.
func (r *registration) raiseIncarnation(other int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if other >= r.incarnation {
		r.incarnation = other + 1
		r.wake()
	}
	return r.incarnation
}

// setStored sets the worker that a previous process registered, unless a worker is already known. It does not wake the
// goroutine that writes the record, which is about to write it anyway.
func (r *registration) setStored(record worker.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker == nil {
		r.worker = &record
	}
}

// latest returns the record of a member with the latest worker, nil if none is known, and the latest incarnation.
func (r *registration) latest(self cluster.Member) cluster.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	self.Worker, self.Incarnation = r.worker, r.incarnation
	return self
}

// register writes the agent's record to the store now and whenever the worker changes. It first reads the record of the
// previous agent process: if that incarnation of the worker still answers, the agent need not wait for a heartbeat.
func (a *Agent) register() {
	a.loadStoredWorker()
	for {
		if !a.putRecord(a.registration.latest(a.self)) {
			return
		}
		if !wait(a.context, a.registration.changed) {
			return
		}
	}
}

// loadStoredWorker passes the worker that the previous agent process registered, if any, to the runner.
func (a *Agent) loadStoredWorker() {
	stored, ok, err := a.store.Member(a.self.Name)
	if err != nil {
		_ = level.Warn(a.logger).Log("msg", "unable to read the agent's stored record", "err", err)
		return
	}
	if !ok || stored.Worker == nil {
		return
	}
	record := *stored.Worker
	// The stored clock is out of date, and any heartbeat must count as newer than the record.
	record.Clock = 0
	record.Sequence = 0
	a.registration.setStored(record)
	a.post(runner.StoredWorkerLoaded{Record: record})
	_ = level.Info(a.logger).Log("msg", "worker recalled", "life", record.Incarnation())
}

// putRecord writes the record, retrying until it succeeds, and returns false if the agent stops first. Only the first
// failure is logged; the success is logged with the number of attempts and the time taken.
func (a *Agent) putRecord(member cluster.Member) bool {
	started := time.Now()
	for attempt := 1; ; attempt++ {
		err := a.store.PutMember(member)
		if err == nil {
			_ = level.Info(a.logger).Log("msg", "registered in the store", "worker", incarnationOf(member.Worker),
				"tries", attempt, "after", time.Since(started).Round(time.Millisecond))
			return true
		}
		if attempt == 1 {
			_ = level.Warn(a.logger).Log("msg", "dependency lost", "dependency", "store", "err", err)
		}
		delay := registerRetryInterval + rand.N(registerRetryInterval)
		if !wait(a.context, time.After(delay)) {
			return false
		}
	}
}

// incarnationOf returns the worker's incarnation, or the zero value for nil.
func incarnationOf(record *worker.Record) worker.Incarnation {
	if record == nil {
		return worker.Incarnation{}
	}
	return record.Incarnation()
}
