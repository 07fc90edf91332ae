// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package demo runs a small system in one process, submits a mix of both teams' jobs and reports the answers.
//
// It owns the stand-ins, agents and entries that it starts (cluster.go), makes the load (load.go) and counts the answers
// (report.go). It relies on the packages that the real processes run on. Nothing outside the process is involved, so a
// failure to start, an answer that is not whole or a task that started twice ends the demo with an error.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/logging"
)

// Options are the size and length of the demo.
type Options struct {
	Agents  int
	Entries int
	Time    time.Duration
	// Rate is the number of jobs a second.
	Rate float64
	// Verbose writes the logs of the processes to the error output.
	Verbose bool
}

// The largest options, for one small machine.
const (
	maxProcesses = 64
	maxTime      = 20 * time.Second
	maxRate      = 1000.0
)

// startTimeout is the longest time that the processes may take to know each other and the configuration.
const startTimeout = 6 * time.Second

// check returns an error that names the first option out of range.
func (o Options) check() error {
	switch {
	case o.Agents < 1 || o.Agents > maxProcesses:
		return errors.Errorf("demo: --agents %d is not within 1 to %d", o.Agents, maxProcesses)
	case o.Entries < 1 || o.Entries > maxProcesses:
		return errors.Errorf("demo: --entries %d is not within 1 to %d", o.Entries, maxProcesses)
	case o.Time <= 0 || o.Time > maxTime:
		return errors.Errorf("demo: --time %s is not within 0s to %s", o.Time, maxTime)
	case o.Rate <= 0 || o.Rate > maxRate:
		return errors.Errorf("demo: --rate %g is not within 0 to %g", o.Rate, maxRate)
	default:
		return nil
	}
}

// Run runs the demo and writes its progress and a table of the answers.
func Run(options Options, out, errOut io.Writer) error {
	if err := options.check(); err != nil {
		return err
	}
	logger := logging.Discard()
	if options.Verbose {
		logger = logging.New(errOut, logging.LevelInfo, "demo")
	}
	c, err := startCluster(options, logger)
	if err != nil {
		return err
	}
	defer c.stop()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := c.prepare(ctx); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "demo: %d entries and %d agents are ready\n", options.Entries, options.Agents)
	report := submitJobs(c, options, out)
	report.write(out, c)
	return report.check(c)
}
