// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"fmt"
	"time"

	"sailhead/internal/native/guard"
	"sailhead/internal/native/model"
	"sailhead/internal/native/owner"
	"sailhead/internal/native/ownership"
	"sailhead/internal/timeline"
)

// record adds an event of a job to the time line.
func (n *node) record(kind timeline.Kind, job model.Job, detail string) {
	n.timeline.Add(timeline.Event{Kind: kind, Trace: job.Trace, Submission: string(job.Key), Task: timeline.NoTask, Detail: detail})
}

// recordTask adds an event of a task that is to run at a guard.
func (n *node) recordTask(kind timeline.Kind, task guard.Task, to ownership.MemberID, detail string) {
	worker := string(to)
	if member, ok := n.state.Roster().MemberByID(to); ok {
		worker = member.Name
	}
	n.timeline.Add(timeline.Event{
		Kind: kind, Trace: task.Trace, Submission: string(task.ID.Key), Task: int(task.ID.Index), Worker: worker, Detail: detail,
	})
}

// describeOutcome returns an outcome as the detail of an event.
func describeOutcome(outcome model.Outcome) string {
	switch o := outcome.(type) {
	case model.TaskDone:
		return fmt.Sprintf("done in %s", o.ServiceTime.Round(time.Millisecond))
	case model.TaskNotStarted:
		return "not started: " + o.Reason
	case model.TaskFailed:
		return string(o.Cause) + ": " + o.Reason
	default:
		return ""
	}
}

// describeResponse returns a response as the detail of an event.
func describeResponse(response owner.Response) string {
	switch r := response.(type) {
	case owner.Answered:
		return model.Status(r.Answer)
	case owner.Declined:
		return "declined: " + r.Reason
	case owner.Refused:
		return "refused: " + r.Reason
	default:
		return ""
	}
}
