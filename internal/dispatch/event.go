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

// Event is an input of the dispatcher. It is one of the types below.
type Event interface{ isEvent() }

// Submitted reports that a caller submitted a job that is not durable. A Reply answers it.
type Submitted struct {
	Job    Job
	Waiter Waiter
}

// CallerLeft reports that a caller closed its request.
type CallerLeft struct {
	Job    string
	Waiter Waiter
}

// CancelRequested asks to end a job that is not durable. A CancelReply answers it.
type CancelRequested struct {
	Job    string
	Waiter Waiter
}

// StateRequested asks for the state of a job that is not durable. A StateReply answers it.
type StateRequested struct {
	Job    string
	Waiter Waiter
}

// DurableAccepted reports that this entry runs a durable job from now on, until all its tasks are done or a task has
// failed as often as its kind allows. Package durable answers its callers.
type DurableAccepted struct {
	Job Job
	// DoneTasks are the tasks that are done.
	DoneTasks []string
	// Failures counts the failed runs of the other tasks by the task's name.
	Failures map[string]int
	// NotBefore is when the runs that an earlier owner started have ended, zero if there was no earlier owner.
	NotBefore time.Time
}

// DurableDropped reports that durable jobs have ended or run at another entry. Their runs here are stopped.
type DurableDropped struct{ Jobs []string }

// DurableTaskEnded reports that a run of a task of a durable job has ended, and this dispatcher did not report it.
type DurableTaskEnded struct {
	Task   string
	Failed bool
}

// AgentsRegistered reports that the registered agents have changed, or the number of those with which the entry keeps sessions.
type AgentsRegistered struct {
	// Agents are the registered agents, with or without a session, in order.
	Agents []AgentID
	// Chosen is the number of those with which the entry keeps sessions, open ones or not.
	Chosen int
}

// AgentUp reports that a session with an agent was opened.
type AgentUp struct{ Agent AgentID }

// AgentUnresponsive reports that an agent has not answered for some time. It gets no new tasks.
type AgentUnresponsive struct{ Agent AgentID }

// AgentResponsive reports that an unresponsive agent answers again.
type AgentResponsive struct{ Agent AgentID }

// AgentDown reports that the session with an agent was closed.
type AgentDown struct{ Agent AgentID }

// AgentDeselected reports that the entry needs its session with an agent no longer. It comes again until a CloseAgent answers
// it, or AgentWanted takes it back.
type AgentDeselected struct{ Agent AgentID }

// AgentSelected takes back an AgentUnwanted.
type AgentSelected struct{ Agent AgentID }

// WorkerDescribed reports that an agent described its worker.
type WorkerDescribed struct {
	Agent  AgentID
	Record worker.Record
}

// LoadReceived carries the load of a worker, as its agent sent it.
type LoadReceived struct {
	Agent AgentID
	// Handled is the number of the last start that the load counts.
	Handled uint64
	Load    runner.Load
}

// OfferReceived carries the offer of an agent, which keeps the resources until the offer is answered.
type OfferReceived struct {
	Agent AgentID
	Offer runner.Offer
}

// RunUpdated carries the report of an agent that a run began or ended.
type RunUpdated struct {
	Agent  AgentID
	Update runner.Update
}

// WorkerCrashed reports that an incarnation of an agent's worker has crashed, also of one without a session here. It may come
// more than once for one crash.
type WorkerCrashed struct {
	Agent AgentID
	Crash runner.Crash
}

// HandOverTaken reports that another entry has taken a job that was handed over.
type HandOverTaken struct {
	Job string
	// Number is that of the hand-over.
	Number uint64
	// Entry is the name of that entry.
	Entry string
}

// HandOverEnded reports how a job ended that was handed over.
type HandOverEnded struct {
	Job string
	// Number is that of the hand-over.
	Number uint64
	Result HandOverResult
}

// LearnedReceived carries what another entry has learned of kinds.
type LearnedReceived struct{ Kinds []learned.Kind }

// EvacuationsChanged reports which availability zones are evacuated, as far as this entry knows.
type EvacuationsChanged struct{ State evacuation.State }

// ShutdownRequested reports that the process ends at a given time. Jobs that would end later are refused, and no task
// of a durable job is placed.
type ShutdownRequested struct{ Until time.Time }

// Ticked lets the dispatcher apply the rules that depend on time alone. It comes at short intervals.
type Ticked struct{}

func (Submitted) isEvent()          {}
func (CallerLeft) isEvent()         {}
func (CancelRequested) isEvent()    {}
func (StateRequested) isEvent()     {}
func (DurableAccepted) isEvent()    {}
func (DurableDropped) isEvent()     {}
func (DurableTaskEnded) isEvent()   {}
func (AgentsRegistered) isEvent()   {}
func (AgentUp) isEvent()            {}
func (AgentUnresponsive) isEvent()  {}
func (AgentResponsive) isEvent()    {}
func (AgentDown) isEvent()          {}
func (AgentDeselected) isEvent()    {}
func (AgentSelected) isEvent()      {}
func (WorkerDescribed) isEvent()    {}
func (LoadReceived) isEvent()       {}
func (RunUpdated) isEvent()         {}
func (OfferReceived) isEvent()      {}
func (WorkerCrashed) isEvent()      {}
func (HandOverTaken) isEvent()      {}
func (HandOverEnded) isEvent()      {}
func (LearnedReceived) isEvent()    {}
func (EvacuationsChanged) isEvent() {}
func (ShutdownRequested) isEvent()  {}
func (Ticked) isEvent()             {}
