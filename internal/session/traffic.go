// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package session

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"sailhead/internal/metric"
	"sailhead/internal/session/sessionpb"
)

// kind is a kind of message.
type kind int

// The kinds of messages, those of an entry first.
const (
	kindOther kind = iota
	kindPong
	kindStart
	kindStop
	kindReserve
	kindOfferAnswer
	kindPing
	kindLoad
	kindUpdate
	kindOffer
	kinds
)

// String returns the name used in metrics.
func (k kind) String() string {
	return [...]string{"other", "pong", "start", "stop", "reserve", "offer_answer", "ping", "load", "update", "offer"}[k]
}

// kindOf returns the kind of a message. Rare messages are counted as kindOther.
func kindOf(message proto.Message) kind {
	switch m := message.(type) {
	case *sessionpb.FromEntry:
		return kindOfEntry(m)
	case *sessionpb.FromAgent:
		return kindOfAgent(m)
	default:
		return kindOther
	}
}

func kindOfEntry(m *sessionpb.FromEntry) kind {
	switch m.Message.(type) {
	case *sessionpb.FromEntry_Pong:
		return kindPong
	case *sessionpb.FromEntry_Start:
		return kindStart
	case *sessionpb.FromEntry_Stop:
		return kindStop
	case *sessionpb.FromEntry_Reserve:
		return kindReserve
	case *sessionpb.FromEntry_OfferAnswer:
		return kindOfferAnswer
	default:
		return kindOther
	}
}

func kindOfAgent(m *sessionpb.FromAgent) kind {
	switch m.Message.(type) {
	case *sessionpb.FromAgent_Ping:
		return kindPing
	case *sessionpb.FromAgent_Load:
		return kindLoad
	case *sessionpb.FromAgent_Update:
		return kindUpdate
	case *sessionpb.FromAgent_Offer:
		return kindOffer
	default:
		return kindOther
	}
}

// Traffic counts the messages of all sessions of a process and their bytes, excluding network protocol headers. It is safe for concurrent
// use.
type Traffic struct {
	sent, received [kinds]volume
}

// NewTraffic returns counters that are exported in the metrics.
func NewTraffic(metrics *metric.Set) *Traffic {
	t := new(Traffic)
	metrics.Show(metric.SessionSent, func() any { return volumes(&t.sent) })
	metrics.Show(metric.SessionReceived, func() any { return volumes(&t.received) })
	return t
}

// Sent counts a message that was written.
func (t *Traffic) Sent(message proto.Message, bytes int) { t.sent[kindOf(message)].add(bytes) }

// Received counts a message that was read.
func (t *Traffic) Received(message proto.Message, bytes int) { t.received[kindOf(message)].add(bytes) }

type volume struct {
	messages, bytes atomic.Int64
}

func (v *volume) add(bytes int) {
	v.messages.Add(1)
	v.bytes.Add(int64(bytes))
}

// Volume is the number of messages of one kind and of their bytes.
type Volume struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

// volumes returns the volumes by kind of message, without kinds that did not occur.
func volumes(of *[kinds]volume) map[string]Volume {
	all := make(map[string]Volume)
	for k := range of {
		if messages := of[k].messages.Load(); messages > 0 {
			all[kind(k).String()] = Volume{Messages: messages, Bytes: of[k].bytes.Load()}
		}
	}
	return all
}
