// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"time"

	"sailhead/internal/native/model"
)

// Leave begins the planned stop of the owner: from then on it declines every unknown key.
func (t *Table) Leave() {
	t.leaving = true
}

// Record is a submission as an heir gets it.
type Record struct {
	Key    model.Key
	Hash   model.Hash
	Answer model.Answer
	// Attempt is the highest attempt that got the answer NotRun.
	Attempt  uint32
	Declined bool
	Touched  time.Time
}

// Handover returns the records for each heir and the epoch of the roster in use. The caller waits until nothing runs,
// and removes this owner from the roster only under that epoch, as heirs change with it. The table inherits no records
// until Reopen.
//
// Rule: the heir of a key is its first choice among the other agents.
//
// Reason: entries find the heir from the roster alone (Roster.heirOf).
func (t *Table) Handover() (map[MemberID][]Record, uint64) {
	t.handedOver = true
	heirs := make(map[MemberID][]Record)
	for key, r := range t.records {
		heir, ok := t.successor(key)
		if !ok || r.isUnderWay() {
			continue
		}
		heirs[heir.ID] = append(heirs[heir.ID], Record{
			Key: key, Hash: r.hash, Answer: r.answer, Attempt: r.attempt,
			Declined: r.state == stateDeclined, Touched: r.touched,
		})
	}
	return heirs, t.roster.Epoch
}

// Reopen allows inheriting again after a hand-over that failed. The next Handover returns all records again.
func (t *Table) Reopen() {
	t.handedOver = false
}

// successor returns the first choice for a key among the other agents.
func (t *Table) successor(key model.Key) (Member, bool) {
	for _, agent := range t.roster.Choices(key) {
		if agent.ID != t.self {
			return agent, true
		}
	}
	return Member{}, false
}

// Inherit adds the records of an owner that leaves. It returns the keys whose fences the records end, and false, with
// nothing added, if there is no room for all or if this table has handed its own records over.
//
// Inputs: the own and the inherited record of each key.
//
// Rule: an inherited answer is added if the key is unknown, declined, or being fenced; in the last case it ends the
// fence. A running or answered key keeps its own record; of two refusals the later attempt counts. An inherited decline
// is not added.
//
// Reason: entries promise the key to the heir from now on, so a fence would succeed although the key has an answer. A
// decline binds only the owner that gave it.
func (t *Table) Inherit(records []Record) (ended []model.Key, ok bool) {
	if t.handedOver || len(t.records)+len(records) > t.limits.Entries {
		return nil, false
	}
	for _, inherited := range records {
		own, known := t.records[inherited.Key]
		r := inherited.record()
		if known && own.state == stateNotRun && r.state == stateNotRun {
			// A hand-over that is made again may have a later refusal.
			own.attempt = max(own.attempt, r.attempt)
			continue
		}
		if inherited.Declined || known && own.state != stateDeclined && own.state != stateFencing {
			continue
		}
		if known && own.state == stateFencing {
			t.running--
			r.attempt = max(r.attempt, own.attempt)
			ended = append(ended, inherited.Key)
		}
		t.records[inherited.Key] = r
	}
	return ended, true
}

// record returns the inherited record as the table keeps it.
func (r Record) record() *record {
	state := stateFinal
	if _, refused := r.Answer.(model.NotRun); refused {
		state = stateNotRun
	}
	return &record{state: state, hash: r.Hash, answer: r.Answer, attempt: r.Attempt, touched: r.Touched}
}

// Resolve returns the answer to a job whose fence an inherited record has ended.
func (t *Table) Resolve(job model.Job) model.Answer {
	r, ok := t.records[job.Key]
	switch {
	case !ok:
		return model.Failed{Reason: "the submission is not known any more", MayHaveRun: true}
	case r.state == stateFinal && r.hash != job.Hash():
		return rejectedBody()
	default:
		return r.answer
	}
}
