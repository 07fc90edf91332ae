// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cli

import (
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"sailhead/internal/settings"
)

// checkCommand checks a settings file.
type checkCommand struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"settings file"`
}

func (c *checkCommand) run(s streams) error {
	checked, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s: good settings for the role %s\n", c.File, checked.Role)
	return err
}

// dumpCommand prints the settings of a file, defaults included, or the defaults of a role.
type dumpCommand struct {
	File string `arg:"positional" placeholder:"FILE" help:"settings file"`
	Role string `arg:"--role" placeholder:"ROLE" help:"print the defaults of a role instead"`
}

func (c *dumpCommand) run(s streams) error {
	if (c.File == "") == (c.Role == "") {
		return errors.New("cli: dump-settings needs either a file or --role")
	}
	if c.Role != "" {
		if !slices.Contains(settings.Roles(), settings.Role(c.Role)) {
			return errors.Errorf("cli: role %q is none of %v", c.Role, settings.Roles())
		}
		return settings.New(settings.Role(c.Role)).Dump(s.out)
	}
	loaded, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	return loaded.Dump(s.out)
}
