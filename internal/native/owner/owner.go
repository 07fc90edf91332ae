// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package owner

import (
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
