// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cli

import (
	"expvar"
	"net/http"
	"time"

	"sailhead/internal/logging"
	"sailhead/internal/settings"
)

const (
	// droppedLines is the name of the counter of log lines that were dropped.
	droppedLines = "log_lines_dropped"
	// metricsHeaderTimeout is the longest time in which a client sends the header of a request.
	metricsHeaderTimeout = time.Second
)

// serveMetrics serves the counters and histograms of the process as expvar's JSON on every path, at the settings'
// metrics address. Without an address it serves nothing. The clean-up closes the listener.
func serveMetrics(s settings.Settings, ring *logging.Ring) (func(), error) {
	if s.MetricsAddress == "" {
		return func() {}, nil
	}
	listeners, err := listen(s.MetricsAddress)
	if err != nil {
		return nil, err
	}
	// Publish panics on a name that exists already, as in a test that starts several processes.
	if expvar.Get(droppedLines) == nil {
		expvar.Publish(droppedLines, expvar.Func(func() any { return ring.Dropped() }))
	}
	server := &http.Server{Handler: expvar.Handler(), ReadHeaderTimeout: metricsHeaderTimeout}
	// Serve returns only once the listener is closed, and its error only says so.
	go func() { _ = server.Serve(listeners[0]) }()
	return func() { _ = server.Close() }, nil
}
