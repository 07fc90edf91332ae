// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package daemon

import (
	"slices"
	"testing"

	"sailhead/internal/native/ownership"
)

// TestOwnersThatDeclineAreNotAskedInTurns has a leaving owner decline a key, and the next one name the leaving owner, to
// which another entry had sent the key. Both were asked in turns until the request failed.
func TestOwnersThatDeclineAreNotAskedInTurns(t *testing.T) {
	f := forwarding{}
	f.declined("leaving", "")
	f.declined("next", "leaving")
	if want := []ownership.MemberID{"leaving", "next"}; !slices.Equal(f.avoid, want) {
		t.Errorf("the request avoids %v, want %v", f.avoid, want)
	}
}

func TestAnOwnerThatNamesAnotherIsAskedAgain(t *testing.T) {
	f := forwarding{}
	f.declined("next", "first")
	if len(f.avoid) > 0 {
		t.Errorf("the request avoids %v, want none", f.avoid)
	}
}
