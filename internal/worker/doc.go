// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package worker holds the types that describe a worker, its runs, and the calls to it.
//
// It has no state and does no I/O. The client that makes the calls is in platform/, which translates the platform's names; package runner
// decides which calls to make; entries use the records and resources for placement.
//
// The result of a call shows whether the worker died: Unreachable if nothing listens at its address, WrongIncarnation if it has restarted,
// NoResponse if it does not answer in time.
package worker
