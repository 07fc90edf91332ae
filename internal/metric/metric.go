// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package metric counts what a process does, by expvar.
package metric

import "expvar"

// Set holds the counters of one process.
type Set struct {
	vars *expvar.Map
}

// The names of the counters.
const (
	JobsReceived     = "jobs_received"
	JobsPrefix       = "jobs_"
	ForwardsLost     = "forwards_lost"
	Relays           = "relays"
	MessagesNeeded   = "messages_needed"
	MessagesWasted   = "messages_wasted"
	MessagesGossip   = "messages_gossip"
	TasksStarted     = "tasks_started"
	TasksEnded       = "tasks_ended"
	TasksRefused     = "tasks_refused"
	FencesAsked      = "fences_asked"
	FencesRefused    = "fences_refused"
	PlatformFailures = "platform_failures"
	ConfigVersion    = "configuration_version"
	RosterEpoch      = "roster_epoch"
	RequestsRejected = "requests_rejected"
	JobsOpen         = "jobs_open"
	Agents           = "agents"
	Sessions         = "sessions"
	RunsPrefix       = "runs_"
	CallsUnanswered  = "calls_unanswered"
	JobsKept         = "jobs_kept"
	Commits          = "commits"
)

// NewSet returns a set of counters that is not published.
func NewSet() *Set {
	return &Set{vars: new(expvar.Map).Init()}
}

// Publish shows the set in the process's expvar page under the name; only the first of a name is shown.
func (s *Set) Publish(name string) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, s.vars)
	}
}

// Add adds to a counter.
func (s *Set) Add(name string, delta int64) {
	s.vars.Add(name, delta)
}

// Set sets a gauge.
func (s *Set) Set(name string, value int64) {
	gauge := new(expvar.Int)
	gauge.Set(value)
	s.vars.Set(name, gauge)
}

// Value returns a counter.
func (s *Set) Value(name string) int64 {
	if v, ok := s.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// String returns the counters as JSON.
func (s *Set) String() string {
	return s.vars.String()
}
