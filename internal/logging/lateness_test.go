// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
)

func TestOnlyLateTicksAreLogged(t *testing.T) {
	var out bytes.Buffer
	l := NewLateness(log.NewLogfmtLogger(&out), 10*time.Millisecond)
	now := time.Unix(1000, 0)
	for _, wait := range []time.Duration{0, 10 * time.Millisecond, 200 * time.Millisecond, 10 * time.Millisecond} {
		now = now.Add(wait)
		l.Ticked(now)
	}
	if out.Len() > 0 {
		t.Errorf("a tick in time is logged: %s", out.String())
	}
	l.Ticked(now.Add(410 * time.Millisecond))
	if got := out.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "by=400ms") {
		t.Errorf("a tick that is 400 ms late is logged as %q", got)
	}
}
