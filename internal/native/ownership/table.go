// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"time"

	"sailhead/internal/native/model"
)

// FieldDeadline is the field of a job that a rejection for a deadline in the past names.
const FieldDeadline = "deadline"

// Offer is a submission that an entry forwards to an owner.
type Offer struct {
	Job       model.Job
	Forwarder MemberID
	Owner     MemberID
	Epoch     uint64
}

// Decision is what an owner does with an offer: Reply, Join, Run, Ask, Decline or Refuse.
type Decision interface{ isDecision() }

// Reply answers at once.
type Reply struct{ Answer model.Answer }

// Join waits for the answer of the same submission, already under way.
type Join struct{}

// Run starts the job; this owner alone may do so.
type Run struct{}

// Ask fences the key at the entries; the job runs once all have promised.
type Ask struct{ Entries []Member }

// Decline says that this owner will never take the key.
type Decline struct {
	BoundTo MemberID
	Reason  string
}

// Refuse says that this one offer was not taken.
type Refuse struct{ Reason string }

func (Reply) isDecision()   {}
func (Join) isDecision()    {}
func (Run) isDecision()     {}
func (Ask) isDecision()     {}
func (Decline) isDecision() {}
func (Refuse) isDecision()  {}

// recordState is how far a submission has come at its owner.
type recordState int

const (
	stateFencing recordState = iota
	stateRunning
	stateFinal
	stateNotRun
	stateDeclined
)

// record is what an owner remembers of a submission.
type record struct {
	state  recordState
	hash   model.Hash
	answer model.Answer
	// attempt is the highest attempt that was offered while the submission was under way, or refused.
	attempt uint32
	touched time.Time
	fence   *fence
	// boundTo names the owner for which the key was declined, if known.
	boundTo MemberID
}

// Table holds the submissions of one owner. It is not safe for concurrent use.
type Table struct {
	self    MemberID
	limits  Limits
	roster  Roster
	records map[model.Key]*record
	// refusedUntil is the latest time of a refusal that found no room to be remembered:
	// a key issued before it stays refused.
	refusedUntil time.Time
	leaving      bool
	// handing is set from the hand-over on; what is inherited later would not be in it.
	handing bool
	running int
}

// NewTable returns an empty table.
func NewTable(self MemberID, limits Limits) *Table {
	return &Table{self: self, limits: limits, records: make(map[model.Key]*record)}
}

// SetRoster takes a newer roster into use and reports whether it did.
func (t *Table) SetRoster(roster Roster) bool {
	if roster.Revision <= t.roster.Revision {
		return false
	}
	t.roster = roster
	return true
}

// Roster returns the roster in use.
func (t *Table) Roster() Roster {
	return t.roster
}

// Len returns the number of submissions remembered.
func (t *Table) Len() int {
	return len(t.records)
}

// Running returns the number of submissions without a final answer.
func (t *Table) Running() int {
	return t.running
}

// Lookup returns the final answer of a key, or whether the key is under way.
func (t *Table) Lookup(key model.Key) (answer model.Answer, underWay bool) {
	r, ok := t.records[key]
	if !ok || r.state == stateDeclined {
		return nil, false
	}
	return r.answer, r.state == stateFencing || r.state == stateRunning
}

// Take decides on an offer.
func (t *Table) Take(now time.Time, offer Offer) Decision {
	if offer.Owner != t.self {
		return Refuse{Reason: "the offer names another incarnation"}
	}
	if r, ok := t.records[offer.Job.Key]; ok {
		r.touched = now
		return t.takeKnown(now, r, offer)
	}
	if t.leaving {
		return Decline{Reason: "the owner is leaving"}
	}
	if offer.Epoch < t.roster.Epoch {
		return Refuse{Reason: "the offer carries an old epoch"}
	}
	if offer.Epoch > t.roster.Epoch {
		return Refuse{Reason: "the owner has not seen the epoch of the offer"}
	}
	return t.takeNew(now, offer)
}

func (t *Table) takeKnown(now time.Time, r *record, offer Offer) Decision {
	switch {
	case r.state == stateDeclined:
		return Decline{BoundTo: r.boundTo, Reason: "the key was declined before"}
	case r.state == stateNotRun && offer.Job.Attempt <= r.attempt:
		return Reply{Answer: r.answer}
	case r.state == stateNotRun:
		return t.rerun(now, r, offer)
	case r.hash != offer.Job.Hash():
		return Reply{Answer: rejectedBody()}
	case r.state == stateFinal:
		return Reply{Answer: r.answer}
	default:
		r.attempt = max(r.attempt, offer.Job.Attempt)
		return Join{}
	}
}

// rerun takes a later attempt of a submission that was refused here before.
func (t *Table) rerun(now time.Time, r *record, offer Offer) Decision {
	if t.handing {
		// The heirs have the record already, and would not know of a refusal.
		return Refuse{Reason: "the owner has handed its records over"}
	}
	if t.leaving {
		// The refusal goes to the heirs with the record, so that it is final there too.
		r.attempt = offer.Job.Attempt
		r.answer = model.NotRun{Reason: "the owner is leaving", RetryAfter: time.Second}
		return Reply{Answer: r.answer}
	}
	if !offer.Job.Deadline.After(now) {
		return Reply{Answer: rejectedDeadline()}
	}
	r.state = stateRunning
	r.hash = offer.Job.Hash()
	r.answer = nil
	t.running++
	return Run{}
}

func (t *Table) takeNew(now time.Time, offer Offer) Decision {
	key := offer.Job.Key
	switch t.limits.AgeOf(key, now) {
	case AgeExpired:
		return Reply{Answer: model.Failed{Reason: "the submission key is older than the window", MayHaveRun: true}}
	case AgeFuture:
		return Refuse{Reason: "the key was issued in the future"}
	case AgeAccepted:
	}
	if !offer.Job.Deadline.After(now) {
		return Reply{Answer: rejectedDeadline()}
	}
	if !t.limits.issueTime(key, now).After(t.refusedUntil) {
		return t.refuseUnrecorded(t.refusedUntil)
	}
	if len(t.records) >= t.limits.Entries {
		return t.refuseUnrecorded(now.Add(t.limits.Skew))
	}
	return t.claim(now, offer)
}

// refuseUnrecorded refuses a key without a record and every other unknown key issued until then.
func (t *Table) refuseUnrecorded(until time.Time) Decision {
	if until.After(t.refusedUntil) {
		t.refusedUntil = until
	}
	return Reply{Answer: model.NotRun{
		Reason:     "the owner's table is full; come back under a new submission key",
		RetryAfter: t.limits.margin() + time.Second,
	}}
}

// Finish records the final answer of a running submission.
func (t *Table) Finish(now time.Time, key model.Key, attempt uint32, answer model.Answer) {
	r, ok := t.records[key]
	if !ok || r.state != stateRunning {
		return
	}
	t.running--
	r.touched = now
	r.answer = answer
	r.state = stateFinal
	if _, refused := answer.(model.NotRun); refused {
		r.state = stateNotRun
		r.attempt = max(r.attempt, attempt)
	}
}

// Expire forgets the final submissions that were last touched before the retention time.
func (t *Table) Expire(now time.Time) {
	before := now.Add(-t.limits.Retention())
	for key, r := range t.records {
		if r.state >= stateFinal && r.touched.Before(before) {
			delete(t.records, key)
		}
	}
}

func rejectedBody() model.Answer {
	return model.Rejected{Field: "submission", Reason: "the key was used for another job"}
}

func rejectedDeadline() model.Answer {
	return model.Rejected{Field: FieldDeadline, Reason: "the deadline has passed"}
}
