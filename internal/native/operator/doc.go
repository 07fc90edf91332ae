// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package operator is the language in which operators ask what runs where and change the configuration. grammar.go parses
// a line; a Session executes it: a change by compare-and-swap at the platform (session.go), a query at the platform or
// the processes (query.go), the time line at all listed processes (timeline.go). result.go prints the results.
//
// A session owns its connections. It relies on packages keyvalue and peer for calls, and on configuration for the meaning
// of changes.
//
// If the platform does not answer, queries use the roster and the configuration of a seed process, and a change fails: with
// "nothing was changed", or, if the answer to the write was lost, with the id by which show history tells whether it took
// effect. A process that does not answer within inspectTimeout is named in a warning of the table.
package operator
