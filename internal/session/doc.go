// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package session is the protocol between entries and agents: one TCP connection for each pair, on which
// length-delimited protobuf messages go in both directions, each in order.
//
// A Server is the agent's end of all its sessions: it turns messages into events of package runner and sends the
// runner's effects. An AgentConn is an entry's end of one session. The connections and the queues of messages
// to be written are those of package stream; which session is valid is decided by the runner, and when to dial again by the entry.
//
// A session ends when either process dies or the network cuts it off. Both ends then get one notice, SessionClosed or the
// return of Serve, and drop the messages that were not written. Nothing is resent on the next session: the runner and
// the entry's dispatcher each work from what they know. A cut without a reset is detected by missing pings or pongs.
package session
