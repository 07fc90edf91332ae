// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package session

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
	// ringSize is how many messages may wait to be written. If more do, the peer does not read, and the session ends: at the target size an
	// agent starts 22 tasks a second, so this is seconds of messages even if one entry sends all.
	ringSize = 1024
	// writeTimeout bounds the writing of the messages that wait. It is longer than timing.CloseAfter, so pings end the session of a peer that
	// does not read first.
	writeTimeout = time.Second
	// bufferSize is the size of each buffer of a connection, in bytes: about ten payloads. Two buffers and 100 sessions take 0.8 of the 32
	// MB that a process may have.
	bufferSize = 4 << 10
	// maxMessage is the largest message, in bytes: payloads are a few hundred.
	maxMessage = 1 << 20
)

// errSlowPeer ends a session whose peer reads more slowly than messages are sent.
var errSlowPeer = errors.Errorf("session: %d messages wait to be written", ringSize)

// errClosed ends a session that this end closed.
var errClosed = errors.New("session: closed by this end")

// connection writes and reads messages in order. If the queue of messages to be written is full, the connection is
// closed: a peer that does not read is treated as lost.
type connection struct {
	conn    net.Conn
	traffic *Traffic
	ring    chan proto.Message
	closed  chan struct{}
	once    sync.Once
	// cause is why the connection was closed. It is set once, before closed is.
	cause error
}

func newConnection(conn net.Conn, traffic *Traffic) *connection {
	c := &connection{conn: conn, traffic: traffic, ring: make(chan proto.Message, ringSize), closed: make(chan struct{})}
	go c.write()
	return c
}

// close closes the connection without writing the messages that wait. Only the first cause is stored.
func (c *connection) close(cause error) {
	c.once.Do(func() {
		c.cause = cause
		close(c.closed)
		// The peer sees the end either way, and there is nothing to do about an error.
		_ = c.conn.Close()
	})
}

// send queues a message. It does not block.
func (c *connection) send(message proto.Message) {
	select {
	case c.ring <- message:
	default:
		c.close(errSlowPeer)
	}
}

// write writes the queued messages until the connection is closed.
func (c *connection) write() {
	buffer := bufio.NewWriterSize(c.conn, bufferSize)
	for {
		select {
		case <-c.closed:
			return
		case message := <-c.ring:
			if err := c.writeQueued(buffer, message); err != nil {
				c.close(errors.Wrapf(err, "session: unable to write to %s", c.conn.RemoteAddr()))
				return
			}
		}
	}
}

// writeQueued writes a message and all that are queued behind it, and flushes them together.
func (c *connection) writeQueued(buffer *bufio.Writer, message proto.Message) error {
	// An error of setting the deadline is that of a closed connection, which the write reports too.
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	for {
		bytes, err := protodelim.MarshalTo(buffer, message)
		if err != nil {
			return err
		}
		c.traffic.sent[kindOf(message)].add(bytes)
		select {
		case message = <-c.ring:
		default:
			return buffer.Flush()
		}
	}
}

// read calls handle for every message until the connection ends, and returns why it ended.
func read[T any, M interface {
	*T
	proto.Message
}](c *connection, handle func(M)) error {
	reader := &countingReader{Reader: bufio.NewReaderSize(c.conn, bufferSize)}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessage}
	for {
		message := M(new(T))
		if err := options.UnmarshalFrom(reader, message); err != nil {
			c.close(errors.Wrapf(err, "session: unable to read from %s", c.conn.RemoteAddr()))
			return c.cause
		}
		c.traffic.received[kindOf(message)].add(reader.take())
		handle(message)
	}
}
