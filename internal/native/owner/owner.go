// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package owner

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sailhead/internal/native/admission"
	"sailhead/internal/native/configuration"
	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/placement"
)

// Owner runs the submissions of one agent. It is not safe for concurrent use.
type Owner struct {
	table         *ownership.Table
	view          *placement.View
	estimator     *admission.Estimator
	quotas        *quotas
	configuration configuration.Configuration
	// jobs are the submissions without an answer, fencing or running.
	jobs    map[model.Key]*job
	random  *rand.Rand
	bounces Bounces
}

// New returns an owner without submissions.
func New(table *ownership.Table, view *placement.View, bounces Bounces, random *rand.Rand) *Owner {
	return &Owner{
		bounces:   bounces,
		table:     table,
		view:      view,
		estimator: admission.NewEstimator(),
		quotas:    newQuotas(),
		jobs:      make(map[model.Key]*job),
		random:    random,
	}
}

// Table returns the submission table, for inspection and for the hand-over of a planned stop. Offers, verdicts and
// inherited records go through Handle.
func (o *Owner) Table() *ownership.Table {
	return o.table
}

// Handle applies one event and returns its effects in order.
func (o *Owner) Handle(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Offered:
		return o.offer(now, e)
	case FenceAnswered:
		return o.fenceAnswer(now, e)
	case TaskEnded:
		return o.taskEnd(now, e)
	case DeadlinePassed:
		return o.deadline(now, e.Key)
	case RosterSeen:
		o.seeRoster(now, e.Roster)
	case ConfigurationSeen:
		o.seeConfiguration(now, e.Configuration)
	case LoadSeen:
		o.view.Observe(e.Guard, e.Load)
	case GuardUnresponsive:
		o.suspend(now, e.Guard)
	case Inherited:
		return o.inherit(e)
	case LeaveAsked:
		o.table.Leave()
	case Ticked:
		o.table.Expire(now)
	}
	return nil
}

// inherit adds the records of an owner that leaves, and answers the jobs whose fences the records end.
func (o *Owner) inherit(e Inherited) []Effect {
	ended, ok := o.table.Inherit(e.Records)
	e.Done(ok)
	var effects []Effect
	for _, key := range ended {
		j := o.jobs[key]
		delete(o.jobs, key)
		effects = append(effects, respond(Answered{Answer: o.table.Resolve(j.model)}, j.waiters...)...)
	}
	return effects
}

// seeRoster applies a roster if it is newer than the one in use.
func (o *Owner) seeRoster(now time.Time, roster ownership.Roster) {
	if o.table.SetRoster(roster) {
		o.refresh(now)
	}
}

// seeConfiguration applies a configuration if it is newer than the one in use.
func (o *Owner) seeConfiguration(now time.Time, seen configuration.Configuration) {
	if seen.Version > o.configuration.Version {
		o.configuration = seen
		o.refresh(now)
	}
}

// refresh updates the view and the quotas after a change of the roster or the configuration.
func (o *Owner) refresh(now time.Time) {
	agents := o.table.Roster().Listed(ownership.RoleAgent)
	o.view.SetMembers(agents, o.configuration.IsDraining)
	o.quotas.set(now, o.configuration.Teams, len(agents))
}

// offer applies the table's decision on a submission that an entry forwards.
func (o *Owner) offer(now time.Time, e Offered) []Effect {
	decision := o.table.Take(now, e.Offer)
	switch d := decision.(type) {
	case ownership.Join:
		j := o.jobs[e.Offer.Job.Key]
		j.waiters = append(j.waiters, e.Waiter)
		return nil
	case ownership.Run, ownership.Ask:
		o.jobs[e.Offer.Job.Key] = newJob(e.Offer.Job, e.Waiter)
		watch := WatchDeadline{Key: e.Offer.Job.Key, At: e.Offer.Job.Deadline}
		return append([]Effect{watch}, o.proceed(now, e.Offer.Job.Key, decision)...)
	case ownership.Decline:
		// Declined before, or a new key whose fence cannot succeed.
		return respond(Declined{BoundTo: d.BoundTo, Reason: d.Reason}, e.Waiter)
	case ownership.Refuse:
		return respond(Refused{Reason: d.Reason}, e.Waiter)
	case ownership.Reply:
		return respond(Answered{Answer: d.Answer}, e.Waiter)
	default:
		return nil
	}
}

// respond returns the effect of one response to all waiters.
func respond(response Response, waiters ...Waiter) []Effect {
	return []Effect{Respond{Waiters: waiters, Response: response}}
}

// proceed applies a decision to a job without an answer.
func (o *Owner) proceed(now time.Time, key model.Key, decision ownership.Decision) []Effect {
	switch d := decision.(type) {
	case ownership.Ask:
		return o.askFences(now, key, d.Entries)
	case ownership.Run:
		return o.run(now, o.jobs[key])
	case ownership.Decline:
		j := o.jobs[key]
		delete(o.jobs, key)
		return respond(Declined{BoundTo: d.BoundTo, Reason: d.Reason}, j.waiters...)
	default:
		return nil
	}
}

// askFences asks each entry to promise the key to this owner.
func (o *Owner) askFences(now time.Time, key model.Key, entries []ownership.Member) []Effect {
	var effects []Effect
	epoch := o.table.Roster().Epoch
	for _, entry := range entries {
		effects = append(effects, AskFence{Key: key, Entry: entry, Epoch: epoch, Until: now.Add(ownership.FenceTimeout)})
	}
	return effects
}

// fenceAnswer applies the verdict of an entry. Verdicts on a fence that has ended are ignored.
func (o *Owner) fenceAnswer(now time.Time, e FenceAnswered) []Effect {
	decision, ok := o.table.Fenced(now, e.Key, e.Entry, e.Verdict, e.Epoch)
	if !ok {
		return nil
	}
	return o.proceed(now, e.Key, decision)
}

// run admits a job and places all its tasks, or answers it with a refusal.
func (o *Owner) run(now time.Time, j *job) []Effect {
	kind, rejected, ok := o.configuration.Check(j.model)
	if !ok {
		return o.finish(now, j, rejected)
	}
	if refusal, refused := o.refuse(now, j, kind); refused {
		return o.finish(now, j, refusal)
	}
	j.prepare(kind)
	j.due = o.dueTime(now, j)
	var effects []Effect
	for i := range j.tasks {
		effects = append(effects, o.place(now, j, i)...)
		if _, underWay := o.jobs[j.model.Key]; !underWay {
			// The task had no worker, which has ended the job.
			return effects
		}
	}
	return effects
}

// fail answers a job as failed and withdraws its tasks from the guards. A task that has started runs to its end.
func (o *Owner) fail(now time.Time, j *job, answer model.Failed) []Effect {
	var effects []Effect
	for _, i := range j.outstanding() {
		effects = append(effects, WithdrawTask{Task: j.taskID(i), Guard: j.tasks[i].guard, Deadline: j.model.Deadline})
	}
	return append(o.finish(now, j, answer), effects...)
}

// finish answers a job and records the answer.
func (o *Owner) finish(now time.Time, j *job, answer model.Answer) []Effect {
	delete(o.jobs, j.model.Key)
	o.table.Finish(now, j.model.Key, j.model.Attempt, answer)
	return respond(Answered{Answer: answer}, j.waiters...)
}

// taskEnd applies the outcome of a task. An outcome that is late or repeated changes nothing but the view.
func (o *Owner) taskEnd(now time.Time, e TaskEnded) []Effect {
	o.view.Returned(e.Guard)
	j, ok := o.jobs[e.Task.Key]
	if !ok || !j.started || int(e.Task.Index) >= len(j.tasks) {
		return nil
	}
	t := &j.tasks[e.Task.Index]
	if t.done || t.guard != e.Guard {
		return nil
	}
	switch outcome := e.Outcome.(type) {
	case model.TaskDone:
		return o.taskDone(now, j, t, outcome)
	case model.TaskNotStarted:
		t.guard = ""
		if outcome.Unreachable {
			o.suspend(now, e.Guard)
		}
		j.retryAfter = max(j.retryAfter, outcome.RetryAfter)
		return o.place(now, j, int(e.Task.Index))
	case model.TaskFailed:
		t.done = true
		j.mayHaveRun = true
		reason := fmt.Sprintf("task %d was %s: %s", e.Task.Index, outcome.Cause, outcome.Reason)
		return o.fail(now, j, model.Failed{Reason: reason, MayHaveRun: true})
	default:
		return nil
	}
}

// taskDone records a result, and completes the job with the last one.
func (o *Owner) taskDone(now time.Time, j *job, t *task, outcome model.TaskDone) []Effect {
	t.done = true
	t.result = outcome.Result
	j.mayHaveRun = true
	j.open--
	o.estimator.Add(kindName(j.model), outcome.ServiceTime)
	if j.open > 0 {
		return nil
	}
	return o.finish(now, j, model.Complete{Results: j.results()})
}

// deadline fails a job whose deadline has passed. DeadlinePassed may come early, as the timer uses another clock
// reading.
func (o *Owner) deadline(now time.Time, key model.Key) []Effect {
	j, ok := o.jobs[key]
	if !ok {
		return nil
	}
	if now.Before(j.model.Deadline) {
		return []Effect{WatchDeadline{Key: key, At: j.model.Deadline}}
	}
	if !j.started {
		// The job is fencing. The fence ends within FenceTimeout; look again after that.
		return []Effect{WatchDeadline{Key: key, At: now.Add(ownership.FenceTimeout)}}
	}
	return o.fail(now, j, model.Failed{Reason: "the deadline passed", MayHaveRun: true, TimedOut: true})
}
