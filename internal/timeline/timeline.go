// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package timeline orders what happened over several processes, for operators. It has two sources: on the users' platform
// the log files of processes, read by ReadLogs and FollowJob; on sailhead's own interface the latest events of each
// running process, which it owns in a Ring. A process that has died has no ring; its log files remain.
package timeline

import (
	"sync"
	"time"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	JobReceived    Kind = "job_received"
	JobForwarded   Kind = "job_forwarded"
	JobRelayed     Kind = "job_relayed"
	JobAnswered    Kind = "job_answered"
	JobOffered     Kind = "job_offered"
	JobResponded   Kind = "job_responded"
	OwnerSilent    Kind = "owner_silent"
	FenceAsked     Kind = "fence_asked"
	FenceGiven     Kind = "fence_given"
	TaskSent       Kind = "task_sent"
	TaskStarted    Kind = "task_started"
	TaskEnded      Kind = "task_ended"
	TaskAnswered   Kind = "task_answered"
	TaskReported   Kind = "task_reported"
	RosterChanged  Kind = "roster_changed"
	ConfigChanged  Kind = "configuration_changed"
	ProcessStarted Kind = "process_started"
	ProcessStopped Kind = "process_stopped"
	WorkerDrained  Kind = "worker_drained"
)

// NoTask is the index of an event that concerns no single task.
const NoTask = -1

// Event is one thing that happened at a process. Empty fields do not apply.
type Event struct {
	// Time and Process are set by Ring.Add; Time is on the clock of the process.
	Time    time.Time
	Process string
	Kind    Kind
	// Trace identifies one delivery of a submission across processes.
	Trace string
	// Submission is the key of the submission.
	Submission string
	// Task is the index of the task in the submission, or NoTask.
	Task   int
	Worker string
	// Detail is free text for the operator.
	Detail string
}

// Filter selects events. An empty field selects all; a zero time is no bound, other bounds are inclusive.
type Filter struct {
	Submission string
	Worker     string
	Since      time.Time
	Until      time.Time
}

// matches reports whether the filter selects the event.
func (f Filter) matches(e Event) bool {
	switch {
	case f.Submission != "" && f.Submission != e.Submission:
		return false
	case f.Worker != "" && f.Worker != e.Worker && f.Worker != e.Process:
		return false
	case !f.Since.IsZero() && e.Time.Before(f.Since):
		return false
	case !f.Until.IsZero() && e.Time.After(f.Until):
		return false
	default:
		return true
	}
}

// Ring holds the latest events of a process. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	process string
	events  []Event
	// next is the index of the oldest event once the ring is full, which the next event replaces.
	next int
	// dropped is the number of events that were replaced.
	dropped uint64
	now     func() time.Time
}

// NewRing returns an empty ring that holds up to size events.
func NewRing(process string, size int, now func() time.Time) *Ring {
	return &Ring{process: process, events: make([]Event, 0, size), now: now}
}

// Add stores an event with the current time and the ring's process. A full ring drops its oldest event.
func (r *Ring) Add(e Event) {
	e.Time = r.now()
	e.Process = r.process
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
	r.dropped++
}

// Select returns the events that match, the oldest first, and the number of events that were dropped since the start.
func (r *Ring) Select(filter Filter) ([]Event, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var selected []Event
	for i := range r.events {
		if e := r.events[(r.next+i)%len(r.events)]; filter.matches(e) {
			selected = append(selected, e)
		}
	}
	return selected, r.dropped
}
