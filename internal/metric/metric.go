// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package metric holds the counters, gauges and histograms of a process and shows them by expvar. It owns their names,
// which operators read at the metrics address. All methods are safe for concurrent use and none fails.
package metric

import "expvar"

// Set holds the metrics of one process. Use NewSet; the zero value has no map.
type Set struct {
	vars *expvar.Map
}

// The names of counters and gauges. Those that end in Prefix are followed by an outcome, or UnreadablePrefix by the kind of record.
const (
	JobsReceived   = "jobs_received"
	JobsPrefix     = "jobs_"
	ForwardsLost   = "forwards_lost"
	Relays         = "relays"
	MessagesNeeded = "messages_needed"
	MessagesWasted = "messages_wasted"
	MessagesGossip = "messages_gossip"
	TasksStarted   = "tasks_started"
	TasksEnded     = "tasks_ended"
	TasksRefused   = "tasks_refused"
	TasksGivenUp   = "tasks_given_up"
	// TasksRestarted counts the durable tasks started again although the end of a run was not reported, and TasksDoneEarlier those of
	// which an earlier run then proved to be done.
	TasksRestarted   = "tasks_restarted"
	TasksDoneEarlier = "tasks_done_earlier"
	FencesAsked      = "fences_asked"
	FencesRefused    = "fences_refused"
	PlatformFailures = "platform_failures"
	ConfigVersion    = "configuration_version"
	RosterEpoch      = "roster_epoch"
	RequestsRejected = "requests_rejected"
	JobsOpen         = "jobs_open"
	Agents           = "agents"
	AgentsKnown      = "agents_known"
	AgentsChosen     = "agents_chosen"
	Sessions         = "sessions"
	RunsPrefix       = "runs_"
	CallsUnanswered  = "calls_unanswered"
	StopsOverdue     = "stops_overdue"
	// EndsUnacknowledged shows the ends that an agent stores as no entry acknowledges them, and EndWrites counts the writes of them.
	EndsUnacknowledged  = "ends_unacknowledged"
	EndWrites           = "end_writes"
	DurableJobsAccepted = "jobs_kept"
	Commits             = "commits"
	ActiveRuns          = "active_runs"
	ZonesEvacuated      = "zones_evacuated"
	KindsContained      = "kinds_contained"
	Containments        = "containments"
	IsLimited           = "is_limited"
	JobsHandedOver      = "jobs_handed_over"
	HandOversRefused    = "hand_overs_refused"
	HandOversLost       = "hand_overs_lost"
	KindsLearned        = "kinds_learned"
	IsEjected           = "is_ejected"
	Ejections           = "ejections"
	Probes              = "probes"
	ProbesFailed        = "probes_failed"
	AgentsEjected       = "agents_ejected"
	RefusedOnArrival    = "refused_on_arrival"
	RefusedAfterWait    = "refused_after_wait"
	AvoidableRefusals   = "refused_with_room"
	UnreadablePrefix    = "unreadable_"
	// SessionSent and SessionReceived show messages and bytes by the kind of message.
	SessionSent     = "session_sent"
	SessionReceived = "session_received"
	// SharesUsed, SharesUsual and SharesEntitled show cores by availability zone and kind.
	SharesUsed     = "shares_used"
	SharesUsual    = "shares_usual"
	SharesEntitled = "shares_entitled"
)

// NewSet returns an empty set. Publish makes it visible.
func NewSet() *Set {
	return &Set{vars: new(expvar.Map).Init()}
}

// Publish adds the set to the process's expvar page under a name. A second set of the same name is not shown, as several
// processes may run in one test.
func (s *Set) Publish(name string) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, s.vars)
	}
}

// Add adds delta to a counter, which starts at 0.
func (s *Set) Add(name string, delta int64) {
	s.vars.Add(name, delta)
}

// Set sets a gauge to a value.
func (s *Set) Set(name string, value int64) {
	gauge := new(expvar.Int)
	gauge.Set(value)
	s.vars.Set(name, gauge)
}

// Show shows a value, which is computed whenever the metrics are read.
func (s *Set) Show(name string, value func() any) {
	s.vars.Set(name, expvar.Func(value))
}

// Value returns the value of a counter or gauge, or 0 if there is none of the name.
func (s *Set) Value(name string) int64 {
	if v, ok := s.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// String returns all metrics of the set as JSON.
func (s *Set) String() string {
	return s.vars.String()
}
