// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package peer

import (
	"time"

	"sailhead/internal/native/model"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer/peerpb"
)

// recordsToWire returns the messages for records.
func recordsToWire(records []ownership.Record) []*peerpb.Record {
	messages := make([]*peerpb.Record, 0, len(records))
	for _, r := range records {
		messages = append(messages, &peerpb.Record{
			Key: string(r.Key), BodyHash: r.Hash[:], Answer: AnswerToWire(r.Answer),
			RefusedAttempt: r.Attempt, Declined: r.Declined, TouchedUnixNs: r.Touched.UnixNano(),
		})
	}
	return messages
}

// RecordsFromWire returns the records of a leaving owner. It drops a record that has no answer and is not declined:
// Table.Handover returns final records only, so a well-formed message has none.
func RecordsFromWire(messages []*peerpb.Record) []ownership.Record {
	records := make([]ownership.Record, 0, len(messages))
	for _, m := range messages {
		r := ownership.Record{
			Key: model.Key(m.GetKey()), Attempt: m.GetRefusedAttempt(), Declined: m.GetDeclined(),
			Touched: time.Unix(0, m.GetTouchedUnixNs()),
		}
		copy(r.Hash[:], m.GetBodyHash())
		answer, err := AnswerFromWire(m.GetAnswer())
		if err != nil && !r.Declined {
			continue
		}
		r.Answer = answer
		records = append(records, r)
	}
	return records
}

// bindingsToWire returns the messages for bindings.
func bindingsToWire(bindings map[model.Key]ownership.Binding) []*peerpb.Binding {
	messages := make([]*peerpb.Binding, 0, len(bindings))
	for key, b := range bindings {
		messages = append(messages, &peerpb.Binding{
			Key: string(key), Owner: string(b.Owner), Promised: b.Promised,
			Sent: b.Taken || b.Unconfirmed > 0, TouchedUnixNs: b.Touched.UnixNano(),
		})
	}
	return messages
}

// BindingsFromWire returns the bindings of a leaving entry. A key that was sent counts as taken, as its owner may have it.
func BindingsFromWire(messages []*peerpb.Binding) map[model.Key]ownership.Binding {
	bindings := make(map[model.Key]ownership.Binding, len(messages))
	for _, m := range messages {
		bindings[model.Key(m.GetKey())] = ownership.Binding{
			Owner: ownership.MemberID(m.GetOwner()), Promised: m.GetPromised(), Taken: m.GetSent(),
			Touched: time.Unix(0, m.GetTouchedUnixNs()),
		}
	}
	return bindings
}
