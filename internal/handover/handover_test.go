// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package handover

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"sailhead/internal/clock"
	"sailhead/internal/dispatch"
	"sailhead/internal/handover/handoverpb"
	"sailhead/internal/logging"
	"sailhead/internal/stream"
	"sailhead/internal/timing"
	"sailhead/internal/worker"
)

// fakeEntry is an entry that takes jobs. Each waits in submitted until the test answers it, or its context ends.
type fakeEntry struct {
	submitted chan *submission
}

type submission struct {
	job    dispatch.Job
	ctx    context.Context
	answer chan dispatch.Answer
}

func (f *fakeEntry) Submit(ctx context.Context, job dispatch.Job) dispatch.Answer {
	s := &submission{job: job, ctx: ctx, answer: make(chan dispatch.Answer, 1)}
	f.submitted <- s
	select {
	case answer := <-s.answer:
		return answer
	case <-ctx.Done():
		return dispatch.Interrupted{Reason: "the caller has left"}
	}
}

// outcome is what a sender reports of a job. The result is nil for the report that the job was taken.
type outcome struct {
	job, entry string
	number     uint64
	result     dispatch.HandOverResult
}

// recorder keeps the reports of a sender.
type recorder struct{ outcomes chan outcome }

func (r *recorder) HandOverAccepted(job string, number uint64, entry string) {
	r.outcomes <- outcome{job: job, number: number, entry: entry}
}

func (r *recorder) HandOverEnded(job string, number uint64, result dispatch.HandOverResult) {
	r.outcomes <- outcome{job: job, number: number, result: result}
}

// handOverTest is a sender and one or more other entries.
type handOverTest struct {
	t       *testing.T
	sender  *Sender
	reports *recorder
	// last is the number of the latest hand-over.
	last uint64
}

// newHandOverTest returns a sender whose peers are at the addresses, with a connection to one of them.
func newHandOverTest(t *testing.T, addresses ...string) *handOverTest {
	var peers []Peer
	for i, address := range addresses {
		peers = append(peers, Peer{Name: fmt.Sprintf("entry-%d", i), Address: address})
	}
	r := &handOverTest{t: t, reports: &recorder{outcomes: make(chan outcome, 100)}}
	sender, closeSender := NewSender("zone-a", func() []Peer { return append([]Peer(nil), peers...) }, r.reports)
	t.Cleanup(closeSender)
	r.sender = sender
	return r
}

// serve serves an entry and returns its address and a function that ends all its connections.
func serve(t *testing.T, local Local) (address string, kill func()) {
	address, kill, _ = serveUntilStopped(t, local)
	return address, kill
}

// serveUntilStopped is serve, with the clean-up of the server.
func serveUntilStopped(t *testing.T, local Local) (address string, kill, stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var open []net.Conn
	handler, closeServer := NewServer(local, logging.Discard())
	server := &http.Server{
		Handler: handler,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateNew {
				mu.Lock()
				open = append(open, c)
				mu.Unlock()
			}
		},
	}
	go func() { _ = server.Serve(listener) }()
	kill = func() {
		_ = server.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			_ = c.Close()
		}
	}
	t.Cleanup(closeServer)
	t.Cleanup(kill)
	return listener.Addr().String(), kill, closeServer
}

func job(id string) dispatch.Job {
	return dispatch.Job{
		ID: id, Payload: "p", Received: clock.Now().Add(-30 * time.Millisecond), RemainingTime: 2 * time.Second,
		Kind: dispatch.Kind{
			Name: "k", Service: "s", Priority: 2, Weight: 1.5, Attempts: 3, Stretch: 1.6, Target: 60 * time.Millisecond, Timeout: time.Second,
		},
		Steps: []dispatch.Step{{Count: 4, Needs: worker.Resources{CPU: 3300, Memory: 64}, Expected: 900 * time.Millisecond, Rack: "r1"}},
	}
}

// longest is how long the tests wait for what must happen.
const longest = 10 * time.Second

// tryHandOver hands a job over if an entry may get it now.
func (r *handOverTest) tryHandOver(j dispatch.Job) bool {
	r.last++
	return r.sender.HandOver(r.last, j)
}

// handOver hands a job over as soon as a connection is open.
func (r *handOverTest) handOver(j dispatch.Job) {
	r.t.Helper()
	for end := time.Now().Add(longest); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if r.tryHandOver(j) {
			return
		}
	}
	r.t.Fatalf("nobody takes the job %s", j.ID)
}

func next[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case item := <-from:
		return item
	case <-time.After(longest):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

func TestAJobArrivesUnchangedAndIsAnswered(t *testing.T) {
	local := &fakeEntry{submitted: make(chan *submission, 10)}
	address, _ := serve(t, local)
	r := newHandOverTest(t, address)
	sent := job("a")
	r.handOver(sent)
	s := next(t, local.submitted)
	if off := s.job.Received.Sub(sent.Received); off < -2*time.Millisecond || off > longest {
		t.Errorf("the job was received %s later", off)
	}
	want := sent
	want.Received, want.IsHandedOver, want.Zone = s.job.Received, true, "zone-a"
	if !reflect.DeepEqual(s.job, want) {
		t.Errorf("got %+v, want %+v", s.job, want)
	}
	if got, want := next(t, r.reports.outcomes), (outcome{job: "a", number: r.last, entry: "entry-0"}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for _, answer := range []dispatch.Answer{
		dispatch.Completed{}, dispatch.Failed{Reason: "f"}, dispatch.NotRun{Reason: "n", RetryAfter: 3 * time.Second}, dispatch.Interrupted{Reason: "i"},
	} {
		s.answer <- answer
		got, want := next(t, r.reports.outcomes), outcome{job: s.job.ID, number: r.last, result: dispatch.HandOverAnswered{Answer: answer}}
		if got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
		r.handOver(job(s.job.ID + "a"))
		s = next(t, local.submitted)
		next(t, r.reports.outcomes)
	}
}

func TestAnEntryThatRefusedGetsNoJobsForSomeTime(t *testing.T) {
	local := &fakeEntry{submitted: make(chan *submission, 10)}
	address, _ := serve(t, local)
	r := newHandOverTest(t, address)
	r.handOver(job("a"))
	next(t, r.reports.outcomes)
	next(t, local.submitted).answer <- dispatch.NotRun{Reason: "late", RetryAfter: time.Second, IsLocal: true}
	if got, want := next(t, r.reports.outcomes), (outcome{job: "a", number: r.last, result: dispatch.HandOverRefused{Reason: "late"}}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if r.tryHandOver(job("b")) {
		t.Error("a job was handed over to an entry that has just refused one")
	}
	r.handOver(job("c"))
}

func TestAWithdrawnJobIsDropped(t *testing.T) {
	local := &fakeEntry{submitted: make(chan *submission, 10)}
	address, _ := serve(t, local)
	r := newHandOverTest(t, address)
	r.handOver(job("a"))
	s := next(t, local.submitted)
	r.sender.Withdraw(r.last)
	next(t, s.ctx.Done())
	if !r.tryHandOver(job("a")) {
		t.Error("the job cannot be handed over again")
	}
}

// TestTheLastAnswersOfAnEntryThatStopsArrive answers some jobs while the server is being closed. The others are lost, as they may have run.
func TestTheLastAnswersOfAnEntryThatStopsArrive(t *testing.T) {
	t.Run("all answered", func(t *testing.T) { stopAfterAnswers(t, 0) })
	t.Run("some not answered", func(t *testing.T) { stopAfterAnswers(t, 10) })
}

// stopAfterAnswers closes the server of an entry that has answered all but some of its jobs.
func stopAfterAnswers(t *testing.T, open int) {
	local := &fakeEntry{submitted: make(chan *submission, 100)}
	address, _, stop := serveUntilStopped(t, local)
	r := newHandOverTest(t, address)
	const jobs = 40
	for range jobs {
		r.handOver(job(fmt.Sprint(r.last)))
		next(t, r.reports.outcomes)
	}
	var unanswered []*submission
	answered := make(map[string]bool)
	for i := range jobs {
		s := next(t, local.submitted)
		if i < open {
			unanswered = append(unanswered, s)
			continue
		}
		s.answer <- dispatch.Completed{}
		answered[s.job.ID] = true
	}
	stop()
	for range jobs {
		got := next(t, r.reports.outcomes)
		_, isLost := got.result.(dispatch.HandOverLost)
		isCompleted := got.result == dispatch.HandOverAnswered{Answer: dispatch.Completed{}}
		if isCompleted != answered[got.job] || isLost == answered[got.job] {
			t.Errorf("got %+v of a job that was answered: %t", got, answered[got.job])
		}
	}
	for _, s := range unanswered {
		if s.ctx.Err() == nil {
			t.Error("a job goes on after the server was closed")
		}
	}
	if len(r.reports.outcomes) > 0 {
		t.Errorf("got %+v too", <-r.reports.outcomes)
	}
}

// TestAServerThatStopsTakesNoJobs hands a job over while the server waits for the answer of another one.
func TestAServerThatStopsTakesNoJobs(t *testing.T) {
	local := &fakeEntry{submitted: make(chan *submission, 10)}
	ours, theirs := net.Pipe()
	receiver := &receiving{local: local, conn: stream.New(ours, uncounted{}), ctx: t.Context(), cancel: make(map[uint64]context.CancelFunc)}
	receiver.isStopping = true
	sender := stream.New(theirs, uncounted{})
	defer sender.Close(stream.ErrClosed)
	defer receiver.conn.Close(stream.ErrClosed)
	messages := make(chan *handoverpb.FromReceiver, 10)
	go func() { _ = stream.Read(receiver.conn, receiver.handle) }()
	go func() { _ = stream.Read(sender, func(m *handoverpb.FromReceiver) { messages <- m }) }()
	sender.Send(packJob(clock.Now(), 7, "zone-a", job("a")))
	answer := next(t, messages).GetAnswer()
	if answer.GetNumber() != 7 || answer.GetOutcome() != handoverpb.Outcome_OUTCOME_REFUSED || len(local.submitted) > 0 {
		t.Errorf("got %v, want a refusal", answer)
	}
}

// TestTheJobsOfAnEntryThatDiesAreLost kills the entry that has a job: it may have run.
func TestTheJobsOfAnEntryThatDiesAreLost(t *testing.T) {
	local := &fakeEntry{submitted: make(chan *submission, 10)}
	address, kill := serve(t, local)
	r := newHandOverTest(t, address)
	r.handOver(job("a"))
	next(t, r.reports.outcomes)
	s := next(t, local.submitted)
	kill()
	got := next(t, r.reports.outcomes)
	if _, isLost := got.result.(dispatch.HandOverLost); got.job != "a" || !isLost {
		t.Errorf("got %+v, want a lost job", got)
	}
	next(t, s.ctx.Done())
	if r.tryHandOver(job("b")) {
		t.Error("a job was handed over to an entry that is gone")
	}
}

// TestAFullRingTakesNoJobAndLosesNone hands jobs over to an entry that reads nothing, until it gets no more. None of those that it has is lost
// before the connection ends for its silence.
func TestAFullRingTakesNoJobAndLosesNone(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	s := &Sender{zone: "zone-a", peers: func() []Peer { return nil }, handler: &recorder{outcomes: make(chan outcome, 2*stream.RingSize)}, ctx: t.Context(), jobs: make(map[uint64]*link)}
	l := &link{conn: stream.New(ours, uncounted{}), jobs: make(map[uint64]string)}
	defer l.conn.Close(stream.ErrClosed)
	s.links = []*link{l}
	large := job("a")
	large.Payload = strings.Repeat("x", 4000)
	var taken uint64
	for taken < 2*stream.RingSize && s.HandOver(taken+1, large) {
		taken++
	}
	if taken >= stream.RingSize || len(l.jobs) != int(taken) || len(s.jobs) != int(taken) {
		t.Errorf("%d jobs were handed over, %d are on the link and %d in all", taken, len(l.jobs), len(s.jobs))
	}
	for number := uint64(1); number <= taken/2; number++ {
		s.Withdraw(number)
	}
	select {
	case <-l.conn.Closed():
		t.Error("the connection has ended")
	default:
	}
}

// proxy forwards the bytes of one connection, in both directions, until it is told to be silent.
func proxy(t *testing.T, to string) (address string, silence func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	silent := make(chan struct{})
	copyBytes := func(from, to net.Conn) {
		buffer := make([]byte, 4096)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			select {
			case <-silent:
				// The bytes are lost, and the connection stays open.
				_, _ = io.Copy(io.Discard, from)
				return
			default:
				_, _ = to.Write(buffer[:n])
			}
		}
	}
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
			go copyBytes(in, out)
			go copyBytes(out, in)
		}
	}()
	return listener.Addr().String(), func() { close(silent) }
}

// TestBothEndsNoticeAConnectionThatFellSilent cuts a connection without a reset while a job is under way. The other entry drops the job, and the
// sender reports it as lost, before the caller comes again.
func TestBothEndsNoticeAConnectionThatFellSilent(t *testing.T) {
	local := &fakeEntry{submitted: make(chan *submission, 10)}
	address, _ := serve(t, local)
	through, silence := proxy(t, address)
	r := newHandOverTest(t, through)
	r.handOver(job("a"))
	next(t, r.reports.outcomes)
	s := next(t, local.submitted)
	time.Sleep(2 * timing.SessionCloseTimeout)
	if s.ctx.Err() != nil {
		t.Fatal("the job was dropped while both ends were alive")
	}
	silence()
	silenced := time.Now()
	next(t, s.ctx.Done())
	got := next(t, r.reports.outcomes)
	if _, isLost := got.result.(dispatch.HandOverLost); !isLost {
		t.Errorf("got %+v, want a lost job", got)
	}
	t.Logf("noticed after %s", time.Since(silenced))
}

// TestARunOfALostEntryEndsBeforeItsCallerComesAgain adds up the times until the receiver of a job stops its runs.
func TestARunOfALostEntryEndsBeforeItsCallerComesAgain(t *testing.T) {
	if noticed := timing.SessionCloseTimeout + pingInterval; noticed+timing.MaxStopTime >= timing.CallerRetryDelay {
		t.Errorf("silence is noticed after %s, and callers come again after %s", noticed, timing.CallerRetryDelay)
	}
}

func TestChoosesTheEntryWithFewerJobs(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	candidates := []candidate{{jobs: 5}, {jobs: 1, refused: now.Add(-refusalBackoff / 2)}, {jobs: 3, refused: now.Add(-refusalBackoff)}}
	draws := []int{0, 1}
	draw := func(int) int {
		drawn := draws[0]
		draws = draws[1:]
		return drawn
	}
	if got, ok := choose(now, candidates, draw); !ok || got != 2 {
		t.Errorf("got %d %t, want 2", got, ok)
	}
	if got, ok := choose(now, candidates[1:2], draw); ok {
		t.Errorf("got %d, want none", got)
	}
}
