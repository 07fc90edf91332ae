// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package session

import (
	"sync/atomic"

	"sailhead/internal/session/sessionpb"
)

// Payloads make up most of the data that an entry sends. The tasks of a job have the same payload, and several of them are often sent to one
// agent in succession, so a start omits its payload if it equals that of the previous start on the session.

// sentPayload is the payload of the last start that an entry sent on a session.
type sentPayload struct {
	// mayRepeat is set once the agent has announced that it supports starts with RepeatsPayload.
	mayRepeat atomic.Bool
	payload   string
}

// omitRepeated removes the payload from the next start to be sent if the agent already has it.
func (p *sentPayload) omitRepeated(start *sessionpb.Start) {
	isRepeated := start.Payload != "" && start.Payload == p.payload
	if isRepeated && p.mayRepeat.Load() {
		start.Payload = ""
		start.RepeatsPayload = true
		return
	}
	p.payload = start.Payload
}

// receivedPayload is the payload of the last start that an agent received on a session. Only the session's reading goroutine uses it.
type receivedPayload struct {
	payload string
}

// restoreRepeated sets the payload of a start from which it was omitted.
func (p *receivedPayload) restoreRepeated(start *sessionpb.Start) {
	if start.RepeatsPayload {
		start.Payload = p.payload
		return
	}
	p.payload = start.Payload
}
