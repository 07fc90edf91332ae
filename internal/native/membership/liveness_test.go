// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"sailhead/internal/native/ownership"
)

func TestUnresponsiveProcessesAreProbedAndSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLiveness(time.Now)
		l.Heard("a")
		if l.BeginProbe("a") {
			t.Error("a process that was just heard from is probed")
		}
		time.Sleep(ResponseTimeout)
		if !l.BeginProbe("a") || l.BeginProbe("a") {
			t.Error("got no probe of an unresponsive process, or two at a time")
		}
		l.EndProbe("a", false)
		if got := l.Suspects(); len(got) != 1 || got[0] != "a" {
			t.Errorf("got suspects %v", got)
		}
		l.Heard("a")
		if got := l.Suspects(); len(got) != 0 {
			t.Errorf("got suspects %v after a message from the process", got)
		}
		l.EndProbe("b", false)
		time.Sleep(suspicionTimeout)
		if got := l.Suspects(); len(got) != 0 {
			t.Errorf("got suspects %v after suspicionTimeout", got)
		}
		l.EndProbe("b", false)
		l.Keep(ownership.Roster{})
		if got := l.Suspects(); len(got) != 0 {
			t.Errorf("got suspects %v that the roster does not list", got)
		}
	})
}
