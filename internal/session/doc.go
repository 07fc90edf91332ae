// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package session implements the protocol between entries and agents: one TCP connection per pair, which carries length-delimited protobuf
// messages in both directions, in order.
//
// A Server is the agent's side of its sessions: it converts messages to events of package runner and sends the runner's effects. An AgentConn
// is an entry's side of one session. Package stream provides the connections and their send queues. The runner decides which session is
// valid, and the entry decides when to reconnect.
//
// A session ends when either process dies or the network connection is lost. Each end is then notified once, by SessionClosed or the return
// of Serve, and drops the unwritten messages. Nothing is resent on the next session: the runner and the entry's dispatcher each continue from
// their own state. A connection lost without a reset is detected by missing pings or pongs.
package session
