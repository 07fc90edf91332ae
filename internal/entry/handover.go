// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"sailhead/internal/cluster"
	"sailhead/internal/dispatch"
	"sailhead/internal/handover"
	"sailhead/internal/metric"
)

// handOver hands a job over to another entry.
func (e *Entry) handOver(job dispatch.Job) {
	if e.handOvers.HandOver(job) {
		e.metrics.Add(metric.JobsHandedOver, 1)
		return
	}
	// The event loop calls this, so it must not wait for its own ring.
	go e.HandOverEnded(job.ID, dispatch.HandOverRefused{Reason: "no other entry takes jobs"})
}

// HandOverTaken reports that another entry has taken a job.
func (e *Entry) HandOverTaken(job, entry string) {
	e.post(dispatch.HandOverTaken{Job: job, Entry: entry})
}

// HandOverEnded reports the result of a job that was handed over.
func (e *Entry) HandOverEnded(job string, result dispatch.HandOverResult) {
	switch result.(type) {
	case dispatch.HandOverRefused:
		e.metrics.Add(metric.HandOversRefused, 1)
	case dispatch.HandOverLost:
		e.metrics.Add(metric.HandOversLost, 1)
	case dispatch.HandOverAnswered:
	}
	e.post(dispatch.HandOverEnded{Job: job, Result: result})
}

// handOverPeers returns the other entries.
func (e *Entry) handOverPeers() []handover.Peer {
	var peers []handover.Peer
	for _, m := range e.directory.Members(cluster.RoleEntry) {
		if m.Name != e.self.Name {
			peers = append(peers, handover.Peer{Name: m.Name, Address: m.Address})
		}
	}
	return peers
}

// JobsOpen returns the number of jobs under way, those that were handed over included.
func (e *Entry) JobsOpen() int { return int(e.jobs.Load()) }
