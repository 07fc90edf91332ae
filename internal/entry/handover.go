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
func (e *Entry) handOver(handOver dispatch.HandOver) {
	if e.handOvers.HandOver(handOver.Number, handOver.Job) {
		e.metrics.Add(metric.JobsHandedOver, 1)
		return
	}
	// The event loop calls this, so posting to its own queue must not block it.
	go e.HandOverEnded(handOver.Job.ID, handOver.Number, dispatch.HandOverNotSent{Reason: "no other entry takes jobs"})
}

// HandOverAccepted reports that another entry has taken a job.
func (e *Entry) HandOverAccepted(job string, number uint64, entry string) {
	e.post(dispatch.HandOverAccepted{Job: job, Number: number, Entry: entry})
}

// HandOverEnded reports the result of a job that was handed over.
func (e *Entry) HandOverEnded(job string, number uint64, result dispatch.HandOverResult) {
	switch result.(type) {
	case dispatch.HandOverRefused, dispatch.HandOverNotSent:
		e.metrics.Add(metric.HandOversRefused, 1)
	case dispatch.HandOverLost:
		e.metrics.Add(metric.HandOversLost, 1)
	case dispatch.HandOverAnswered:
	}
	e.post(dispatch.HandOverEnded{Job: job, Number: number, Result: result})
}

// PingReceived passes a ping of an entry to which jobs were handed over to the event loop, which echoes it.
func (e *Entry) PingReceived(link handover.LinkID, time int64) {
	e.post(dispatch.HandOverPinged{Link: uint64(link), Time: time})
}

// handOverPeers returns the entries to which jobs may be handed over. It returns none if hand-over is disabled, so that no
// connections are opened.
func (e *Entry) handOverPeers() []handover.Peer {
	if !e.settings.HandOver {
		return nil
	}
	var peers []handover.Peer
	for _, m := range e.directory.Members(cluster.RoleEntry) {
		if m.Name != e.self.Name {
			peers = append(peers, handover.Peer{Name: m.Name, Address: m.Address})
		}
	}
	return peers
}
