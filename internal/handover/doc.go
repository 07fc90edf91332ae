// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package handover transfers jobs that have not started from one entry to another, and returns their answers. Package dispatch decides
// which jobs are handed over.
//
// A Sender maintains connections to several other entries while it has jobs to hand over, and selects one of them for each job. A Server
// accepts jobs from other entries and submits them to the local entry. A connection is opened by an HTTP request to Path, which the server
// upgrades to the hand-over protocol; after that, messages flow in both directions (package stream).
//
// While jobs are outstanding on a connection, both ends send pings, and the sender echoes those of the receiver once it has withdrawn the jobs
// that it knew not to be needed. The sender closes a connection on which it has received nothing for timing.SessionCloseTimeout, and reports its
// jobs as lost, as they may have run. The receiver closes it that long after it sent the latest ping that was echoed, and cancels the jobs, so
// that their runs are stopped before the callers retry. A job is submitted only if such an echo is recent enough (confirmation.go).
package handover
