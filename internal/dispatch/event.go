// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"sailhead/internal/evacuation"
	"sailhead/internal/learned"
	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// Event is an input to the dispatcher. It is one of the types below.
type Event interface{ isEvent() }

// Submitted reports that a caller submitted a job that is not durable. It is answered by a Reply.
type Submitted struct {
	Job    Job
	Waiter Waiter
}

// CallerLeft reports that a caller closed its request.
type CallerLeft struct {
	Job    string
	Waiter Waiter
}

// CancelRequested asks to cancel a job that is not durable. It is answered by a CancelReply.
type CancelRequested struct {
	Job    string
	Waiter Waiter
}

// StateRequested asks for the state of a job that is not durable. It is answered by a StateReply.
type StateRequested struct {
	Job    string
	Waiter Waiter
}

// DurableAccepted reports that this entry runs a durable job from now on, until all its tasks are done or a task has
// used up the attempts of its kind. Package durable answers its callers.
type DurableAccepted struct {
	Job Job
	// DoneTasks are the names of the tasks that are done.
	DoneTasks []string
	// Failures counts the failed runs of the other tasks by the task's name.
	Failures map[string]int
	// NotBefore is when the runs that an earlier owner started have ended at the latest, zero if there was no earlier
	// owner.
	NotBefore time.Time
}

// DurableDropped reports that durable jobs have ended or are now run by another entry. Their runs at this entry are
// stopped.
type DurableDropped struct{ Jobs []string }

// DurableTaskEnded reports what package durable has recorded of a task: after an end that this dispatcher has not passed to it, and after each
// failed run that it has passed. If the job has failed, DurableDropped is sent in place of it.
type DurableTaskEnded struct {
	Task string
	// Failed is set if a run has failed and none is done.
	Failed bool
	// Failures counts the failed runs of the task.
	Failures int
}

// StoredEndsRead answers a ReadStoredEnds: the ends of runs of the job that agents have stored were read after the request, and a
// DurableTaskEnded for each of them that was new precedes this event.
type StoredEndsRead struct{ Job string }

// AgentsRegistered reports that the registered agents, or the number of those selected for sessions, have changed.
type AgentsRegistered struct {
	// Agents are the registered agents, with or without a session, in order.
	Agents []AgentID
	// Selected is the number of them that the entry has selected for sessions, open or not.
	Selected int
}

// AgentUp reports that a session with an agent was opened.
type AgentUp struct{ Agent AgentID }

// AgentUnresponsive reports that an agent has stopped answering. It gets no new tasks.
type AgentUnresponsive struct{ Agent AgentID }

// AgentResponsive reports that an unresponsive agent answers again.
type AgentResponsive struct{ Agent AgentID }

// AgentDown reports that the session with an agent was closed.
type AgentDown struct{ Agent AgentID }

// AgentDeselected reports that the entry no longer needs its session with an agent. It is repeated until the dispatcher
// emits a CloseSession or an AgentSelected revokes it.
type AgentDeselected struct{ Agent AgentID }

// AgentSelected revokes an AgentDeselected.
type AgentSelected struct{ Agent AgentID }

// AgentPinged reports a ping of an agent. It is answered by an EchoPing.
type AgentPinged struct {
	Agent AgentID
	// Time identifies the ping to the agent.
	Time int64
}

// WorkerDescribed reports that an agent described its worker.
type WorkerDescribed struct {
	Agent  AgentID
	Record worker.Record
}

// LoadReceived carries the load of a worker, as its agent sent it.
type LoadReceived struct {
	Agent AgentID
	// Handled is the number of the last start that the load includes.
	Handled uint64
	Load    runner.Load
}

// OfferReceived carries the offer of an agent. The agent holds the resources until the offer is answered.
type OfferReceived struct {
	Agent AgentID
	Offer runner.Offer
}

// RunUpdated carries the report of an agent that a run started or ended.
type RunUpdated struct {
	Agent  AgentID
	Update runner.Update
}

// WorkerCrashed reports that an incarnation of an agent's worker has crashed. The agent may have no session with this
// entry, and a crash may be reported more than once.
type WorkerCrashed struct {
	Agent AgentID
	Crash runner.Crash
}

// RecordsShared reports that all other entries that answer were told of the records of a ShareRecords with the same number.
type RecordsShared struct{ Number uint64 }

// UnendedRunReceived reports that a run of a task that another entry started may go on until a given time. It may be reported more than
// once.
type UnendedRunReceived struct {
	Task    string
	EndedBy time.Time
}

// HandOverAccepted reports that another entry has accepted a job that was handed over.
type HandOverAccepted struct {
	Job string
	// Number is that of the hand-over.
	Number uint64
	// Entry is the name of that entry.
	Entry string
}

// HandOverEnded reports the result of a job that was handed over.
type HandOverEnded struct {
	Job string
	// Number is that of the hand-over.
	Number uint64
	Result HandOverResult
}

// HandOverPinged reports a ping of an entry to which jobs were handed over. It is answered by an EchoHandOverPing.
type HandOverPinged struct {
	// Link and Time identify the connection and the ping.
	Link uint64
	Time int64
}

// LearnedReceived carries what another entry has learned about kinds.
type LearnedReceived struct{ Kinds []learned.Kind }

// EvacuationsChanged reports the evacuated availability zones, as far as this entry knows them.
type EvacuationsChanged struct{ State evacuation.State }

// ShutdownRequested reports that the process ends at a given time. Jobs that would end later are refused, and no task
// of a durable job is placed.
type ShutdownRequested struct{ Until time.Time }

// Ticked applies the rules that depend on time alone. Package entry sends it at short intervals.
type Ticked struct{}

func (Submitted) isEvent()          {}
func (CallerLeft) isEvent()         {}
func (CancelRequested) isEvent()    {}
func (StateRequested) isEvent()     {}
func (DurableAccepted) isEvent()    {}
func (DurableDropped) isEvent()     {}
func (DurableTaskEnded) isEvent()   {}
func (StoredEndsRead) isEvent()     {}
func (AgentsRegistered) isEvent()   {}
func (AgentUp) isEvent()            {}
func (AgentUnresponsive) isEvent()  {}
func (AgentResponsive) isEvent()    {}
func (AgentDown) isEvent()          {}
func (AgentDeselected) isEvent()    {}
func (AgentSelected) isEvent()      {}
func (AgentPinged) isEvent()        {}
func (WorkerDescribed) isEvent()    {}
func (LoadReceived) isEvent()       {}
func (RunUpdated) isEvent()         {}
func (OfferReceived) isEvent()      {}
func (WorkerCrashed) isEvent()      {}
func (RecordsShared) isEvent()      {}
func (UnendedRunReceived) isEvent() {}
func (HandOverAccepted) isEvent()   {}
func (HandOverEnded) isEvent()      {}
func (HandOverPinged) isEvent()     {}
func (LearnedReceived) isEvent()    {}
func (EvacuationsChanged) isEvent() {}
func (ShutdownRequested) isEvent()  {}
func (Ticked) isEvent()             {}
