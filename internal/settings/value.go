// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package settings

import (
	"net/netip"
	"slices"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/go-faster/errors"
)

// isFor reports whether the role has the option.
func (o Option) isFor(role Role) bool {
	return len(o.Roles) == 0 || slices.Contains(o.Roles, role)
}

// reset sets the field of the option to its default.
func (o Option) reset(s *Settings) {
	switch place := o.value(s).(type) {
	case *string:
		*place = o.Default.(string)
	case *int:
		*place = o.Default.(int)
	case *float64:
		*place = o.Default.(float64)
	case *Size:
		*place = o.Default.(Size)
	case *time.Duration:
		*place = o.Default.(time.Duration)
	case *Address:
		*place = o.Default.(Address)
	case *[]Address:
		*place = slices.Clone(o.Default.([]Address))
	case *[]Weight:
		*place = slices.Clone(o.Default.([]Weight))
	}
}

// set checks a value from a settings file, as encoding/json decodes it, and stores it in the field of the option.
func (o Option) set(s *Settings, literal any) error {
	switch place := o.value(s).(type) {
	case *string:
		return o.setText(place, literal)
	case *int:
		return o.setCount(place, literal)
	case *float64:
		return o.setFactor(place, literal)
	case *Size:
		return o.setSize(place, literal)
	case *time.Duration:
		return o.setDuration(place, literal)
	case *Address:
		return setAddress(place, literal)
	case *[]Address:
		return setAddresses(place, literal)
	case *[]Weight:
		return setWeights(place, literal)
	default:
		return errors.Errorf("option of unknown type %T", place)
	}
}

func (o Option) setText(place *string, literal any) error {
	text, ok := literal.(string)
	if !ok || text == "" {
		return errors.New("needs a text that is not empty")
	}
	if len(o.Choices) > 0 && !slices.Contains(o.Choices, text) {
		return errors.Errorf("%q is none of %v", text, o.Choices)
	}
	*place = text
	return nil
}

func (o Option) setCount(place *int, literal any) error {
	number, ok := literal.(float64)
	if !ok || number != float64(int(number)) {
		return errors.New("needs a whole number")
	}
	if int(number) < o.Min.(int) || int(number) > o.Max.(int) {
		return errors.Errorf("%d is not within %d to %d", int(number), o.Min, o.Max)
	}
	*place = int(number)
	return nil
}

func (o Option) setFactor(place *float64, literal any) error {
	number, ok := literal.(float64)
	if !ok {
		return errors.New("needs a number")
	}
	if number < o.Min.(float64) || number > o.Max.(float64) {
		return errors.Errorf("%g is not within %g to %g", number, o.Min, o.Max)
	}
	*place = number
	return nil
}

func (o Option) setSize(place *Size, literal any) error {
	text, ok := literal.(string)
	if !ok {
		return errors.New(`needs a size with a unit, such as "8MiB"`)
	}
	bytes, err := humanize.ParseBytes(text)
	if err != nil {
		return errors.New(`needs a size with a unit, such as "8MiB"`)
	}
	// A size that does not fit into an int64 is beyond every range, so it may be cut.
	size := Size(min(bytes, 1<<62))
	if size < o.Min.(Size) || size > o.Max.(Size) {
		return errors.Errorf("%s is not within %s to %s", size, o.Min, o.Max)
	}
	*place = size
	return nil
}

func (o Option) setDuration(place *time.Duration, literal any) error {
	text, ok := literal.(string)
	if !ok {
		return errors.New(`needs a time with a unit, such as "250ms"`)
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return errors.New(`needs a time with a unit, such as "250ms"`)
	}
	if duration < o.Min.(time.Duration) || duration > o.Max.(time.Duration) {
		return errors.Errorf("%s is not within %s to %s", duration, o.Min, o.Max)
	}
	*place = duration
	return nil
}

func setAddress(place *Address, literal any) error {
	text, ok := literal.(string)
	if !ok {
		return errors.New(`needs an IP address with a port, such as "127.0.0.1:7500"`)
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.Errorf(`%q is not an IP address with a port, such as "127.0.0.1:7500"`, text)
	}
	*place = Address(text)
	return nil
}

func setAddresses(place *[]Address, literal any) error {
	list, ok := literal.([]any)
	if !ok {
		return errors.New("needs a list of IP addresses with ports")
	}
	addresses := make([]Address, len(list))
	for i, each := range list {
		if err := setAddress(&addresses[i], each); err != nil {
			return err
		}
	}
	*place = addresses
	return nil
}

// String returns the size with a binary unit, such as "8.0 MiB".
func (s Size) String() string {
	return humanize.IBytes(uint64(s))
}
