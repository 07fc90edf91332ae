// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package stream carries protobuf messages over a TCP connection, length-delimited and in order, in both directions.
//
// The package owns the connection and the queue of messages to be written. If the queue is full the connection is closed: a peer that does not
// read is treated as lost. Nothing is resent, and what was not written when a connection ends is dropped; Finish writes it before.
package stream

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	// RingSize is how many messages may wait to be written. If more do, the peer does not read, and the connection ends: at the target size
	// an agent starts 22 tasks a second, so this is seconds of messages even if one entry sends all.
	RingSize = 1024
	// writeTimeout bounds the writing of the messages that wait. It is longer than timing.SessionCloseTimeout, so pings end the connection of a
	// peer that does not read first.
	writeTimeout = time.Second
	// finishTimeout bounds Finish: some round trips between availability zones, and less than a stopping process has for its clean-ups.
	finishTimeout = 100 * time.Millisecond
	// bufferSize is the size of each buffer of a connection, in bytes: about ten payloads. Two buffers and 100 connections take 0.8 of the 32
	// MB that a process may have.
	bufferSize = 4 << 10
	// maxMessage is the largest message, in bytes: payloads are a few hundred.
	maxMessage = 1 << 20
)

// errSlowPeer ends a connection whose peer reads more slowly than messages are sent.
var errSlowPeer = errors.Errorf("stream: %d messages wait to be written", RingSize)

// ErrClosed ends a connection that this end closed.
var ErrClosed = errors.New("stream: closed by this end")

// Counter counts the messages of connections and their bytes, without those of the network's own headers. It must be safe for concurrent
// use.
type Counter interface {
	Sent(message proto.Message, bytes int)
	Received(message proto.Message, bytes int)
}

// Connection writes and reads messages in order. It is safe for concurrent use, except that one goroutine reads.
type Connection struct {
	conn    net.Conn
	counter Counter
	ring    chan proto.Message
	closed  chan struct{}
	once    sync.Once
	// finishing is closed once nothing more is to be sent, and written once what was queued then is written.
	finishing  chan struct{}
	finishOnce sync.Once
	written    chan struct{}
	// cause is why the connection was closed. It is set once, before closed is.
	cause error
}

// New takes over a connection. It ends with Close or Finish, or when Read returns.
func New(conn net.Conn, counter Counter) *Connection {
	c := &Connection{
		conn: conn, counter: counter, ring: make(chan proto.Message, RingSize), closed: make(chan struct{}),
		finishing: make(chan struct{}), written: make(chan struct{}),
	}
	go c.write()
	return c
}

// Close closes the connection without writing the messages that wait. Only the first cause is stored.
func (c *Connection) Close(cause error) {
	c.once.Do(func() {
		c.cause = cause
		close(c.closed)
		// The peer sees the end either way, and there is nothing to do about an error.
		_ = c.conn.Close()
	})
}

// Finish writes the messages that wait and closes the connection once the peer has closed it too, or after finishTimeout. What is sent
// after it is dropped. Another goroutine has to read meanwhile: a close with unread messages would take from the peer what it has not read.
func (c *Connection) Finish() {
	c.finishOnce.Do(func() { close(c.finishing) })
	timeout := time.NewTimer(finishTimeout)
	defer timeout.Stop()
	select {
	case <-c.closed:
	case <-timeout.C:
		c.Close(ErrClosed)
	}
	<-c.written
}

// Send queues a message. It does not block.
func (c *Connection) Send(message proto.Message) {
	select {
	case c.ring <- message:
	default:
		c.Close(errSlowPeer)
	}
}

// TrySend queues a message if no more than half of the ring is in use, and reports whether it did. It does not block. The other half is left to
// messages that must be sent, and a connection whose peer reads slowly goes on.
func (c *Connection) TrySend(message proto.Message) bool {
	select {
	case <-c.closed:
		return false
	default:
	}
	if len(c.ring) >= RingSize/2 {
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
	buffer := bufio.NewWriterSize(c.conn, bufferSize)
	for {
		select {
		case <-c.closed:
			return
		case <-c.finishing:
			c.writeLast(buffer)
			return
		case message := <-c.ring:
			if !c.writeOrClose(buffer, message) {
				return
			}
		}
	}
}

// writeLast writes what is queued and ends this direction of the connection.
func (c *Connection) writeLast(buffer *bufio.Writer) {
	select {
	case message := <-c.ring:
		if !c.writeOrClose(buffer, message) {
			return
		}
	default:
	}
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !ok {
		c.Close(ErrClosed)
		return
	}
	if err := half.CloseWrite(); err != nil {
		c.Close(errors.Wrapf(err, "stream: unable to end the connection to %s", c.conn.RemoteAddr()))
	}
}

// writeOrClose writes a message and all that are queued behind it. It closes the connection and returns false if that fails.
func (c *Connection) writeOrClose(buffer *bufio.Writer, message proto.Message) bool {
	err := c.writeQueued(buffer, message)
	if err != nil {
		c.Close(errors.Wrapf(err, "stream: unable to write to %s", c.conn.RemoteAddr()))
	}
	return err == nil
}

// writeQueued writes a message and all that are queued behind it, and flushes them together.
func (c *Connection) writeQueued(buffer *bufio.Writer, message proto.Message) error {
	// An error of setting the deadline is that of a closed connection, which the write reports too.
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	for {
		bytes, err := protodelim.MarshalTo(buffer, message)
		if err != nil {
			return err
		}
		c.counter.Sent(message, bytes)
		select {
		case message = <-c.ring:
		default:
			return buffer.Flush()
		}
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
