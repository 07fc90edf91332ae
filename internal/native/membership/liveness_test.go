// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"sailhead/internal/native/ownership"
)

func TestLiveness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLiveness(time.Now)
		l.Heard("a")
		if l.BeginProbe("a") {
			t.Error("a process just heard is probed")
		}
		time.Sleep(Silence)
		if !l.BeginProbe("a") || l.BeginProbe("a") {
			t.Error("a silent process must be probed, by one probe at a time")
		}
		l.EndProbe("a", false)
		if got := l.Suspects(); len(got) != 1 || got[0] != "a" {
			t.Errorf("got suspects %v", got)
		}
		l.Heard("a")
		if got := l.Suspects(); len(got) != 0 {
			t.Errorf("got suspects %v after a word", got)
		}
		l.EndProbe("b", false)
		time.Sleep(suspicionTime)
		if got := l.Suspects(); len(got) != 0 {
			t.Errorf("got suspects %v after the suspicion", got)
		}
		l.EndProbe("b", false)
		l.Keep(ownership.Roster{})
		if got := l.Suspects(); len(got) != 0 {
			t.Errorf("got suspects %v that the roster does not list", got)
		}
	})
}
