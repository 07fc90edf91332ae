// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package settings

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Dump writes the settings as a settings file that Load accepts, with the help and the range of each option as a
// comment. It returns the error of the writer.
func (s Settings) Dump(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "{\n  %q: %q,\n", nameOfRoleOption, s.Role)
	for _, option := range Options() {
		if !option.isFor(s.Role) {
			continue
		}
		fmt.Fprintf(&text, "  // %s%s\n", option.Help, option.limits())
		value, err := json.Marshal(option.literal(&s))
		if err != nil {
			return errors.Wrapf(err, "settings: unable to dump %s", option.Name)
		}
		fmt.Fprintf(&text, "  %q: %s,\n", option.Name, value)
	}
	text.WriteString("}\n")
	_, err := io.WriteString(out, text.String())
	return err
}

// literal returns the value of the option in the form of a settings file, ready for encoding/json.
func (o Option) literal(s *Settings) any {
	switch place := o.value(s).(type) {
	case *time.Duration:
		return place.String()
	case *Size:
		return place.String()
	case *[]Address:
		if *place == nil {
			return []Address{}
		}
		return *place
	case *[]Weight:
		if *place == nil {
			return []Weight{}
		}
		return *place
	default:
		return place
	}
}

// limits describes the values that the option accepts, as the end of its help text.
func (o Option) limits() string {
	switch {
	case len(o.Choices) > 0:
		return " One of " + strings.Join(o.Choices, ", ") + "."
	case o.Min != nil:
		return fmt.Sprintf(" From %v to %v.", o.Min, o.Max)
	default:
		return ""
	}
}
