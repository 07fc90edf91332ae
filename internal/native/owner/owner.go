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

// suspendTime is how long a worker whose agent was not reached, or is silent, gets no tasks.
const suspendTime = time.Second

// maxTries is at how many guards a task is tried that none of them has started.
const maxTries = 4

// Owner runs the submissions of one agent. It is not safe for concurrent use.
type Owner struct {
	table         *ownership.Table
	view          *placement.View
	estimator     *admission.Estimator
	quotas        *quotas
	configuration configuration.Configuration
	jobs          map[model.Key]*job
	random        *rand.Rand
	bounces       Bounces
}

// Bounces say how a task that would wait at one worker is sent on to another. Each costs two messages.
type Bounces struct {
	// Most is the largest number of workers that may send a task on; 0 is none.
	Most int
	// Wait is the expected wait beyond which they do.
	Wait time.Duration
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

// Table returns the submission table, to be read only.
func (o *Owner) Table() *ownership.Table {
	return o.table
}

// Handle takes in an event and returns its effects in order.
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
	case GuardSilent:
		o.view.Suspend(e.Guard, now.Add(suspendTime))
	case Inherited:
		return o.inherit(e)
	case LeaveAsked:
		o.table.Leave()
	case Ticked:
		o.table.Expire(now)
	}
	return nil
}

// inherit takes a leaving owner's records and answers the submissions that waited for a fence.
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

func (o *Owner) seeRoster(now time.Time, roster ownership.Roster) {
	if o.table.SetRoster(roster) {
		o.refresh(now)
	}
}

func (o *Owner) seeConfiguration(now time.Time, seen configuration.Configuration) {
	if seen.Version > o.configuration.Version {
		o.configuration = seen
		o.refresh(now)
	}
}

// refresh brings the view and the quotas in line with the roster and the configuration.
func (o *Owner) refresh(now time.Time) {
	agents := o.table.Roster().Listed(ownership.RoleAgent)
	o.view.SetMembers(agents, o.configuration.IsDraining)
	o.quotas.set(now, o.configuration.Teams, len(agents))
}

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
		// A new submission whose fence cannot succeed is declined at once.
		return respond(Declined{BoundTo: d.BoundTo, Reason: d.Reason}, e.Waiter)
	case ownership.Refuse:
		return respond(Refused{Reason: d.Reason}, e.Waiter)
	case ownership.Reply:
		return respond(Answered{Answer: d.Answer}, e.Waiter)
	default:
		return nil
	}
}

func respond(response Response, waiters ...Waiter) []Effect {
	return []Effect{Respond{Waiters: waiters, Response: response}}
}

// proceed carries out the decision on a submission that is under way.
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

func (o *Owner) askFences(now time.Time, key model.Key, entries []ownership.Member) []Effect {
	var effects []Effect
	epoch := o.table.Roster().Epoch
	for _, entry := range entries {
		effects = append(effects, AskFence{Key: key, Entry: entry, Epoch: epoch, Until: now.Add(ownership.FenceTime)})
	}
	return effects
}

func (o *Owner) fenceAnswer(now time.Time, e FenceAnswered) []Effect {
	decision, ok := o.table.Fenced(now, e.Key, e.Entry, e.Verdict, e.Epoch)
	if !ok {
		return nil
	}
	return o.proceed(now, e.Key, decision)
}

// run admits the whole job and places every task, or answers why not.
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
		if _, live := o.jobs[j.model.Key]; !live {
			return effects
		}
	}
	return effects
}

// refuse looks at the whole job before its first start.
func (o *Owner) refuse(now time.Time, j *job, kind configuration.Kind) (model.NotRun, bool) {
	estimate := o.estimator.Of(kindName(j.model), kind.Expected)
	need, ok := o.view.Finish(now, len(j.model.Tasks), kind.Urgency, estimate)
	if !ok {
		return model.NotRun{Reason: "no worker accepts tasks", RetryAfter: admission.ComeBack(time.Second, o.random)}, true
	}
	left := j.model.Deadline.Sub(now)
	if need > left {
		reason := fmt.Sprintf("the job needs about %s and has %s", need.Round(time.Millisecond), left.Round(time.Millisecond))
		return model.NotRun{Reason: reason, RetryAfter: admission.ComeBack(need, o.random)}, true
	}
	if wait, ok := o.quotas.take(now, j.model.Team, len(j.model.Tasks)); !ok {
		return model.NotRun{Reason: "the team is over its quota", RetryAfter: admission.ComeBack(wait, o.random), OverQuota: true}, true
	}
	return model.NotRun{}, false
}

// sizeWeight is how many mean service times later a job is due that would fill every slot once.
const sizeWeight = 32

// dueTime puts small jobs of an urgency before large ones that came a little earlier, so that a single task does not
// wait for all the tasks of a large job. Time passes for both, so no job waits for ever.
func (o *Owner) dueTime(now time.Time, j *job) time.Time {
	mean := o.estimator.Of(kindName(j.model), j.kind.Expected).Mean
	size := float64(len(j.tasks)) / float64(max(o.view.Slots(), 1))
	due := now.Add(mean + time.Duration(sizeWeight*size*float64(mean)))
	if due.After(j.model.Deadline) {
		return j.model.Deadline
	}
	return due
}

func kindName(j model.Job) string {
	return j.Service + "/" + j.Kind
}

// place sends a task to a guard that has not refused it, or gives the job up.
func (o *Owner) place(now time.Time, j *job, index int) []Effect {
	t := &j.tasks[index]
	guard, ok := o.view.Place(now, j.kind.Urgency, t.tried)
	if !ok || len(t.tried) >= maxTries {
		return o.giveUp(now, j, index)
	}
	t.guard = guard
	t.tried = append(t.tried, guard)
	o.view.Sent(guard)
	return []Effect{StartTask{
		Task: j.taskID(index), Guard: guard, Job: j.model, Urgency: j.kind.Urgency,
		Expected: j.kind.Expected, Due: j.due, MaxWait: o.maxWait(now, j, t), Payload: j.model.Tasks[index],
	}}
}

// maxWait is the wait beyond which the worker sends a task on; it does not while no other seems to have a free slot.
func (o *Owner) maxWait(now time.Time, j *job, t *task) time.Duration {
	if len(t.tried) > o.bounces.Most || !o.view.HasFree(now, j.kind.Urgency, t.tried) {
		return 0
	}
	return o.bounces.Wait
}

// giveUp ends a job of which one task finds no worker.
func (o *Owner) giveUp(now time.Time, j *job, index int) []Effect {
	if !j.mayHaveRun && len(j.outstanding()) == 0 {
		return o.finish(now, j, model.NotRun{
			Reason:     "no worker can end the job in time",
			RetryAfter: max(j.retryAfter, admission.ComeBack(j.kind.Expected, o.random)),
		})
	}
	reason := fmt.Sprintf("task %d found no worker that can end it in time", index)
	return o.fail(now, j, model.Failed{Reason: reason, MayHaveRun: true})
}

// fail answers at once and withdraws the tasks that still wait.
func (o *Owner) fail(now time.Time, j *job, answer model.Failed) []Effect {
	var effects []Effect
	for _, i := range j.outstanding() {
		effects = append(effects, WithdrawTask{Task: j.taskID(i), Guard: j.tasks[i].guard, Deadline: j.model.Deadline})
	}
	return append(o.finish(now, j, answer), effects...)
}

func (o *Owner) finish(now time.Time, j *job, answer model.Answer) []Effect {
	delete(o.jobs, j.model.Key)
	o.table.Finish(now, j.model.Key, j.model.Attempt, answer)
	return respond(Answered{Answer: answer}, j.waiters...)
}

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
			o.view.Suspend(e.Guard, now.Add(suspendTime))
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

// deadline answers a job whose time is up.
func (o *Owner) deadline(now time.Time, key model.Key) []Effect {
	j, ok := o.jobs[key]
	if !ok {
		return nil
	}
	if now.Before(j.model.Deadline) {
		return []Effect{WatchDeadline{Key: key, At: j.model.Deadline}}
	}
	if !j.started {
		// A fence is still open: its own time limit ends it.
		return []Effect{WatchDeadline{Key: key, At: now.Add(ownership.FenceTime)}}
	}
	return o.fail(now, j, model.Failed{Reason: "the deadline passed", MayHaveRun: true, TimedOut: true})
}
