// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"sailhead/internal/timing"
)

// This file makes durable tasks whose runs were not reported wait for a read of the ends that agents have stored.
//
// Inputs: the durable tasks whose latest run was not reported, until when each waits for its agent, the answers of package durable.
//
// Rule: while there are such tasks, package durable reads the stored ends of their jobs every timing.StoredEndsInterval, and passes on those of
// done and failed runs. A task runs again only if its wait is over and a read that began after that is no older than timing.StoredEndsMaxAge.
//
// Reason: that nothing is heard of an agent does not show that its run is lost. The agent, this entry or the path between them may be cut off
// for longer than any wait, and the run may be done. An agent that reaches no owner stores the ends that it holds.

// endsRequest is a request to read the stored ends of a job.
type endsRequest struct {
	at       time.Time
	inFlight bool
	// isDue is set if the wait of a task was over when the request was made.
	isDue bool
}

// awaitsStoredEnds reports whether the stored ends have not been read lately, although the latest run was not reported.
func (t *task) awaitsStoredEnds(now time.Time) bool {
	return t.unreported != nil && now.Sub(t.unreported.endsReadAt) > timing.StoredEndsMaxAge
}

// requestStoredEnds requests the stored ends of the jobs for which that is due.
func (d *Dispatcher) requestStoredEnds(now time.Time) {
	for _, j := range d.waiting {
		if !j.isDurable || j.endsRequest.inFlight {
			continue
		}
		isWaiting, due := d.unreportedRuns(now, j)
		isDue := !due.IsZero()
		isFirst := isDue && (!j.endsRequest.isDue || due.After(j.endsRequest.at))
		if isFirst || isWaiting && now.Sub(j.endsRequest.at) >= timing.StoredEndsInterval {
			j.endsRequest = endsRequest{at: now, inFlight: true, isDue: isDue}
			d.emit(ReadStoredEnds{Job: j.ID})
		}
	}
}

// unreportedRuns reports whether a task of a durable job is pending whose latest run was not reported, and when the wait of the last one ended
// whose wait is over, zero if there is none.
func (d *Dispatcher) unreportedRuns(now time.Time, j *job) (isWaiting bool, due time.Time) {
	for _, t := range j.tasks {
		if t.state != taskPending || t.unreported == nil {
			continue
		}
		isWaiting = true
		if !now.Before(t.notBefore) && t.notBefore.After(due) {
			due = t.notBefore
		}
	}
	if !due.IsZero() && d.awaitsAgents(now, j) {
		return isWaiting, time.Time{}
	}
	return isWaiting, due
}

// storedEndsRead applies the answer to a request, which the stored ends of the job precede.
func (d *Dispatcher) storedEndsRead(e StoredEndsRead) {
	j, ok := d.jobs[e.Job]
	if !ok || !j.endsRequest.inFlight {
		return
	}
	j.endsRequest.inFlight = false
	if !j.endsRequest.isDue {
		return
	}
	for _, t := range j.tasks {
		if t.unreported != nil && !j.endsRequest.at.Before(t.notBefore) {
			t.unreported.endsReadAt = j.endsRequest.at
		}
	}
	d.isPlaceDue = true
}
