// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package caller serves the callers' API of sailhead's own interface over HTTP and JSON: POST /v1/jobs submits a job and
// waits for its final answer, GET /v1/jobs/KEY returns the state of a submission. It checks requests (request.go), writes
// answers (response.go), and leaves the rest to a Dispatcher, which daemon.Entry is. It owns the connections of callers
// and no jobs.
//
// If a caller goes away, its job goes on: fasthttp does not report that a caller has left, and the answer stays at the
// owner for a resubmission. A caller that sends half a request is cut off after Limits.ReadTimeout. If the dispatcher
// does not answer, the request waits; the dispatcher bounds each wait by the job's deadline.
package caller
