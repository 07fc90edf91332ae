// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cli

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/native/operator"
	"sailhead/internal/timeline"
)

// timelineCommand prints events of all processes in order of time, from log files or from running processes.
type timelineCommand struct {
	operatorOptions
	Submission string   `arg:"--submission" placeholder:"KEY" help:"only events of the submission"`
	Worker     string   `arg:"--worker" placeholder:"WORKER" help:"only events of the worker"`
	Since      string   `arg:"--since" placeholder:"TIME" help:"only events since the time, such as 30s ago or 2006-01-02T15:04:05Z"`
	Until      string   `arg:"--until" placeholder:"TIME" help:"only events until the time"`
	Job        string   `arg:"--job" placeholder:"ID" help:"with log files: only what explains the job"`
	Logs       []string `arg:"positional" placeholder:"LOG" help:"log files of processes on the users' platform, - for standard input; none asks the running processes"`
}

func (c *timelineCommand) run(s streams) error {
	if err := c.checkOptions(); err != nil {
		return err
	}
	now := time.Now()
	since, err := parseTime("--since", c.Since, now)
	if err != nil {
		return err
	}
	until, err := parseTime("--until", c.Until, now)
	if err != nil {
		return err
	}
	if len(c.Logs) > 0 {
		return c.mergeLogs(s, since, until)
	}
	return c.askProcesses(s, since, until)
}

// checkOptions returns an error if options are combined that do not go together.
func (c *timelineCommand) checkOptions() error {
	if c.Job != "" && len(c.Logs) == 0 {
		return errors.New("cli: --job needs log files")
	}
	if len(c.Logs) > 0 && (c.Submission != "" || c.Worker != "") {
		return errors.New("cli: --submission and --worker ask running processes; with log files use --job")
	}
	return nil
}

// askProcesses prints the events that running processes remember.
func (c *timelineCommand) askProcesses(s streams, since, until time.Time) error {
	session, cleanup, err := c.open()
	if err != nil {
		return err
	}
	defer cleanup()
	ctx, cancel := context.WithTimeout(context.Background(), operateTimeout)
	defer cancel()
	result, err := session.Timeline(ctx, operator.TimelineQuery{
		Submission: c.Submission, Worker: c.Worker, Since: since, Until: until,
	})
	if err != nil {
		return err
	}
	return c.write(s.out, result)
}

// mergeLogs prints the lines of log files ordered by their timestamps.
func (c *timelineCommand) mergeLogs(s streams, since, until time.Time) error {
	var lines []timeline.Line
	for _, name := range c.Logs {
		read, err := readLog(s, name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	lines = timeline.Between(lines, since, until)
	if c.Job != "" {
		if lines = timeline.FollowJob(lines, c.Job); len(lines) == 0 {
			return errors.Errorf("cli: no line of the logs names the job %s", c.Job)
		}
	}
	return c.write(s.out, logTable(lines))
}

// readLog reads a log file, or standard input if the name is -.
func readLog(s streams, name string) ([]timeline.Line, error) {
	if name == "-" {
		return timeline.ReadLogs(s.in)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "cli: unable to open a log")
	}
	defer func() { _ = file.Close() }()
	return timeline.ReadLogs(file)
}

// logTable returns lines as a table with a row a line.
func logTable(lines []timeline.Line) operator.Table {
	t := operator.Table{Columns: []string{"time", "process", "event", "fields"}}
	for _, line := range lines {
		var fields []string
		for _, f := range line.Fields {
			fields = append(fields, f.Name+"="+f.Value)
		}
		t.Rows = append(t.Rows, []string{line.Time.UTC().Format("15:04:05.000000"), line.Process, line.Message, strings.Join(fields, " ")})
	}
	return t
}

// parseTime parses the value of an option: a duration counts back from now, anything else must be an RFC 3339 time.
// Empty text returns the zero time, which means no bound.
func parseTime(option, text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if span, err := time.ParseDuration(text); err == nil {
		return now.Add(-span), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, errors.Errorf("cli: %s %q is neither a span such as 30s nor a time such as 2006-01-02T15:04:05Z", option, text)
	}
	return at, nil
}
