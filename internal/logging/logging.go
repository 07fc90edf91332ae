// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package logging makes the loggers of all parts.
package logging

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Level is the least severity that is written.
type Level string

// The levels, from the most to the least talkative.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// New returns the root logger of a process.
func New(out io.Writer, least Level, process string) log.Logger {
	logger, _ := NewAdjustable(out, least, process)
	return logger
}

// NewAdjustable returns the root logger of a process and a function that changes the least severity.
func NewAdjustable(out io.Writer, least Level, process string) (log.Logger, func(Level)) {
	swap := new(log.SwapLogger)
	root := log.NewLogfmtLogger(log.NewSyncWriter(out))
	set := func(least Level) {
		swap.Swap(level.NewFilter(root, level.Allow(level.ParseDefault(string(least), level.InfoValue()))))
	}
	set(least)
	return log.With(swap, "time", log.DefaultTimestampUTC, "process", process), set
}

// Part returns the logger of one part; each of its lines carries the part's prefix.
func Part(logger log.Logger, part string) log.Logger {
	return log.With(logger, "part", part)
}

// Discard returns a logger that writes nothing.
func Discard() log.Logger {
	return log.NewNopLogger()
}
