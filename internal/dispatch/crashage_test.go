// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"testing"
	"time"
)

// TestWhichAgesAreSimilar covers ages that agents may have overestimated by up to their errors, early and late in a run.
func TestWhichAgesAreSimilar(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name  string
		a, b  Crash
		alike bool
	}{
		{"exact ages within the tolerance", Crash{Age: 10 * ms}, Crash{Age: 16 * ms}, true},
		{"exact ages beyond it", Crash{Age: 10 * ms}, Crash{Age: 17 * ms}, false},
		{"the higher age may be too high", Crash{Age: 12 * ms}, Crash{Age: 32 * ms, AgeError: 21 * ms}, true},
		{"not by enough", Crash{Age: 12 * ms}, Crash{Age: 32 * ms, AgeError: 13 * ms}, false},
		{"only the lower age may be too high", Crash{Age: 12 * ms, AgeError: 16 * ms}, Crash{Age: 32 * ms}, false},
		{"both early in a long run, the older on a busy VM", Crash{Age: 10 * ms, Expected: time.Second}, Crash{Age: 45 * ms, Expected: time.Second, WasBusy: true}, true},
		{"the younger on a busy VM", Crash{Age: 10 * ms, Expected: time.Second, WasBusy: true}, Crash{Age: 45 * ms, Expected: time.Second}, false},
		{"one of them not early", Crash{Age: 10 * ms, Expected: time.Second}, Crash{Age: 55 * ms, Expected: time.Second, WasBusy: true}, false},
		{"in a short run", Crash{Age: 10 * ms, Expected: 200 * ms}, Crash{Age: 45 * ms, Expected: 200 * ms, WasBusy: true}, false},
		{"in a run of unknown length", Crash{Age: 10 * ms}, Crash{Age: 45 * ms, WasBusy: true}, false},
		{"early but for an error", Crash{Age: 10 * ms, Expected: time.Second}, Crash{Age: 65 * ms, AgeError: 15 * ms, Expected: time.Second, WasBusy: true}, true},
		{"both may be too high", Crash{Age: 24 * ms, AgeError: 10 * ms}, Crash{Age: 40 * ms, AgeError: 12 * ms}, true},
	} {
		if alike := haveSimilarAges(test.a, test.b); alike != test.alike {
			t.Errorf("%s: similar ages = %t, want %t", test.name, alike, test.alike)
		}
		if alike := haveSimilarAges(test.b, test.a); alike != test.alike {
			t.Errorf("%s, in the other order: similar ages = %t, want %t", test.name, alike, test.alike)
		}
	}
}
