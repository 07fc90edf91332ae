// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package stream

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// testTimeout bounds the wait for an expected event.
const testTimeout = 10 * time.Second

// uncounted is a Counter that does nothing.
type uncounted struct{}

func (uncounted) Sent(proto.Message, int)     {}
func (uncounted) Received(proto.Message, int) {}

// receiveCounter counts received messages and bytes. It is not safe for concurrent use.
type receiveCounter struct{ messages, bytes int }

func (*receiveCounter) Sent(proto.Message, int) {}
func (c *receiveCounter) Received(_ proto.Message, bytes int) {
	c.messages++
	c.bytes += bytes
}

// pair returns the two ends of a TCP connection.
func pair(t *testing.T) (one, other net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	one, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = one.Close()
		_ = other.Close()
	})
	return one, other
}

func text(s string) *wrapperspb.StringValue { return wrapperspb.String(s) }

// framed returns the wire encoding of messages.
func framed(t *testing.T, messages ...proto.Message) []byte {
	t.Helper()
	var buffer bytes.Buffer
	for _, m := range messages {
		if _, err := protodelim.MarshalTo(&buffer, m); err != nil {
			t.Fatal(err)
		}
	}
	return buffer.Bytes()
}

// readAll reads in the background. It returns a channel for the messages and one for the error with which Read returns.
func readAll(c *Connection) (messages <-chan string, ended <-chan error) {
	read, end := make(chan string, 2*QueueSize), make(chan error, 1)
	go func() {
		end <- Read(c, func(m *wrapperspb.StringValue) { read <- m.Value })
	}()
	return read, end
}

func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case item := <-from:
		return item
	case <-time.After(testTimeout):
		t.Fatal("nothing received before the timeout")
		panic("unreachable")
	}
}

// TestMessagesAreReadFromAnyPieces writes frames in pieces of 1 to 7 bytes, so that both length prefixes and messages are split across reads.
func TestMessagesAreReadFromAnyPieces(t *testing.T) {
	long := strings.Repeat("x", 3*bufferSize)
	data := framed(t, text("a"), text(""), text(strings.Repeat("b", 200)), text(long), text("c"))
	for size := 1; size <= 7; size++ {
		ours, theirs := net.Pipe()
		counter := &receiveCounter{}
		c := New(ours, counter)
		messages, ended := readAll(c)
		for rest := data; len(rest) > 0; {
			n := min(size, len(rest))
			if _, err := theirs.Write(rest[:n]); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
		}
		for _, want := range []string{"a", "", strings.Repeat("b", 200), long, "c"} {
			if got := receive(t, messages); got != want {
				t.Fatalf("pieces of %d bytes: got %.20q, want %.20q", size, got, want)
			}
		}
		_ = theirs.Close()
		if err := receive(t, ended); !errors.Is(err, io.EOF) {
			t.Errorf("pieces of %d bytes: ended with %v, want the end of the stream", size, err)
		}
		if counter.messages != 5 || counter.bytes != len(data) {
			t.Errorf("pieces of %d bytes: counted %+v, want 5 messages of %d bytes", size, counter, len(data))
		}
	}
}

// TestABrokenFrameEndsTheConnection sends malformed frames, and frames truncated by the end of the connection. Read must return an error, not
// io.EOF, and deliver no message from them.
func TestABrokenFrameEndsTheConnection(t *testing.T) {
	whole := framed(t, text("whole"))
	tooLarge := framed(t, text(strings.Repeat("x", maxMessage)))
	for name, data := range map[string][]byte{
		"too large":          tooLarge[:16],
		"no length":          bytes.Repeat([]byte{0xff}, 11),
		"no message":         {2, 0xff, 0xff},
		"cut in the length":  {0x80},
		"cut in the message": whole[:len(whole)-1],
	} {
		ours, theirs := pair(t)
		c := New(ours, uncounted{})
		messages, ended := readAll(c)
		if _, err := theirs.Write(append(bytes.Clone(whole), data...)); err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(name, "cut") {
			_ = theirs.Close()
		}
		if got := receive(t, messages); got != "whole" {
			t.Errorf("%s: got %q before", name, got)
		}
		err := receive(t, ended)
		if err == nil || errors.Is(err, io.EOF) || !strings.Contains(err.Error(), "unable to read from") {
			t.Errorf("%s: ended with %v", name, err)
		}
		receive(t, c.Closed())
		if len(messages) > 0 {
			t.Errorf("%s: got %q", name, <-messages)
		}
	}
}

func TestTheLargestMessageIsRead(t *testing.T) {
	ours, theirs := pair(t)
	messages, _ := readAll(New(ours, uncounted{}))
	// Leave space for the field tag and the length of the string.
	largest := strings.Repeat("x", maxMessage-16)
	New(theirs, uncounted{}).Send(text(largest))
	if got := receive(t, messages); got != largest {
		t.Errorf("got %d bytes, want %d", len(got), len(largest))
	}
}

// TestAPeerThatDoesNotReadEndsTheConnectionInTime fills the socket buffers with fewer messages than the queue holds. The write timeout must
// close the connection.
func TestAPeerThatDoesNotReadEndsTheConnectionInTime(t *testing.T) {
	ours, _ := pair(t)
	c := New(ours, uncounted{})
	began := time.Now()
	message := text(strings.Repeat("x", maxMessage/2))
	for range 64 {
		c.Send(message)
	}
	receive(t, c.Closed())
	if took := time.Since(began); took < writeTimeout || !errors.Is(c.cause, os.ErrDeadlineExceeded) {
		t.Errorf("ended after %s with %v, want the deadline of writes after %s", took, c.cause, writeTimeout)
	}
}

func TestMoreMessagesThanTheQueueHoldsEndTheConnection(t *testing.T) {
	// Writes to a pipe without a reader block.
	ours, _ := net.Pipe()
	c := New(ours, uncounted{})
	large := text(strings.Repeat("x", bufferSize))
	for range QueueSize + 2 {
		c.Send(large)
	}
	receive(t, c.Closed())
	if !errors.Is(c.cause, errSlowPeer) {
		t.Errorf("ended with %v, want %v", c.cause, errSlowPeer)
	}
}

// TestTrySendLeavesRoom calls TrySend until it fails, with a peer that does not read. Send must still queue messages without closing the
// connection.
func TestTrySendLeavesRoom(t *testing.T) {
	ours, _ := net.Pipe()
	c := New(ours, uncounted{})
	large := text(strings.Repeat("x", bufferSize))
	sent := 0
	for c.TrySend(large) {
		sent++
	}
	if sent < QueueSize/2 || sent > QueueSize/2+2 {
		t.Errorf("%d messages were sent, want %d", sent, QueueSize/2)
	}
	for range QueueSize / 4 {
		c.Send(large)
	}
	select {
	case <-c.Closed():
		t.Errorf("the connection has ended: %v", c.cause)
	default:
	}
	c.Close(ErrClosed)
	if c.TrySend(large) {
		t.Error("a message was sent on a closed connection")
	}
}

// TestFinishWritesWhatIsQueued finishes a connection on which messages of the peer are still unread. All queued messages must reach the peer.
func TestFinishWritesWhatIsQueued(t *testing.T) {
	for range 20 {
		ours, theirs := pair(t)
		c, peer := New(ours, uncounted{}), New(theirs, uncounted{})
		_, ended := readAll(c)
		messages, peerEnded := readAll(peer)
		const count = QueueSize / 2
		for range count {
			peer.Send(text("unread"))
			c.Send(text("x"))
		}
		c.Finish()
		if err := receive(t, peerEnded); !errors.Is(err, io.EOF) {
			t.Fatalf("the peer's end is %v, want the end of the stream", err)
		}
		if len(messages) != count {
			t.Fatalf("%d messages arrived, want %d", len(messages), count)
		}
		receive(t, ended)
		receive(t, c.Closed())
	}
}

// pausingCounter pauses the writing goroutine when a message is about to be written, as a busy machine does.
type pausingCounter struct {
	uncounted
	pauseAt, sent int
}

func (c *pausingCounter) Sent(proto.Message, int) {
	c.sent++
	if c.sent == c.pauseAt {
		time.Sleep(2 * finishTimeout)
	}
}

// TestFinishWritesWhatIsQueuedAfterAPause pauses the writing goroutine for longer than finishTimeout once Finish has been called.
//
// The failure: an entry that stops on a busy machine takes the time in which it does not get to write for a peer that does not read, and drops
// the last answers to jobs that were handed over to it.
func TestFinishWritesWhatIsQueuedAfterAPause(t *testing.T) {
	const count = QueueSize / 2
	for name, pauseAt := range map[string]int{"before the first write": 1, "within the writes": count / 2, "before the last message": count} {
		ours, theirs := pair(t)
		c, peer := New(ours, &pausingCounter{pauseAt: pauseAt}), New(theirs, uncounted{})
		_, ended := readAll(c)
		messages, peerEnded := readAll(peer)
		for range count {
			c.Send(text(strings.Repeat("x", bufferSize/count*4)))
		}
		c.Finish()
		if err := receive(t, peerEnded); !errors.Is(err, io.EOF) {
			t.Errorf("%s: the peer's end is %v, want the end of the stream", name, err)
		}
		if len(messages) != count {
			t.Errorf("%s: %d messages arrived, want %d", name, len(messages), count)
		}
		receive(t, ended)
	}
}

// TestAWriteAfterThePeersEndLeavesItsMessages writes to a peer that has written its messages and closed the connection, before they are read.
//
// The failure: an entry sends something on a connection that the other entry has finished, and drops the answers that have arrived on it.
func TestAWriteAfterThePeersEndLeavesItsMessages(t *testing.T) {
	ours, theirs := pair(t)
	const count = 4
	var answers []proto.Message
	for range count {
		answers = append(answers, text(strings.Repeat("x", bufferSize)))
	}
	if _, err := theirs.Write(framed(t, answers...)); err != nil {
		t.Fatal(err)
	}
	_ = theirs.Close()
	c := New(ours, uncounted{})
	isWriting := func() bool {
		select {
		case <-c.written:
			return false
		default:
			return true
		}
	}
	for isWriting() {
		c.Send(text("x"))
		time.Sleep(time.Millisecond)
	}
	messages, ended := readAll(c)
	if err := receive(t, ended); !errors.Is(err, io.EOF) {
		t.Errorf("ended with %v, want the end of the stream", err)
	}
	if len(messages) != count {
		t.Errorf("%d messages were read, want %d", len(messages), count)
	}
}

// TestFinishEndsWithASilentPeer finishes connections to a peer that neither reads nor closes its end. Finish must return within its timeout.
func TestFinishEndsWithASilentPeer(t *testing.T) {
	for _, waiting := range []int{0, QueueSize / 2} {
		ours, _ := pair(t)
		c := New(ours, uncounted{})
		_, ended := readAll(c)
		for range waiting {
			c.Send(text(strings.Repeat("x", bufferSize*4)))
		}
		began := time.Now()
		c.Finish()
		c.Finish()
		if took := time.Since(began); took > 10*finishTimeout {
			t.Errorf("%d messages waiting: took %s, want %s", waiting, took, finishTimeout)
		}
		receive(t, ended)
	}
}

// TestFinishEndsWithASlowPeer finishes a connection to a peer that reads a piece in a quarter of finishTimeout, with far more pieces waiting than
// it reads in that time. Finish must return within its timeout: the pieces together are limited, not each of them.
func TestFinishEndsWithASlowPeer(t *testing.T) {
	ours, theirs := net.Pipe()
	c := New(ours, uncounted{})
	for range QueueSize / 2 {
		c.Send(text(strings.Repeat("x", bufferSize)))
	}
	ended := make(chan error, 1)
	go func() {
		piece := make([]byte, 2*bufferSize)
		for {
			time.Sleep(finishTimeout / 4)
			if _, err := theirs.Read(piece); err != nil {
				ended <- err
				return
			}
		}
	}()
	began := time.Now()
	c.Finish()
	if took := time.Since(began); took > 10*finishTimeout {
		t.Errorf("took %s, want %s", took, finishTimeout)
	}
	if err := receive(t, ended); !errors.Is(err, io.EOF) {
		t.Errorf("the peer's end is %v, want the end of the stream", err)
	}
}

func TestFinishAfterTheEndReturns(t *testing.T) {
	ours, _ := pair(t)
	c := New(ours, uncounted{})
	c.Close(ErrClosed)
	c.Finish()
	c.Send(text("dropped"))
}
