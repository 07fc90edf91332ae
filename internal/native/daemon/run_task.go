// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"context"
	"time"

	"sailhead/internal/metric"
	"sailhead/internal/native/guard"
	"sailhead/internal/native/model"
	"sailhead/internal/native/owner"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer"
	"sailhead/internal/timeline"
)

// What an owner does if it gets no answer to a start:
//
//   - no byte was sent: the task has not started, and the owner may place it elsewhere;
//   - otherwise the task may have started. The owner never repeats the start. It asks the same guard for a report every
//     reportInterval, until the guard answers, its host refuses the connection (the incarnation is gone), or
//     lateOutcomeTimeout after the deadline. A report makes the guard refuse the task if the start has not arrived.
const (
	// reportInterval is the time between two reports of one task.
	reportInterval = 50 * time.Millisecond
	// lateOutcomeTimeout is how long after the job's deadline the owner still waits for an outcome. The job is answered by then, but the
	// outcome says whether the worker's slot is free.
	lateOutcomeTimeout = time.Second
)

// startTask has a guard run a task and posts the outcome.
func (d *ownerDuty) startTask(ctx context.Context, e owner.StartTask) {
	ctx, cancel := context.WithDeadline(ctx, e.Job.Deadline.Add(lateOutcomeTimeout))
	defer cancel()
	task := guard.Task{
		ID: e.Task, Owner: string(d.node.self.ID), Service: e.Job.Service, Kind: e.Job.Kind, Urgency: e.Urgency,
		Deadline: e.Job.Deadline, Expected: e.Expected, Due: e.Due, MaxWait: e.MaxWait, Payload: e.Payload, Trace: e.Job.Trace,
	}
	d.node.recordTask(timeline.TaskSent, task, e.Guard, "")
	outcome := d.runTask(ctx, e.Guard, task)
	d.node.recordTask(timeline.TaskAnswered, task, e.Guard, describeOutcome(outcome))
	d.post(owner.TaskEnded{Task: e.Task, Guard: e.Guard, Outcome: outcome})
}

// runTask starts a task once at a guard and returns its outcome.
func (d *ownerDuty) runTask(ctx context.Context, id ownership.MemberID, task guard.Task) model.Outcome {
	if id == d.node.self.ID {
		return d.runLocally(ctx, task)
	}
	member, ok := d.node.state.Roster().MemberByID(id)
	if !ok {
		return model.TaskNotStarted{Reason: "the agent is not on the roster", Unreachable: true}
	}
	d.node.metrics.Add(metric.MessagesNeeded, messagesPerCall)
	stopProbing := d.node.probeWhileUnresponsive(ctx, member, func() { d.post(owner.GuardUnresponsive{Guard: id}) })
	outcome, load, err := d.peers.Start(ctx, member, task)
	stopProbing()
	switch {
	case err == nil:
		d.node.liveness.Heard(id)
		d.post(owner.LoadSeen{Guard: id, Load: load})
		d.countRefusal(outcome)
		return outcome
	case peer.IsNotSent(err):
		return model.TaskNotStarted{Reason: err.Error(), Unreachable: true}
	default:
		return d.reportUntilKnown(ctx, member, task)
	}
}

// countRefusal counts the messages of a start that a guard refused.
func (d *ownerDuty) countRefusal(outcome model.Outcome) {
	if _, refused := outcome.(model.TaskNotStarted); refused {
		d.node.metrics.Add(metric.MessagesWasted, messagesPerCall)
	}
}

// runLocally runs a task at the guard of this process.
func (d *ownerDuty) runLocally(ctx context.Context, task guard.Task) model.Outcome {
	outcome, err := d.guard.start(ctx, task)
	if err != nil {
		return model.TaskFailed{Cause: model.CauseUnknown, Reason: err.Error()}
	}
	d.post(owner.LoadSeen{Guard: d.node.self.ID, Load: d.guard.load()})
	return outcome
}

// reportUntilKnown asks a guard for the outcome of a task until it answers, has gone, or the context ends.
func (d *ownerDuty) reportUntilKnown(ctx context.Context, member ownership.Member, task guard.Task) model.Outcome {
	asked := guard.ReportAsked{ID: task.ID, Deadline: task.Deadline, Withdraw: true}
	for {
		d.node.metrics.Add(metric.MessagesWasted, messagesPerCall)
		d.node.recordTask(timeline.TaskReported, task, member.ID, "")
		outcome, _, err := d.peers.Report(ctx, member, asked, d.node.self.ID)
		if err == nil {
			return outcome
		}
		if peer.IsRefused(err) {
			return model.TaskFailed{Cause: model.CauseUnknown, Reason: "the agent is gone: " + err.Error()}
		}
		if sleep(ctx, reportInterval) != nil {
			return model.TaskFailed{Cause: model.CauseUnknown, Reason: err.Error()}
		}
	}
}

// withdrawTask removes a task that still waits at its guard. The outcome is not used here: the start that waits for the
// same task gets it too. A withdrawal that fails leaves the task to its deadline.
func (d *ownerDuty) withdrawTask(ctx context.Context, e owner.WithdrawTask) {
	ctx, cancel := context.WithTimeout(ctx, lateOutcomeTimeout)
	defer cancel()
	asked := guard.ReportAsked{ID: e.Task, Deadline: e.Deadline, Withdraw: true}
	if e.Guard == d.node.self.ID {
		_, _ = d.guard.postAndWait(ctx, e.Task, asked)
		return
	}
	if member, ok := d.node.state.Roster().MemberByID(e.Guard); ok {
		d.node.metrics.Add(metric.MessagesWasted, messagesPerCall)
		_, _, _ = d.peers.Report(ctx, member, asked, d.node.self.ID)
	}
}
