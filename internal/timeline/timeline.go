// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package timeline keeps the latest events of a process, so that operators can see what happened over all of them.
package timeline

import (
	"sync"
	"time"
)

// Kind says what an event is.
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

// Event is one thing that happened at a process.
type Event struct {
	Time       time.Time
	Process    string
	Kind       Kind
	Trace      string
	Submission string
	Task       int
	Worker     string
	Detail     string
}

// Filter selects events; an empty part selects all.
type Filter struct {
	Submission string
	Worker     string
	Since      time.Time
	Until      time.Time
}

// Matches reports whether the filter selects the event.
func (f Filter) Matches(e Event) bool {
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
	next    int
	dropped uint64
	now     func() time.Time
}

// NewRing returns an empty ring for so many events.
func NewRing(process string, size int, now func() time.Time) *Ring {
	return &Ring{process: process, events: make([]Event, 0, size), now: now}
}

// Add records an event; its time and process are filled in.
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

// Select returns the events that match, the oldest first, and how many have been overwritten.
func (r *Ring) Select(filter Filter) ([]Event, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var selected []Event
	for i := range r.events {
		if e := r.events[(r.next+i)%len(r.events)]; filter.Matches(e) {
			selected = append(selected, e)
		}
	}
	return selected, r.dropped
}
