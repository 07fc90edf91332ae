// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cli

import (
	"time"

	"sailhead/internal/native/demo"
)

// demoCommand runs entries, agents and workers in this process and submits jobs to them.
type demoCommand struct {
	Agents  int           `arg:"--agents" default:"4" help:"number of agents with a worker each"`
	Entries int           `arg:"--entries" default:"2" help:"number of entries"`
	Time    time.Duration `arg:"--time" default:"8s" help:"how long jobs are submitted"`
	Rate    float64       `arg:"--rate" default:"12" help:"jobs a second"`
	Verbose bool          `arg:"--verbose" help:"log what the processes do"`
}

func (c *demoCommand) run(s streams) error {
	return demo.Run(demo.Options{Agents: c.Agents, Entries: c.Entries, Time: c.Time, Rate: c.Rate, Verbose: c.Verbose}, s.out, s.err)
}
