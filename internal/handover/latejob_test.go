// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package handover

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sailhead/internal/clock"
	"sailhead/internal/handover/handoverpb"
	"sailhead/internal/stream"
	"sailhead/internal/timing"
)

// scriptedSender is the sender's end of a connection whose messages a test writes.
type scriptedSender struct {
	t        *testing.T
	conn     *stream.Connection
	received chan *handoverpb.FromReceiver
}

// newScriptedSender returns a sender that is connected to the server of an entry.
func newScriptedSender(t *testing.T, local LocalEntry) *scriptedSender {
	address, _ := serve(t, local)
	return connectScriptedSender(t, address)
}

// connectScriptedSender returns a sender that is connected to the server at an address.
func connectScriptedSender(t *testing.T, address string) *scriptedSender {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := changeProtocol(ctx, conn, address); err != nil {
		t.Fatal(err)
	}
	s := &scriptedSender{t: t, conn: stream.New(conn, uncounted{}), received: make(chan *handoverpb.FromReceiver, 1000)}
	t.Cleanup(func() { s.conn.Close(stream.ErrClosed) })
	go func() { _ = stream.Read(s.conn, func(m *handoverpb.FromReceiver) { s.received <- m }) }()
	return s
}

func (s *scriptedSender) send(message proto.Message) { s.conn.Send(message) }

// receivePing returns the time of the next ping that is to be echoed.
func (s *scriptedSender) receivePing() int64 {
	s.t.Helper()
	for {
		if ping := receive(s.t, s.received).GetPing(); ping.GetTime() != 0 {
			return ping.GetTime()
		}
	}
}

// echo answers a ping.
func (s *scriptedSender) echo(time int64) {
	s.send(&handoverpb.FromSender{Message: &handoverpb.FromSender_Echo{Echo: &handoverpb.Echo{Time: time}}})
}

// withdraw withdraws a job.
func (s *scriptedSender) withdraw(number uint64) {
	s.send(&handoverpb.FromSender{Message: &handoverpb.FromSender_Withdrawal{Withdrawal: &handoverpb.Withdrawal{Number: number}}})
}

// checkNotSubmitted fails the test if a job is submitted within quietTime.
func checkNotSubmitted(t *testing.T, local *fakeEntry) {
	t.Helper()
	select {
	case s := <-local.submitted:
		t.Fatalf("the job %s was submitted", s.job.ID)
	case <-time.After(quietTime):
	}
}

// quietTime is how long a test looks for something that must not happen.
const quietTime = 50 * time.Millisecond

func TestAJobIsSubmittedOnceItsSenderHasEchoedAPing(t *testing.T) {
	local := &fakeEntry{submitted: make(chan *submission, 10)}
	s := newScriptedSender(t, local)
	s.send(packJob(clock.Now(), 1, "zone-a", job("a")))
	ping := s.receivePing()
	checkNotSubmitted(t, local)
	s.echo(ping)
	if got := receive(t, local.submitted).job.ID; got != "a" {
		t.Errorf("got the job %s", got)
	}
	// The echo is recent, so the next job needs no other one.
	s.send(packJob(clock.Now(), 2, "zone-a", job("b")))
	if got := receive(t, local.submitted).job.ID; got != "b" {
		t.Errorf("got the job %s", got)
	}
}

func TestAJobThatIsWithdrawnBeforeTheEchoIsNotSubmitted(t *testing.T) {
	local := &fakeEntry{submitted: make(chan *submission, 10)}
	s := newScriptedSender(t, local)
	s.send(packJob(clock.Now(), 1, "zone-a", job("a")))
	s.send(packJob(clock.Now(), 2, "zone-a", job("b")))
	ping := s.receivePing()
	s.withdraw(1)
	s.echo(ping)
	// The second job arrived after that ping was sent.
	s.echo(s.receivePing())
	if got := receive(t, local.submitted).job.ID; got != "b" {
		t.Errorf("got the job %s, want the one that was not withdrawn", got)
	}
	checkNotSubmitted(t, local)
}

// TestAnEchoOfNoPingConfirmsNothing sends echoes of pings from the future and from long ago.
func TestAnEchoOfNoPingConfirmsNothing(t *testing.T) {
	local := &fakeEntry{submitted: make(chan *submission, 10)}
	s := newScriptedSender(t, local)
	s.send(packJob(clock.Now(), 1, "zone-a", job("a")))
	ping := s.receivePing()
	s.echo(ping + int64(time.Hour))
	s.echo(ping - int64(timing.SessionCloseTimeout))
	checkNotSubmitted(t, local)
	s.echo(ping)
	receive(t, local.submitted)
}

func TestAnEntryThatStopsRefusesUnconfirmedJobs(t *testing.T) {
	local := &fakeEntry{submitted: make(chan *submission, 10)}
	address, _, stop := serveUntilStopped(t, local)
	s := connectScriptedSender(t, address)
	s.send(packJob(clock.Now(), 1, "zone-a", job("a")))
	s.receivePing()
	stop()
	for {
		if answer := receive(t, s.received).GetAnswer(); answer != nil {
			if answer.Outcome != handoverpb.Outcome_OUTCOME_REFUSED {
				t.Errorf("got %v, want a refusal", answer)
			}
			return
		}
	}
}

// TestAJobOfAnEarlierVersionIsSubmittedAtOnce covers a sender that does not echo pings. Its own pings keep its job.
func TestAJobOfAnEarlierVersionIsSubmittedAtOnce(t *testing.T) {
	local := &fakeEntry{submitted: make(chan *submission, 10)}
	s := newScriptedSender(t, local)
	packed := packJob(clock.Now(), 1, "zone-a", job("a"))
	packed.GetJob().EchoesPings = false
	s.send(packed)
	submitted := receive(t, local.submitted)
	for began := time.Now(); time.Since(began) < 2*timing.SessionCloseTimeout; time.Sleep(pingInterval) {
		s.send(&handoverpb.FromSender{Message: &handoverpb.FromSender_Ping{Ping: &handoverpb.Ping{}}})
	}
	if submitted.ctx.Err() != nil {
		t.Error("the job was cancelled although its sender is alive")
	}
	receive(t, submitted.ctx.Done())
}

// TestAJobOfASenderThatDoesNotAnswerIsNotSubmitted sends a job on a connection that was idle, as a process does that was suspended and hands
// over what it reads late, and then nothing more.
//
// The failure: the job was submitted on its arrival, though its caller may have left long before and have submitted it again elsewhere.
func TestAJobOfASenderThatDoesNotAnswerIsNotSubmitted(t *testing.T) {
	local := &fakeEntry{submitted: make(chan *submission, 10)}
	s := newScriptedSender(t, local)
	s.send(packJob(clock.Now(), 1, "zone-a", job("a")))
	select {
	case <-local.submitted:
		t.Fatal("the job was submitted although its sender has not answered since")
	case <-s.conn.Closed():
	case <-time.After(testTimeout):
		t.Fatal("the connection was not closed")
	}
}

// TestAJobIsCancelledIfItsSenderIsHeardLate connects two entries by a link that comes to deliver the sender's messages late, without a pause
// between them.
//
// The failure: the receiver counted silence from the arrival of the messages, so it kept the job although it did not know whether its sender
// still wanted it.
func TestAJobIsCancelledIfItsSenderIsHeardLate(t *testing.T) {
	local := &fakeEntry{submitted: make(chan *submission, 10)}
	address, _ := serve(t, local)
	through, slowDown := delayingProxy(t, address)
	r := newHandOverTest(t, through)
	r.handOver(job("a"))
	s := receive(t, local.submitted)
	const slowest = 4 * timing.SessionCloseTimeout
	for delay := pingInterval / 2; delay < slowest; delay += pingInterval / 2 {
		slowDown(delay)
		time.Sleep(pingInterval)
	}
	select {
	case <-s.ctx.Done():
	default:
		t.Errorf("the job goes on although the messages of its sender are %s late", slowest)
	}
}

// delayingProxy forwards connections to an address. What is sent there is delayed by the time that slowDown was last called with.
func delayingProxy(t *testing.T, to string) (address string, slowDown func(time.Duration)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	delay := make(chan time.Duration, 1)
	delay <- 0
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				return
			}
			go copyDelayed(in, out, delay)
			go copyDelayed(out, in, nil)
		}
	}()
	return listener.Addr().String(), func(d time.Duration) {
		<-delay
		delay <- d
	}
}

// delayedBytes are bytes that are to be written at a time.
type delayedBytes struct {
	due  time.Time
	data []byte
}

// copyDelayed copies what one connection receives to another one, each piece after the delay that holds when it is read.
func copyDelayed(from, to net.Conn, delay chan time.Duration) {
	pieces := make(chan delayedBytes, 10_000)
	go func() {
		for piece := range pieces {
			time.Sleep(time.Until(piece.due))
			_, _ = to.Write(piece.data)
		}
		_ = to.Close()
	}()
	defer close(pieces)
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		due := time.Now()
		if delay != nil {
			current := <-delay
			delay <- current
			due = due.Add(current)
		}
		pieces <- delayedBytes{due: due, data: append([]byte(nil), buffer[:n]...)}
	}
}
