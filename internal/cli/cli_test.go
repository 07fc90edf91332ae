// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestRun(t *testing.T) {
	good := write(t, `{"role": "agent", "name": "w", "peer_address": "127.0.0.1:1", "backend_address": "127.0.0.1:2"}`)
	log := write(t, "level=info time=2026-08-25T10:00:01Z process=entry-1 part=entry msg=answered job=aa detail=completed\n")
	bad := write(t, "{\n\"role\": \"agent\",\n\"slotz\": 8}")
	for _, test := range []struct {
		name string
		args []string
		code int
		out  string
		err  string
	}{
		{"no command", nil, exitUsage, "", "Usage: sailhead"},
		{"unknown command", []string{"fly"}, exitUsage, "", "fly"},
		{"help", []string{"--help"}, exitOK, "check-settings", ""},
		{"help of a command", []string{"operate", "--help"}, exitOK, "--json", ""},
		{"version", []string{"--version"}, exitOK, "sailhead dev", ""},
		{"missing file", []string{"entry"}, exitUsage, "", "required"},
		{"no such file", []string{"entry", "/nothing"}, exitFailure, "", "settings: unable to read /nothing"},
		{"good settings", []string{"check-settings", good}, exitOK, "good settings for the role agent", ""},
		{"bad settings", []string{"check-settings", bad}, exitFailure, "", bad + ":3: option slotz: is unknown"},
		{"bad settings stop the start", []string{"agent", bad}, exitFailure, "", bad + ":3: option slotz: is unknown"},
		{"another role's settings", []string{"entry", good}, exitFailure, "", `option role: is "agent", the command needs "entry"`},
		{"dump of a file", []string{"dump-settings", good}, exitOK, `"slots": 8,`, ""},
		{"dump of a role", []string{"dump-settings", "--role", "entry"}, exitOK, `"max_body": "8.0 MiB",`, ""},
		{"dump of an unknown role", []string{"dump-settings", "--role", "king"}, exitFailure, "", `role "king" is none of`},
		{"dump of nothing", []string{"dump-settings"}, exitFailure, "", "either a file or --role"},
		{"demo out of range", []string{"demo", "--agents", "0"}, exitFailure, "", "--agents 0 is not within 1 to 64"},
		{"time line of logs", []string{"timeline", "--job", "aa", log}, exitOK, "10:00:01.000000  entry-1  answered  job=aa detail=completed", ""},
		{"time line of an unknown job", []string{"timeline", "--job", "bb", log}, exitFailure, "", "no line of the logs names the job bb"},
		{"time line of a missing log", []string{"timeline", "/nothing"}, exitFailure, "", "unable to open a log"},
		{"a job without logs", []string{"timeline", "--job", "aa"}, exitFailure, "", "--job needs log files"},
		{"a submission in logs", []string{"timeline", "--submission", "aa", log}, exitFailure, "", "with log files use --job"},
		{"bad time", []string{"timeline", "--since", "soon"}, exitFailure, "", `--since "soon" is neither a span`},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := Run(test.args, strings.NewReader(""), &out, &errOut)
			if code != test.code || !strings.Contains(out.String(), test.out) || !strings.Contains(errOut.String(), test.err) {
				t.Errorf("got %d\nout: %s\nerr: %s", code, out.String(), errOut.String())
			}
		})
	}
}

func TestDemo(t *testing.T) {
	var out, errOut bytes.Buffer
	if code := Run([]string{"demo", "--time", "1s", "--rate", "20"}, strings.NewReader(""), &out, &errOut); code != exitOK {
		t.Fatalf("got %d: %s%s", code, out.String(), errOut.String())
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	last := lines[len(lines)-1]
	if !strings.HasPrefix(last, "demo: ") || !strings.HasSuffix(last, " complete, 0 not_run, 0 failed") || strings.HasPrefix(last, "demo: 0 ") {
		t.Errorf("the last line is %q", last)
	}
}
