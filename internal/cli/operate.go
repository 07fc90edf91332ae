// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/chzyer/readline"
	"github.com/go-faster/errors"

	"sailhead/internal/native/operator"
	"sailhead/internal/settings"
)

// operateTimeout is the longest time that one line of an operator may take.
const operateTimeout = 20 * time.Second

// operatorOptions are the options of the commands that connect to running processes.
type operatorOptions struct {
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings file of the role operator"`
	JSON     bool   `arg:"--json" help:"print JSON"`
}

// operateCommand executes one line of the query and command language, or reads lines interactively.
type operateCommand struct {
	operatorOptions
	History string   `arg:"--history" placeholder:"FILE" help:"file that keeps the interactive history"`
	Line    []string `arg:"positional" placeholder:"WORD" help:"one line to execute; without it the command is interactive"`
}

// open returns a session with the running processes. The author of its changes is the settings' name, or else the user.
func (o *operatorOptions) open() (*operator.Session, func(), error) {
	s := settings.New(settings.RoleOperator)
	if o.Settings != "" {
		loaded, err := settings.LoadFor(o.Settings, settings.RoleOperator)
		if err != nil {
			return nil, nil, err
		}
		s = loaded
	}
	author := s.Name
	if author == "" {
		author = os.Getenv("USER")
	}
	session, cleanup := operator.NewSession(operator.Options{
		Author: author, Region: s.Region, Seeds: s.SeedAddresses(),
		PlatformAddress: string(s.PlatformAddress), PlatformTimeout: s.PlatformTimeout,
	})
	return session, cleanup, nil
}

// write prints a result as text, or as JSON if the option is set.
func (o *operatorOptions) write(out io.Writer, result operator.Result) error {
	if o.JSON {
		return operator.WriteJSON(out, result)
	}
	return operator.Write(out, result)
}

func (c *operateCommand) run(s streams) error {
	session, cleanup, err := c.open()
	if err != nil {
		return err
	}
	defer cleanup()
	if len(c.Line) > 0 {
		return c.execute(s, session, strings.Join(c.Line, " "))
	}
	return c.interact(s, session)
}

// execute executes one line and prints its result.
func (c *operateCommand) execute(s streams, session *operator.Session, line string) error {
	ctx, cancel := context.WithTimeout(context.Background(), operateTimeout)
	defer cancel()
	result, err := session.Execute(ctx, line)
	if err != nil {
		return err
	}
	return c.write(s.out, result)
}

// interact executes lines until the input ends. An error of a line is printed and does not end it.
func (c *operateCommand) interact(s streams, session *operator.Session) error {
	reader, err := readline.NewEx(&readline.Config{
		Prompt: "sailhead> ", HistoryFile: c.History, Stdin: io.NopCloser(s.in), Stdout: s.out, Stderr: s.err,
	})
	if err != nil {
		return errors.Wrap(err, "cli: unable to read lines")
	}
	defer func() { _ = reader.Close() }()
	for {
		line, err := reader.Readline()
		if errors.Is(err, readline.ErrInterrupt) || errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "cli: unable to read a line")
		}
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		if line == "quit" || line == "exit" {
			return nil
		}
		if err := c.execute(s, session, line); err != nil {
			_, _ = fmt.Fprintln(s.err, err)
		}
	}
}
