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

func TestNowFollowsTheKernelsClockThatCountsSuspensions(t *testing.T) {
	read := func() time.Duration {
		var now unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
			t.Fatal(err)
		}
		return time.Duration(now.Nano())
	}
	before, now, after := read(), Now(), read()
	if at := started + now.Sub(origin); at < before || at > after {
		t.Fatalf("the clock reads %s, the kernel %s before and %s after", at, before, after)
	}
	if strings.Contains(now.String(), "m=") {
		t.Fatalf("%s has a reading of the steady clock, by which times would be compared", now)
	}
}

func TestSinceAndUntil(t *testing.T) {
	at := Now().Add(-time.Minute)
	if since, until := Since(at), Until(at); since < time.Minute || until > -time.Minute || since > 2*time.Minute {
		t.Fatalf("since %s, until %s", since, until)
	}
}

// measuring are the files whose use of package time's clock ends no right, with what they use it for.
var measuring = map[string]string{
	"internal/agent/agent.go":        "the time of day as the process's incarnation and fencing token",
	"internal/agent/metrics.go":      "the time of runs, for metrics",
	"internal/agent/registration.go": "the time of a registration, for the log",
	"internal/entry/dependencies.go": "the time of an outage, for the log",
	"internal/entry/entry.go":        "the time of day as the process's incarnation",
	"internal/stream/connection.go":  "the deadline of a write, which the network counts by the steady clock",
	"platform/http.go":               "the pace at which idle connections are closed",
}

// TestRightsEndByThisClock looks for readings of package time's clock on the path that runs on call: a right that ends by it
// outlasts a suspension of the VM.
func TestRightsEndByThisClock(t *testing.T) {
	reading := regexp.MustCompile(`\btime\.(Now|Since|Until)\b`)
	used := make(map[string]bool)
	for _, dir := range []string{"agent", "cluster", "dispatch", "durable", "ejection", "entry", "forecast", "handover", "learned", "runner", "session", "shares", "stream", "subset", "worker", "../platform"} {
		files, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("no files in %s: %v", dir, err)
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
			if measuring[name] == "" {
				t.Errorf("%s reads package time's clock, which stands still while a VM is suspended", name)
			}
		}
	}
	for name := range measuring {
		if !used[name] {
			t.Errorf("%s does not read package time's clock any more", name)
		}
	}
}
