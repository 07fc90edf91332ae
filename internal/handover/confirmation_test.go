// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package handover

import (
	"context"
	"net"
	"testing"
	"time"

	"sailhead/internal/clock"
	"sailhead/internal/dispatch"
	"sailhead/internal/handover/handoverpb"
	"sailhead/internal/stream"
	"sailhead/internal/timing"
)

// TestAJobAfterAShortPauseIsKept hands a job over some time after the end of an earlier one, on a connection whose two ends answer at once.
//
// The failure: the right to run the job counted from the echo of a ping before the pause, but no ping was sent before the watch's next turn, by
// which the right had run out. The connection was closed and the job lost.
func TestAJobAfterAShortPauseIsKept(t *testing.T) {
	for _, pause := range []time.Duration{250 * time.Millisecond, 350 * time.Millisecond, 450 * time.Millisecond, 500 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			local := &fakeEntry{submitted: make(chan *submission, 10)}
			address, _ := serve(t, local)
			r := newHandOverTest(t, address)
			r.handOver(job("a"))
			receive(t, local.submitted).answer <- dispatch.Completed{}
			time.Sleep(pause)
			r.handOver(job("b"))
			second := receive(t, local.submitted)
			select {
			case <-second.ctx.Done():
				t.Error("the job was cancelled although its sender echoes every ping at once")
			case <-time.After(2 * pingInterval):
			}
		})
	}
}

// TestALateEchoDoesNotEndAJobThatArrivedSince echoes a ping of an earlier job late, after the next job has been sent, as an entry does that
// stood still meanwhile. It answers the next job's ping after half of the time that the receiver allows.
//
// The failure: the late echo put the time back at which the sender was last known to be alive, to before the next job. The connection was closed
// and the job lost.
func TestALateEchoDoesNotEndAJobThatArrivedSince(t *testing.T) {
	local := &fakeEntry{submitted: make(chan *submission, 10)}
	s := newScriptedSender(t, local)
	s.send(packJob(clock.Now(), 1, "zone-a", job("a")))
	s.echo(s.receivePing())
	first := receive(t, local.submitted)
	unanswered := s.receivePing()
	first.answer <- dispatch.Completed{}
	time.Sleep(timing.SessionCloseTimeout + pingInterval)
	s.send(packJob(clock.Now(), 2, "zone-a", job("b")))
	s.echo(unanswered)
	ping := s.receivePing()
	select {
	case <-s.conn.Closed():
		t.Fatal("the connection was closed although the job has waited for half of the time allowed")
	case <-time.After(timing.SessionCloseTimeout / 2):
	}
	s.echo(ping)
	if got := receive(t, local.submitted).job.ID; got != "b" {
		t.Errorf("got the job %s", got)
	}
}

// TestAJobThatArrivesAsTheEntryStopsIsAnswered lets an entry stop between two steps of taking a job.
//
// The failure: the job was kept for an echo after the unconfirmed jobs had been refused, so it got no answer, and its sender took it for lost.
func TestAJobThatArrivesAsTheEntryStopsIsAnswered(t *testing.T) {
	client, server := net.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := &inboundConn{
		local: &fakeEntry{submitted: make(chan *submission, 10)}, conn: stream.New(server, uncounted{}), ctx: ctx, cancel: make(map[uint64]context.CancelFunc),
	}
	sender := stream.New(client, uncounted{})
	defer sender.Close(stream.ErrClosed)
	answers := make(chan *handoverpb.Answer, 10)
	go func() {
		_ = stream.Read(sender, func(m *handoverpb.FromReceiver) {
			if answer := m.GetAnswer(); answer != nil {
				answers <- answer
			}
		})
		close(answers)
	}()
	// These are the steps of take.
	now := clock.Now()
	packed := packJob(now, 1, "zone-a", job("a")).GetJob()
	r.senderEchoes = true
	jobContext, ok := r.begin(packed.Number)
	if !ok {
		t.Fatal("the job was not taken")
	}
	r.alive.began(now)
	// The part of finish that precedes the end of the connection.
	r.mu.Lock()
	r.isStopping = true
	r.mu.Unlock()
	r.refuseUnconfirmed()
	r.awaitConfirmation(now, unconfirmedJob{number: packed.Number, job: unpackJob(now, packed), ctx: jobContext})
	r.conn.Finish()
	if answer := receive(t, answers); answer.GetOutcome() != handoverpb.Outcome_OUTCOME_REFUSED {
		t.Errorf("got %v, want a refusal", answer)
	}
}

// TestAPingIsSentForAJobAfterOneThatWasWithdrawn withdraws a job whose ping is then echoed too late, and sends another one, at several times
// between two turns of the watch.
//
// The failure: the withdrawn job stayed among the unconfirmed ones, so the next job was not the first, and no ping was sent for it until the
// watch's next turn.
func TestAPingIsSentForAJobAfterOneThatWasWithdrawn(t *testing.T) {
	const longest = pingInterval / 2
	for offset := time.Duration(0); offset < pingInterval; offset += pingInterval / 4 {
		s := newScriptedSender(t, &fakeEntry{submitted: make(chan *submission, 10)})
		s.send(packJob(clock.Now(), 1, "zone-a", job("a")))
		unanswered := s.receivePing()
		s.withdraw(1)
		time.Sleep(timing.SessionCloseTimeout + offset)
		s.echo(unanswered)
		sent := time.Now()
		s.send(packJob(clock.Now(), 2, "zone-a", job("b")))
		s.receivePing()
		if took := time.Since(sent); took > longest {
			t.Errorf("the ping was sent after %s, want at most %s", took, longest)
		}
	}
}
