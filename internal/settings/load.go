// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

// maxFile is the largest settings file, in bytes. It keeps a wrong path, such as that of a log, from being read whole.
const maxFile = 1 << 20

// Error says which line of a settings file is wrong and why. Option is empty if the line holds none.
type Error struct {
	File   string
	Line   int
	Option string
	Reason string
}

// Error returns the file, the line, the option and the reason in one line.
func (e *Error) Error() string {
	if e.Option == "" {
		return fmt.Sprintf("settings: %s:%d: %s", e.File, e.Line, e.Reason)
	}
	return fmt.Sprintf("settings: %s:%d: option %s: %s", e.File, e.Line, e.Option, e.Reason)
}

// New returns the defaults of a role.
func New(role Role) Settings {
	s := Settings{Role: role}
	for _, option := range Options() {
		option.reset(&s)
	}
	return s
}

// Load reads and checks a file of any role. An error in an option is an *Error.
func Load(path string) (Settings, error) {
	return load(path, "")
}

// LoadFor reads and checks a file, which must have the given role. An error in an option is an *Error.
func LoadFor(path string, role Role) (Settings, error) {
	return load(path, role)
}

func load(path string, required Role) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "settings: unable to read %s", path)
	}
	if info.Size() > maxFile {
		return Settings{}, errors.Errorf("settings: unable to read %s: the file is larger than %s", path, Size(maxFile))
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "settings: unable to read %s", path)
	}
	return Parse(path, data, required)
}

// Parse parses and checks the text of a settings file; path is only used in errors. If required is empty, the file
// may have any role.
func Parse(path string, data []byte, required Role) (Settings, error) {
	f := file{path: path, data: data}
	object, err := f.parse()
	if err != nil {
		return Settings{}, err
	}
	role, err := f.role(object, required)
	if err != nil {
		return Settings{}, err
	}
	s := New(role)
	if err := f.apply(&s, object); err != nil {
		return Settings{}, err
	}
	return s, f.checkTogether(s)
}

// file is a settings file while it is parsed.
type file struct {
	path string
	data []byte
	// lines holds the line of each option that was read, counted from 1.
	lines map[string]int
}

// fail returns an Error about a line.
func (f *file) fail(line int, option, format string, args ...any) error {
	return &Error{File: f.path, Line: line, Option: option, Reason: fmt.Sprintf(format, args...)}
}

// line returns the number of the line that holds an offset of the data.
func (f *file) line(offset int) int {
	return 1 + bytes.Count(f.data[:min(offset, len(f.data))], []byte{'\n'})
}

// parse returns the object that the file consists of.
func (f *file) parse() (*hujson.Object, error) {
	value, err := hujson.Parse(f.data)
	if err != nil {
		return nil, errors.Wrapf(err, "settings: %s", f.path)
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return nil, f.fail(1, "", "needs an object of options")
	}
	return object, nil
}

// role returns the role that the file names.
func (f *file) role(object *hujson.Object, required Role) (Role, error) {
	for i := range object.Members {
		name, literal, line, err := f.member(&object.Members[i])
		if err != nil {
			return "", err
		}
		if name != nameOfRoleOption {
			continue
		}
		text, _ := literal.(string)
		if !slices.Contains(Roles(), Role(text)) {
			return "", f.fail(line, name, "%v is none of %v", literal, Roles())
		}
		if required != "" && Role(text) != required {
			return "", f.fail(line, name, "is %q, the command needs %q", text, required)
		}
		return Role(text), nil
	}
	return "", f.fail(1, nameOfRoleOption, "is missing")
}

// member returns the name, the value and the line of an option.
func (f *file) member(m *hujson.ObjectMember) (string, any, int, error) {
	line := f.line(m.Name.StartOffset)
	literalName, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return "", nil, line, f.fail(line, "", "unable to read the option's name")
	}
	name := literalName.String()
	// The value is taken without the comments around it, and cloned because Standardize removes those inside in place.
	clone := m.Value.Clone()
	value := hujson.Value{Value: clone.Value}
	value.Standardize()
	var literal any
	if err := json.Unmarshal(value.Pack(), &literal); err != nil {
		return name, nil, line, f.fail(line, name, "unable to read the value: %s", err)
	}
	return name, literal, line, nil
}

// apply checks each option of the file and stores its value in s.
func (f *file) apply(s *Settings, object *hujson.Object) error {
	options := Options()
	f.lines = make(map[string]int)
	for i := range object.Members {
		name, literal, line, err := f.member(&object.Members[i])
		if err != nil {
			return err
		}
		if f.lines[name] != 0 {
			return f.fail(line, name, "stands twice, first on line %d", f.lines[name])
		}
		f.lines[name] = line
		if name == nameOfRoleOption {
			continue
		}
		at := slices.IndexFunc(options, func(o Option) bool { return o.Name == name })
		if at < 0 {
			return f.fail(line, name, "is unknown")
		}
		if !options[at].isFor(s.Role) {
			return f.fail(line, name, "does not belong to the role %s", s.Role)
		}
		if err := options[at].set(s, literal); err != nil {
			return f.fail(line, name, "%s", err)
		}
	}
	return f.checkRequired(s.Role, options)
}

// checkRequired returns an error if an option is missing that the role needs.
func (f *file) checkRequired(role Role, options []Option) error {
	for _, option := range options {
		if option.IsRequired && option.isFor(role) && f.lines[option.Name] == 0 {
			return f.fail(f.line(len(f.data)), option.Name, "is missing")
		}
	}
	return nil
}

// checkTogether checks options whose values limit each other.
func (f *file) checkTogether(s Settings) error {
	if s.Role == RoleBackendStandin && s.ServiceTimeMin > s.ServiceTimeMax {
		return f.fail(max(f.lines["service_time_min"], 1), "service_time_min", "%s is more than service_time_max %s", s.ServiceTimeMin, s.ServiceTimeMax)
	}
	if s.Role == RoleAgent && s.Connections < s.Slots {
		return f.fail(max(f.lines["connections"], 1), "connections", "%d are fewer than the %d slots", s.Connections, s.Slots)
	}
	return nil
}
