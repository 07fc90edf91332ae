// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package session

import (
	"sync/atomic"

	"sailhead/internal/session/sessionpb"
)

// The tasks of a job have the same payload, and several of them go to one agent in a row. A start whose payload is that of the start
// before it on the session leaves it out. The payloads are most of what an entry sends.

// sentPayload is the payload of the latest start that an entry has sent on a session.
type sentPayload struct {
	// mayRepeat is set once the agent has told that it knows starts without their payload.
	mayRepeat atomic.Bool
	payload   string
}

// shorten leaves out the payload of a start that is sent next if the agent has it.
func (p *sentPayload) shorten(start *sessionpb.Start) {
	isRepeated := start.Payload != "" && start.Payload == p.payload
	if isRepeated && p.mayRepeat.Load() {
		start.Payload = ""
		start.RepeatsPayload = true
		return
	}
	p.payload = start.Payload
}

// receivedPayload is the payload of the latest start that an agent has received on a session. Only the session's reading goroutine uses it.
type receivedPayload struct {
	payload string
}

// complete adds the payload to a start that leaves it out.
func (p *receivedPayload) complete(start *sessionpb.Start) {
	if start.RepeatsPayload {
		start.Payload = p.payload
		return
	}
	p.payload = start.Payload
}
