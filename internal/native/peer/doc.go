// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package peer carries the messages between the processes of sailhead's own interface. The protocol is twirp over
// HTTP/1.1; package peerpb has the generated message types.
//
// A Client makes the calls, NewServer serves them (client.go, server.go). The wire files translate between messages and the
// types of the state machines, so that the messages themselves are seen only by packages gossip and operator and the
// services of daemon. The package owns nothing but its connections.
//
// If a peer dies, its calls fail: with an error for which IsNotSent is true if the connection could not be made, with any
// other error if the call may have arrived. A peer that is silent holds a call until the context ends. Callers decide
// whether and where a call is made again.
package peer
