// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package handover carries jobs of which nothing has begun from one entry to another, and their answers back. Which jobs are handed over is
// decided by package dispatch.
//
// A Sender keeps a connection to each of some other entries while it has jobs to hand over, and chooses among them. A Server takes jobs from
// other entries and submits them to its own. The connection is opened by an HTTP request at Path that the server answers with a change of the
// protocol; then messages go in both directions (package stream).
//
// While jobs are under way on a connection both ends ping. An end that has heard nothing for timing.SessionCloseTimeout closes it: the sender's jobs
// are lost then, as they may have run, and the receiver drops them, so that their runs are stopped before their callers come again.
package handover
