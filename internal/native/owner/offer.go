// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package owner

import (
	"time"

	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
)

// This file applies the decisions of ownership.Table: from an offer, through the fence if there is one, to the run.

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
