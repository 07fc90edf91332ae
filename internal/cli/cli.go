// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package cli is the command line of sailhead: it parses arguments, reads settings, connects the parts of a process and
// reports errors as exit codes. It owns the process's signals, log and metrics page; every decision about jobs lies in the
// packages that it connects. If a part cannot start, the command prints why and exits with a code that is not 0.
package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"sailhead/internal/settings"
	"sailhead/internal/version"
)

// The exit codes of the command. Deploy files and supervisors rely on them.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	// exitRemoved asks the supervisor to start the process again: the roster no longer lists it.
	exitRemoved = 3
)

// command is the command line; exactly one of its fields is set once it is parsed.
type command struct {
	Entry           *daemonCommand   `arg:"subcommand:entry" help:"take jobs from callers and forward them"`
	Agent           *daemonCommand   `arg:"subcommand:agent" help:"own submissions and guard the worker beside"`
	PlatformEntry   *daemonCommand   `arg:"subcommand:platform-entry" help:"take jobs on the users' platform and place their tasks"`
	PlatformAgent   *daemonCommand   `arg:"subcommand:platform-agent" help:"run tasks on the worker beside, on the users' platform"`
	PlatformStandin *daemonCommand   `arg:"subcommand:platform-standin" help:"take the platform's place in trials"`
	BackendStandin  *daemonCommand   `arg:"subcommand:backend-standin" help:"take a backend server's place in trials"`
	Demo            *demoCommand     `arg:"subcommand:demo" help:"run a whole small system in this process"`
	Operate         *operateCommand  `arg:"subcommand:operate" help:"ask what runs where and change the configuration"`
	Timeline        *timelineCommand `arg:"subcommand:timeline" help:"show the events of all processes in order"`
	CheckSettings   *checkCommand    `arg:"subcommand:check-settings" help:"check a settings file"`
	DumpSettings    *dumpCommand     `arg:"subcommand:dump-settings" help:"print the settings in force with help and ranges"`
}

// daemonCommand holds the arguments of the commands that run until a signal.
type daemonCommand struct {
	Settings string `arg:"positional,required" placeholder:"FILE" help:"settings file"`
}

// Version returns the line for --version.
func (command) Version() string {
	return "sailhead " + version.Version
}

// Description returns the line above the usage.
func (command) Description() string {
	return "sailhead dispatches sub-second tasks to workers."
}

// streams are the standard streams of a command.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// Run runs the command line and returns the exit code. Errors of writing to out and errOut are dropped: there is nowhere
// else to report them.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	var c command
	parser, err := arg.NewParser(arg.Config{Program: "sailhead"}, &c)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitFailure
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return exitOK
	case errors.Is(err, arg.ErrVersion):
		_, _ = fmt.Fprintln(out, c.Version())
		return exitOK
	case err != nil:
		_, _ = fmt.Fprintf(errOut, "sailhead: %s\n", err)
		_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
		return exitUsage
	}
	if parser.Subcommand() == nil {
		parser.WriteHelp(errOut)
		return exitUsage
	}
	return exitCode(c.run(streams{in: in, out: out, err: errOut}), errOut)
}

// run runs the subcommand that was given.
func (c *command) run(s streams) error {
	switch {
	case c.Entry != nil:
		return runDaemon(s, c.Entry.Settings, settings.RoleEntry)
	case c.Agent != nil:
		return runDaemon(s, c.Agent.Settings, settings.RoleAgent)
	case c.PlatformEntry != nil:
		return runPlatform(s, c.PlatformEntry.Settings, settings.RolePlatformEntry)
	case c.PlatformAgent != nil:
		return runPlatform(s, c.PlatformAgent.Settings, settings.RolePlatformAgent)
	case c.PlatformStandin != nil:
		return runDaemon(s, c.PlatformStandin.Settings, settings.RolePlatformStandin)
	case c.BackendStandin != nil:
		return runDaemon(s, c.BackendStandin.Settings, settings.RoleBackendStandin)
	case c.Demo != nil:
		return c.Demo.run(s)
	case c.Operate != nil:
		return c.Operate.run(s)
	case c.Timeline != nil:
		return c.Timeline.run(s)
	case c.CheckSettings != nil:
		return c.CheckSettings.run(s)
	default:
		return c.DumpSettings.run(s)
	}
}

// exitCode prints an error and returns the exit code for it.
func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintf(errOut, "sailhead: %s\n", strings.TrimSpace(err.Error()))
	if errors.Is(err, errRemoved) {
		return exitRemoved
	}
	return exitFailure
}
