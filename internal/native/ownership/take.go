// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"time"

	"sailhead/internal/native/model"
)

// FieldDeadline is the field that the Rejected answer to a passed deadline names.
const FieldDeadline = "deadline"

// minRetryAfter is the retry-after of refusals by a leaving owner or a full table.
const minRetryAfter = time.Second

// Offer is a submission that an entry forwards to an owner.
type Offer struct {
	Job model.Job
	// Forwarder is the entry that has bound the key to the owner.
	Forwarder MemberID
	// Owner is the incarnation of the agent that the entry means.
	Owner MemberID
	// Epoch is that of the roster that the entry used.
	Epoch uint64
}

// Decision is what an owner does with an offer. It is one of Reply, Join, Run, Ask, Decline and Refuse.
type Decision interface{ isDecision() }

// Reply sends an answer that is known already.
type Reply struct{ Answer model.Answer }

// Join waits for the answer of the same submission, which is under way already.
type Join struct{}

// Run starts the job. No other owner does.
type Run struct{}

// Ask asks entries for their promise. The job runs after all have promised.
type Ask struct{ Entries []Member }

// Decline refuses the key permanently: this owner will never run it. BoundTo is the owner that may, if known.
type Decline struct {
	BoundTo MemberID
	Reason  string
}

// Refuse refuses this offer. Another offer of the key may be accepted.
type Refuse struct{ Reason string }

func (Reply) isDecision()   {}
func (Join) isDecision()    {}
func (Run) isDecision()     {}
func (Ask) isDecision()     {}
func (Decline) isDecision() {}
func (Refuse) isDecision()  {}

// Take decides on an offer.
//
// Inputs: the record of the key, the roster and its epoch, the issue time and the deadline of the job, Limits.
//
// Rule: in this order:
//
//	an offer to another incarnation     Refuse
//	a known key                         takeKnown
//	this owner is leaving               Decline
//	the epochs differ                   Refuse; the side with the lower epoch gets the newer roster
//	issued before the window            Reply with Failed, as the key may have run
//	issued too far in the future        Refuse
//	the deadline has passed             Reply with Rejected
//	issued before an unrecorded refusal Reply with NotRun
//	the table is full                   Reply with NotRun (refuseUnrecorded)
//	otherwise                           Run or Ask (accept)
//
// Reason: a key is accepted only under the epoch of the entry that forwards it, so that both agree who was first
// choice.
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

// takeKnown decides on an offer of a key with a record. A NotRun answer is final for its attempt: a copy of that
// attempt, or of an earlier one, gets the same answer, and only a later attempt may run.
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

// rerun decides on a later attempt of a submission that was refused here before. It needs no fence: the key
// was settled or fenced for the earlier attempt, and bindings that were taken or promised since then do not move.
func (t *Table) rerun(now time.Time, r *record, offer Offer) Decision {
	if t.handedOver {
		// The heirs have the record already; they would not know of a later refusal.
		return Refuse{Reason: "the owner has handed its records over"}
	}
	if t.leaving {
		// The heirs get this refusal with the record, so that it is final there too.
		r.attempt = offer.Job.Attempt
		r.answer = model.NotRun{Reason: "the owner is leaving", RetryAfter: minRetryAfter}
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

// takeNew decides on an offer of a key without a record.
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
	return t.accept(now, offer)
}

// refuseUnrecorded refuses a key that the full table cannot record, and with it every unknown key issued until then.
//
// Inputs: until, the latest issue time that the key can have.
//
// Reason: a refusal must be final, or a late copy of the offer could run after the caller was told that it did not. One
// time is enough to remember it. The caller needs a key issued later, hence the retry-after.
func (t *Table) refuseUnrecorded(until time.Time) Decision {
	if until.After(t.refusedUntil) {
		t.refusedUntil = until
	}
	return Reply{Answer: model.NotRun{
		Reason:     "the owner's table is full; come back under a new submission key",
		RetryAfter: t.limits.margin() + minRetryAfter,
	}}
}

// rejectedBody is the answer to a key that was used for another job before.
func rejectedBody() model.Answer {
	return model.Rejected{Field: "submission", Reason: "the key was used for another job"}
}

// rejectedDeadline is the answer to a job whose deadline has passed.
func rejectedDeadline() model.Answer {
	return model.Rejected{Field: FieldDeadline, Reason: "the deadline has passed"}
}
