// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package logging

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

func TestFullRingDropsAndReportsLines(t *testing.T) {
	reader, writer := io.Pipe()
	ring, _ := NewRing(writer)
	for range 3 * ringLines {
		if _, err := ring.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if ring.Dropped() < ringLines-1 {
		t.Fatalf("%d lines were dropped, want at least %d", ring.Dropped(), ringLines-1)
	}
	buffer := make([]byte, 4096)
	var text strings.Builder
	for !strings.Contains(text.String(), "lines were dropped") {
		n, err := reader.Read(buffer)
		if err != nil {
			t.Fatal(err)
		}
		text.Write(buffer[:n])
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
}

func TestRingCleanUpWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	ring, flush := NewRing(&out)
	for range 100 {
		_, _ = ring.Write([]byte("line\n"))
	}
	flush()
	if got := strings.Count(out.String(), "line\n"); got != 100 {
		t.Fatalf("%d lines were written, want 100", got)
	}
}

func TestLimitedReportsSuppressedLines(t *testing.T) {
	var out bytes.Buffer
	logger := NewLimited(log.NewLogfmtLogger(&out), 1000)
	for range 5000 {
		_ = logger.Log("msg", "x")
	}
	lines := strings.Count(out.String(), "\n")
	if lines < 2000 || lines >= 5000 {
		t.Fatalf("%d lines were logged, want 2000 to 4999", lines)
	}
	logger.limiter.SetBurst(1 << 20)
	for !strings.Contains(out.String(), "suppressed=") {
		_ = logger.Log("msg", "y")
	}
}

func BenchmarkLogLine(b *testing.B) {
	ring, flush := NewRing(io.Discard)
	defer flush()
	logger := New(ring, LevelInfo, "process")
	b.ReportAllocs()
	for b.Loop() {
		_ = logger.Log("msg", "answered", "job", "5c0e7a21d94b36f8", "kind", "r1", "age", "12ms", "detail", "completed")
	}
}

func TestLevelCanChangeWhileInUse(t *testing.T) {
	var out bytes.Buffer
	logger, setLevel := NewAdjustable(&out, LevelInfo, "process")
	part := Part(logger, "entry")
	_ = level.Debug(part).Log("msg", "first")
	setLevel(LevelDebug)
	_ = level.Debug(part).Log("msg", "second")
	if text := out.String(); strings.Contains(text, "first") || !strings.Contains(text, "second") || !strings.Contains(text, "part=entry") {
		t.Fatalf("logged %q; want the second line only, with part=entry", text)
	}
}
