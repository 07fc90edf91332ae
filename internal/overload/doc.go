// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package overload holds tests of what entries and agents decide together under load. Each test names the pattern of load
// that it plays and the grounds for its figures.
//
// The tests drive the real state machines of many entries (package dispatch) and agents (package runner) in virtual time, with
// workers that do what they are told. Messages take a fixed time, nothing is lost and processors are infinitely fast: it tests
// decisions, it does not simulate a network.
package overload
