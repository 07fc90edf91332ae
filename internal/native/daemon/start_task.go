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

const (
	// reportPause lies between two reports of a task whose outcome was lost.
	reportPause = 50 * time.Millisecond
	// lateOutcome is how long after the deadline an outcome is still waited for, so that the load is right.
	lateOutcome = time.Second
)

// startTask asks a guard to start a task and tells the owner the outcome.
func (d *ownerDuty) startTask(ctx context.Context, e owner.StartTask) {
	ctx, cancel := context.WithDeadline(ctx, e.Job.Deadline.Add(lateOutcome))
	defer cancel()
	task := guard.Task{
		ID: e.Task, Owner: string(d.node.self.ID), Service: e.Job.Service, Kind: e.Job.Kind, Urgency: e.Urgency,
		Deadline: e.Job.Deadline, Expected: e.Expected, Due: e.Due, MaxWait: e.MaxWait, Payload: e.Payload, Trace: e.Job.Trace,
	}
	d.recordTask(timeline.TaskSent, task, e.Guard, "")
	outcome := d.outcomeOf(ctx, e.Guard, task)
	d.recordTask(timeline.TaskAnswered, task, e.Guard, describe(outcome))
	d.tell(owner.TaskEnded{Task: e.Task, Guard: e.Guard, Outcome: outcome})
}

// outcomeOf starts a task once at a guard and finds out what became of it.
func (d *ownerDuty) outcomeOf(ctx context.Context, id ownership.MemberID, task guard.Task) model.Outcome {
	if id == d.node.self.ID {
		return d.localOutcome(ctx, task)
	}
	member, ok := d.node.state.Roster().MemberByID(id)
	if !ok {
		return model.TaskNotStarted{Reason: "the agent is not on the roster", Unreachable: true}
	}
	d.node.metrics.Add(metric.MessagesNeeded, 2)
	stopWatching := d.node.watch(ctx, member, func() { d.tell(owner.GuardUnresponsive{Guard: id}) })
	outcome, load, err := d.peers.Start(ctx, member, task)
	stopWatching()
	switch {
	case err == nil:
		d.node.liveness.Heard(id)
		d.tell(owner.LoadSeen{Guard: id, Load: load})
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
		d.node.metrics.Add(metric.MessagesWasted, 2)
	}
}

func (d *ownerDuty) localOutcome(ctx context.Context, task guard.Task) model.Outcome {
	outcome, err := d.guard.start(ctx, task)
	if err != nil {
		return model.TaskFailed{Cause: model.CauseUnknown, Reason: err.Error()}
	}
	d.tell(owner.LoadSeen{Guard: d.node.self.ID, Load: d.guard.load()})
	return outcome
}

// reportUntilKnown asks the guard of a lost reply until it tells the outcome, is gone, or time is up.
func (d *ownerDuty) reportUntilKnown(ctx context.Context, member ownership.Member, task guard.Task) model.Outcome {
	asked := guard.ReportAsked{ID: task.ID, Deadline: task.Deadline, Withdraw: true}
	for {
		d.node.metrics.Add(metric.MessagesWasted, 2)
		d.recordTask(timeline.TaskReported, task, member.ID, "")
		outcome, _, err := d.peers.Report(ctx, member, asked, d.node.self.ID)
		if err == nil {
			return outcome
		}
		if peer.IsRefused(err) {
			return model.TaskFailed{Cause: model.CauseUnknown, Reason: "the agent is gone: " + err.Error()}
		}
		if sleep(ctx, reportPause) != nil {
			return model.TaskFailed{Cause: model.CauseUnknown, Reason: err.Error()}
		}
	}
}

// withdrawTask drops a task that still waits at its guard; the start that waits there hears of it.
func (d *ownerDuty) withdrawTask(ctx context.Context, e owner.WithdrawTask) {
	ctx, cancel := context.WithTimeout(ctx, lateOutcome)
	defer cancel()
	asked := guard.ReportAsked{ID: e.Task, Deadline: e.Deadline, Withdraw: true}
	if e.Guard == d.node.self.ID {
		_, _ = d.guard.ask(ctx, e.Task, asked)
		return
	}
	if member, ok := d.node.state.Roster().MemberByID(e.Guard); ok {
		d.node.metrics.Add(metric.MessagesWasted, 2)
		_, _, _ = d.peers.Report(ctx, member, asked, d.node.self.ID)
	}
}

func (d *ownerDuty) recordTask(kind timeline.Kind, task guard.Task, to ownership.MemberID, detail string) {
	worker := string(to)
	if member, ok := d.node.state.Roster().MemberByID(to); ok {
		worker = member.Name
	}
	d.node.timeline.Add(timeline.Event{
		Kind: kind, Trace: task.Trace, Submission: string(task.ID.Key), Task: int(task.ID.Index), Worker: worker, Detail: detail,
	})
}
