// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package agent

import (
	"math/rand/v2"
	"reflect"
	"time"

	"github.com/go-kit/log/level"

	"sailhead/internal/cluster"
	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// registerRetryPause lies between two calls to a store that does not answer.
const registerRetryPause = 300 * time.Millisecond

// register tells the store of this agent and its worker, and tells it again when the worker is another. First
// it reads what an earlier process of the agent left: if that life of the worker still answers, there is no
// need to wait for a heartbeat.
func (a *Agent) register() {
	earlier := a.recall()
	for {
		member := a.self
		a.mu.Lock()
		member.Worker = a.recorded
		a.mu.Unlock()
		if member.Worker == nil {
			member.Worker = earlier
		}
		if !a.put(member) {
			return
		}
		select {
		case <-a.context.Done():
			return
		case <-a.changed:
		}
	}
}

// recall tells the runner of the worker that the agent's earlier process knew, and returns it.
func (a *Agent) recall() *worker.Record {
	earlier, ok, err := a.store.Member(a.self.Name)
	switch {
	case err != nil:
		_ = level.Warn(a.logger).Log("msg", "unable to read the agent's earlier record", "err", err)
	case ok && earlier.Worker != nil:
		record := *earlier.Worker
		// The reading of the clock is old, and any heartbeat is newer than the record.
		record.Clock = 0
		record.Sequence = 0
		a.post(runner.WorkerRecalled{Record: record})
		_ = level.Info(a.logger).Log("msg", "worker recalled", "life", record.ID)
		return &record
	}
	return nil
}

// put writes a record, and tries until that is done.
func (a *Agent) put(member cluster.Member) bool {
	began := time.Now()
	for tries := 1; ; tries++ {
		err := a.store.PutMember(member)
		if err == nil {
			_ = level.Info(a.logger).Log("msg", "registered in the store", "worker", incarnationOf(member.Worker), "tries", tries, "after", time.Since(began).Round(time.Millisecond))
			return true
		}
		if tries == 1 {
			_ = level.Warn(a.logger).Log("msg", "dependency lost", "dependency", "store", "err", err)
		}
		select {
		case <-a.context.Done():
			return false
		case <-time.After(registerRetryPause + rand.N(registerRetryPause)):
		}
	}
}

func incarnationOf(record *worker.Record) string {
	if record == nil {
		return ""
	}
	return record.ID
}

// publishWorker makes the store be told if the worker is another than it knows; the caller holds the lock.
func (a *Agent) publishWorker() {
	record, ok := a.runner.Worker()
	if !ok {
		return
	}
	record.Sequence = 0
	record.Clock = 0
	if a.recorded != nil && reflect.DeepEqual(*a.recorded, record) {
		return
	}
	a.recorded = &record
	select {
	case a.changed <- struct{}{}:
	default:
	}
}
