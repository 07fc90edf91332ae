// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package logging makes the loggers of a process: logfmt lines with time, process and part. It owns the lines that wait to
// be written. A log that is not read, such as a full pipe, never blocks a process that logs through a Ring: lines are
// dropped and counted instead.
package logging

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Level is the lowest severity that is logged.
type Level string

// The levels, from the lowest severity to the highest.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// New returns the root logger of a process. An unknown level counts as LevelInfo.
func New(out io.Writer, least Level, process string) log.Logger {
	logger, _ := NewAdjustable(out, least, process)
	return logger
}

// NewAdjustable returns the root logger of a process and a function that changes the level while it is in use.
func NewAdjustable(out io.Writer, least Level, process string) (log.Logger, func(Level)) {
	swap := new(log.SwapLogger)
	root := log.NewLogfmtLogger(log.NewSyncWriter(out))
	set := func(least Level) {
		swap.Swap(level.NewFilter(root, level.Allow(level.ParseDefault(string(least), level.InfoValue()))))
	}
	set(least)
	return log.With(swap, "time", log.DefaultTimestampUTC, "process", process), set
}

// Part returns a logger that adds the field part to each line.
func Part(logger log.Logger, part string) log.Logger {
	return log.With(logger, "part", part)
}

// Discard returns a logger that drops all lines.
func Discard() log.Logger {
	return log.NewNopLogger()
}
