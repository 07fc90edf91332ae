// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package ownership

import (
	"time"

	"sailhead/internal/native/model"
)

// Leave makes the owner decline every new key from now on.
func (t *Table) Leave() {
	t.leaving = true
}

// Record is one submission as an heir takes it over.
type Record struct {
	Key      model.Key
	Hash     model.Hash
	Answer   model.Answer
	Attempt  uint32
	Declined bool
	Touched  time.Time
}

// Handover returns the records for each heir under the current roster, once nothing is running.
// From then on the table inherits nothing.
func (t *Table) Handover() (map[MemberID][]Record, uint64) {
	t.handing = true
	heirs := make(map[MemberID][]Record)
	for key, r := range t.records {
		heir, ok := t.successor(key)
		if !ok || r.state < stateFinal {
			continue
		}
		heirs[heir.ID] = append(heirs[heir.ID], Record{
			Key: key, Hash: r.hash, Answer: r.answer, Attempt: r.attempt,
			Declined: r.state == stateDeclined, Touched: r.touched,
		})
	}
	return heirs, t.roster.Epoch
}

// Reopen lets the table inherit again after a hand-over that failed; the next one gives everything anew.
func (t *Table) Reopen() {
	t.handing = false
}

// successor returns the first choice among the other agents.
func (t *Table) successor(key model.Key) (Member, bool) {
	for _, agent := range t.roster.Choices(key) {
		if agent.ID != t.self {
			return agent, true
		}
	}
	return Member{}, false
}

// Inherit takes the records of a leaving owner and reports whether there was room. It returns the keys
// whose fences have ended with an inherited record: the entries promise them to the heir from now on.
func (t *Table) Inherit(records []Record) (ended []model.Key, ok bool) {
	if t.handing || len(t.records)+len(records) > t.limits.Entries {
		return nil, false
	}
	for _, inherited := range records {
		own, known := t.records[inherited.Key]
		r := inherited.record()
		if known && own.state == stateNotRun && r.state == stateNotRun {
			// A hand-over that failed and is made again may bring a later refusal.
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

func (r Record) record() *record {
	state := stateFinal
	if _, refused := r.Answer.(model.NotRun); refused {
		state = stateNotRun
	}
	return &record{state: state, hash: r.Hash, answer: r.Answer, attempt: r.Attempt, touched: r.Touched}
}

// Resolve returns the answer to a job whose fence has ended with an inherited record.
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
