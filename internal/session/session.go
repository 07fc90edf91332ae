// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package session is the protocol between entries and agents: one TCP connection for each pair, on which
// framed protobuf messages go both ways in order.
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
	// ringSize is how many messages may wait to be written.
	ringSize = 1024
	// writeTimeout bounds the writing of what waits.
	writeTimeout = time.Second
	// bufferSize is the size of each buffer of a connection, in bytes.
	bufferSize = 4 << 10
	// maxMessage is the largest message, in bytes.
	maxMessage = 1 << 20
)

// connection writes and reads messages in order. A full ring closes it: a peer that takes nothing is lost.
type connection struct {
	conn   net.Conn
	ring   chan proto.Message
	closed chan struct{}
	once   sync.Once
}

func newConnection(conn net.Conn) *connection {
	c := &connection{conn: conn, ring: make(chan proto.Message, ringSize), closed: make(chan struct{})}
	go c.write()
	return c
}

// close ends the connection at once.
func (c *connection) close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.conn.Close()
	})
}

func (c *connection) send(message proto.Message) {
	select {
	case c.ring <- message:
	default:
		c.close()
	}
}

// write puts messages on the wire, as many together as wait.
func (c *connection) write() {
	defer c.close()
	buffer := bufio.NewWriterSize(c.conn, bufferSize)
	for {
		select {
		case <-c.closed:
			return
		case message := <-c.ring:
			if err := c.writeWaiting(buffer, message); err != nil {
				return
			}
		}
	}
}

func (c *connection) writeWaiting(buffer *bufio.Writer, message proto.Message) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	for {
		if _, err := protodelim.MarshalTo(buffer, message); err != nil {
			return errors.Wrap(err, "session: unable to write")
		}
		select {
		case message = <-c.ring:
		default:
			return buffer.Flush()
		}
	}
}

// read hands every message to the function until the connection ends.
func read[T any, M interface {
	*T
	proto.Message
}](c *connection, handle func(M)) error {
	defer c.close()
	reader := bufio.NewReaderSize(c.conn, bufferSize)
	options := protodelim.UnmarshalOptions{MaxSize: maxMessage}
	for {
		message := M(new(T))
		if err := options.UnmarshalFrom(reader, message); err != nil {
			return errors.Wrapf(err, "session: unable to read from %s", c.conn.RemoteAddr())
		}
		handle(message)
	}
}
