// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package overload tests what entries and agents decide together under load. Each test states the load that it covers
// and the reasons for its bounds.
//
// The tests drive the real state machines of many entries (package dispatch) and agents (package runner) in virtual
// time, with simulated workers. Messages take a fixed time, no message is lost and processing takes no time: the
// tests cover decisions and do not simulate a network. The tests of two runs of one task use a cluster instead, whose
// processes, paths and links fail, and whose workers follow the users' protocol. Its jobs may be durable; package durable
// and a store then take part, from which processes can be cut off.
package overload
