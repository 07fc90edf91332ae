// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package stream carries protobuf messages over a TCP connection, length-delimited and in order, in both directions.
//
// The package owns the connection and its send queue. If the queue overflows, the connection is closed: a peer that does not read is treated
// as lost. Nothing is resent. Messages still queued when a connection ends are dropped, unless it is ended by Finish, which writes them first.
package stream

import (
	"bufio"
	"bytes"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	// QueueSize is the capacity of the send queue, in messages. If the queue overflows, the peer is not reading, and the connection is closed.
	// At the target size an agent starts 22 tasks per second, so the capacity is several seconds of messages even if one entry sends all.
	QueueSize = 1024
	// writeTimeout limits the duration of a write. It is longer than timing.SessionCloseTimeout, so missing pings close the connection to a
	// peer that does not read before this timeout does.
	writeTimeout = time.Second
	// finishTimeout limits the time for which the writes of Finish wait for the peer to read, and that for which Finish then waits for the
	// peer's end. It allows for several round trips between availability zones, and two of it are less than the time a stopping process has for
	// its clean-ups.
	finishTimeout = 100 * time.Millisecond
	// bufferSize is the size of the read and the write buffer of a connection, in bytes. It holds about ten payloads. The two buffers of 100
	// connections take 0.8 MB of the 32 MB that a process may use.
	bufferSize = 4 << 10
	// maxKeptBuffer is the largest write buffer that is used again, in bytes.
	maxKeptBuffer = 4 * bufferSize
	// maxMessage is the maximum size of a message, in bytes. Payloads are a few hundred bytes.
	maxMessage = 1 << 20
)

// errSlowPeer closes a connection whose peer reads more slowly than messages are sent.
var errSlowPeer = errors.Errorf("stream: send queue full with %d messages", QueueSize)

// ErrClosed is the cause of a connection closed by this end.
var ErrClosed = errors.New("stream: closed by this end")

// Counter counts the messages of connections and their bytes, excluding network protocol headers. It must be safe for concurrent use.
type Counter interface {
	Sent(message proto.Message, bytes int)
	Received(message proto.Message, bytes int)
}

// Connection writes and reads messages in order. It is safe for concurrent use, except that only one goroutine may read.
type Connection struct {
	conn    net.Conn
	counter Counter
	queue   chan proto.Message
	closed  chan struct{}
	once    sync.Once
	// finishing is closed by the first call of Finish.
	finishing  chan struct{}
	finishOnce sync.Once
	// limit limits the duration of writes.
	limit writeLimit
	// written is closed when the writing goroutine returns.
	written chan struct{}
	// cause is why the connection was closed. It is set once, before closed is closed.
	cause error
}

// New takes ownership of a connection. The connection is released by Close or Finish, or when Read returns.
func New(conn net.Conn, counter Counter) *Connection {
	c := &Connection{
		conn: conn, counter: counter, queue: make(chan proto.Message, QueueSize), closed: make(chan struct{}),
		finishing: make(chan struct{}), written: make(chan struct{}), limit: writeLimit{conn: conn},
	}
	go c.write()
	return c
}

// Close closes the connection without writing the queued messages. Only the first cause is stored.
func (c *Connection) Close(cause error) {
	c.once.Do(func() {
		c.cause = cause
		close(c.closed)
		// An error is ignored, as the peer detects the end of the connection either way.
		_ = c.conn.Close()
	})
}

// Finish writes the queued messages and closes the connection once the peer has closed it too. A peer for which the writes have waited for
// finishTimeout, or that does not close the connection within finishTimeout of the last write, is not waited for. Time in which this process does
// not get to write does not count, as it says nothing of the peer. Messages sent afterwards are dropped. Another goroutine must read in the
// meantime: closing a connection with unread data resets it, which discards the data that the peer has not read yet.
func (c *Connection) Finish() {
	c.finishOnce.Do(func() {
		close(c.finishing)
		c.limit.finish(time.Now())
	})
	<-c.written
	timeout := time.NewTimer(finishTimeout)
	defer timeout.Stop()
	select {
	case <-c.closed:
	case <-timeout.C:
		c.Close(ErrClosed)
	}
}

// Send queues a message without blocking. If the queue is full, it closes the connection.
func (c *Connection) Send(message proto.Message) {
	select {
	case c.queue <- message:
	default:
		c.Close(errSlowPeer)
	}
}

// TrySend queues a message without blocking if less than half of the queue is in use, and reports whether it did. The other half is reserved
// for messages that must be sent, so that a connection with a slow peer stays open.
func (c *Connection) TrySend(message proto.Message) bool {
	select {
	case <-c.closed:
		return false
	default:
	}
	if len(c.queue) >= QueueSize/2 {
		return false
	}
	c.Send(message)
	return true
}

// Closed returns a channel that is closed when the connection has ended.
func (c *Connection) Closed() <-chan struct{} { return c.closed }

// write writes the queued messages until the connection is closed.
func (c *Connection) write() {
	defer close(c.written)
	var buffer bytes.Buffer
	for {
		select {
		case <-c.closed:
			return
		case <-c.finishing:
			c.writeLast(&buffer)
			return
		case message := <-c.queue:
			if !c.writeOrClose(&buffer, message) {
				return
			}
		}
	}
}

// writeLast writes the queued messages and closes the write side of the connection.
func (c *Connection) writeLast(buffer *bytes.Buffer) {
	for message := c.nextQueued(); message != nil; message = c.nextQueued() {
		if !c.writeOrClose(buffer, message) {
			return
		}
	}
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !ok {
		c.Close(ErrClosed)
		return
	}
	if err := half.CloseWrite(); err != nil {
		c.Close(errors.Wrapf(err, "stream: unable to close the write side of the connection to %s", c.conn.RemoteAddr()))
	}
}

// writeOrClose writes a message and queued ones, together about bufferSize. It returns false if that fails, and closes the connection unless the
// peer has closed it: Read does so then, once it has read what the peer wrote before.
func (c *Connection) writeOrClose(buffer *bytes.Buffer, message proto.Message) bool {
	err := c.writeQueued(buffer, message)
	if err != nil && !isClosedByPeer(err) {
		c.Close(errors.Wrapf(err, "stream: unable to write to %s", c.conn.RemoteAddr()))
	}
	return err == nil
}

// isClosedByPeer reports whether a write failed because the peer has closed the connection or its process has ended.
func isClosedByPeer(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// writeQueued encodes a message and queued ones until there are none or bufferSize is reached, and writes them together. The time limit covers only
// the write, so that a pause of this process before it does not end the connection.
func (c *Connection) writeQueued(buffer *bytes.Buffer, message proto.Message) error {
	buffer.Reset()
	for message != nil {
		encoded, err := protodelim.MarshalTo(buffer, message)
		if err != nil {
			return err
		}
		c.counter.Sent(message, encoded)
		message = nil
		if buffer.Len() < bufferSize {
			message = c.nextQueued()
		}
	}
	began := time.Now()
	c.limit.begin(began)
	_, err := c.conn.Write(buffer.Bytes())
	c.limit.end(began, time.Now())
	if buffer.Cap() > maxKeptBuffer {
		*buffer = bytes.Buffer{}
	}
	return err
}

// nextQueued returns the next queued message, or nil if there is none.
func (c *Connection) nextQueued() proto.Message {
	select {
	case message := <-c.queue:
		return message
	default:
		return nil
	}
}

// Read calls handle for every message until the connection ends, and returns why it ended.
func Read[T any, M interface {
	*T
	proto.Message
}](c *Connection, handle func(M)) error {
	reader := &countingReader{Reader: bufio.NewReaderSize(c.conn, bufferSize)}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessage}
	for {
		message := M(new(T))
		if err := options.UnmarshalFrom(reader, message); err != nil {
			c.Close(errors.Wrapf(err, "stream: unable to read from %s", c.conn.RemoteAddr()))
			return c.cause
		}
		c.counter.Received(message, reader.take())
		handle(message)
	}
}
