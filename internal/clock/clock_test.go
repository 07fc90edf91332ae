// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package clock

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func TestNowFollowsBoottimeClock(t *testing.T) {
	read := func() time.Duration {
		var now unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
			t.Fatal(err)
		}
		return time.Duration(now.Nano())
	}
	before, now, after := read(), Now(), read()
	if at := started + now.Sub(origin); at < before || at > after {
		t.Fatalf("got clock reading %s, want a value between the kernel's readings %s and %s", at, before, after)
	}
	if strings.Contains(now.String(), "m=") {
		t.Fatalf("%s has a monotonic reading, which comparisons would use instead of the boottime clock", now)
	}
}

func TestSinceAndUntil(t *testing.T) {
	at := Now().Add(-time.Minute)
	if since, until := Since(at), Until(at); since < time.Minute || until > -time.Minute || since > 2*time.Minute {
		t.Fatalf("got since %s and until %s for a time one minute ago", since, until)
	}
}

// allowedFiles lists the files that may read package time's clock, with what they use it for. None of these uses decides when something
// expires.
var allowedFiles = map[string]string{
	"internal/agent/agent.go":        "wall-clock time as the process's incarnation and fencing token",
	"internal/agent/metrics.go":      "duration of runs, for metrics",
	"internal/agent/registration.go": "duration of a registration, for the log",
	"internal/entry/dependencies.go": "duration of an outage, for the log",
	"internal/entry/entry.go":        "wall-clock time as the process's incarnation",
	"internal/stream/connection.go":  "write deadline, which package net measures on the monotonic clock",
	"platform/http.go":               "interval at which idle connections are closed",
}

// TestExpiryUsesBoottimeClock searches the packages that serve jobs for uses of package time's clock. A lease or deadline measured by it
// would stay valid for too long after a suspension of the VM.
func TestExpiryUsesBoottimeClock(t *testing.T) {
	reading := regexp.MustCompile(`\btime\.(Now|Since|Until)\b`)
	used := make(map[string]bool)
	for _, dir := range []string{"agent", "cluster", "dispatch", "durable", "ejection", "entry", "forecast", "handover", "learned", "runner", "session", "shares", "stream", "subset", "worker", "../platform"} {
		files, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("no Go files found in %s: %v", dir, err)
		}
		for _, file := range files {
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			name := strings.TrimPrefix(filepath.ToSlash(filepath.Join("internal", dir, filepath.Base(file))), "internal/../")
			if strings.HasSuffix(name, "_test.go") || !reading.Match(source) {
				continue
			}
			used[name] = true
			if allowedFiles[name] == "" {
				t.Errorf("%s reads package time's clock, which stops while the VM is suspended", name)
			}
		}
	}
	for name := range allowedFiles {
		if !used[name] {
			t.Errorf("%s no longer reads package time's clock; remove it from allowedFiles", name)
		}
	}
}
