// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package owner

import (
	"fmt"
	"time"

	"sailhead/internal/native/admission"
	"sailhead/internal/native/configuration"
	"sailhead/internal/native/model"
)

// noWorkerBacklog is the backlog assumed for the retry-after of a job that no worker accepts.
const noWorkerBacklog = time.Second

// refuse decides whether a job is refused before its first start, and returns the answer if it is.
//
// Inputs: the number of tasks, the urgency and the deadline of the job; the service times of its kind; the loads of the
// workers that accept tasks; this owner's part of the organisation's quota.
//
// Rule: a job is refused if no worker accepts tasks, if its last task is expected to end after the deadline
// (placement.View.Finish), or if the quota has too few task starts left. The quota is asked last, so that a job
// refused for another reason uses none of it.
//
// Reason: a job is answered whole, so the tasks of a job that ends too late are wasted work. A refusal before the
// first start costs nothing and lets the caller retry; a refusal by a guard comes after other tasks have started.
func (o *Owner) refuse(now time.Time, j *job, kind configuration.Kind) (answer model.NotRun, isRefused bool) {
	tasks := len(j.model.Tasks)
	estimate := o.estimator.Of(kindName(j.model), kind.Expected)
	need, ok := o.view.Finish(now, tasks, kind.Urgency, estimate)
	if !ok {
		return model.NotRun{Reason: "no worker accepts tasks", RetryAfter: admission.RetryAfter(noWorkerBacklog, o.random)}, true
	}
	left := j.model.Deadline.Sub(now)
	if need > left {
		reason := fmt.Sprintf("the job needs about %s and has %s", need.Round(time.Millisecond), left.Round(time.Millisecond))
		return model.NotRun{Reason: reason, RetryAfter: admission.RetryAfter(need, o.random)}, true
	}
	if wait, ok := o.quotas.take(now, j.model.Team, tasks); !ok {
		return model.NotRun{Reason: "the team is over its quota", RetryAfter: admission.RetryAfter(wait, o.random), OverQuota: true}, true
	}
	return model.NotRun{}, false
}
