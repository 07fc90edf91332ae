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

// putPause lies between two calls to a store that does not answer.
const putPause = 300 * time.Millisecond

// register tells the store of this agent and its worker, and tells it again when the worker is another. First
// it reads what an earlier process of the agent left: if that life of the worker still answers, there is no
// need to wait for a heartbeat.
func (s *Sidecar) register() {
	earlier := s.recall()
	for {
		member := s.self
		s.mu.Lock()
		member.Worker = s.recorded
		s.mu.Unlock()
		if member.Worker == nil {
			member.Worker = earlier
		}
		if !s.put(member) {
			return
		}
		select {
		case <-s.context.Done():
			return
		case <-s.changed:
		}
	}
}

// recall tells the runner of the worker that the agent's earlier process knew, and returns it.
func (s *Sidecar) recall() *worker.Record {
	earlier, ok, err := s.store.Member(s.self.Name)
	switch {
	case err != nil:
		_ = level.Warn(s.logger).Log("msg", "unable to read the agent's earlier record", "err", err)
	case ok && earlier.Worker != nil:
		record := *earlier.Worker
		// The reading of the clock is old, and any heartbeat is newer than the record.
		record.Clock = 0
		record.Sequence = 0
		s.post(runner.WorkerRecalled{Record: record})
		_ = level.Info(s.logger).Log("msg", "worker recalled", "life", record.ID)
		return &record
	}
	return nil
}

// put writes a record, and tries until that is done.
func (s *Sidecar) put(member cluster.Member) bool {
	began := time.Now()
	for tries := 1; ; tries++ {
		err := s.store.PutMember(member)
		if err == nil {
			_ = level.Info(s.logger).Log("msg", "registered in the store", "worker", lifeOf(member.Worker), "tries", tries, "after", time.Since(began).Round(time.Millisecond))
			return true
		}
		if tries == 1 {
			_ = level.Warn(s.logger).Log("msg", "dependency lost", "dependency", "store", "err", err)
		}
		select {
		case <-s.context.Done():
			return false
		case <-time.After(putPause + rand.N(putPause)):
		}
	}
}

func lifeOf(record *worker.Record) string {
	if record == nil {
		return ""
	}
	return record.ID
}

// noteWorker makes the store be told if the worker is another than it knows; the caller holds the lock.
func (s *Sidecar) noteWorker() {
	record, ok := s.runner.Life()
	if !ok {
		return
	}
	record.Sequence = 0
	record.Clock = 0
	if s.recorded != nil && reflect.DeepEqual(*s.recorded, record) {
		return
	}
	s.recorded = &record
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
