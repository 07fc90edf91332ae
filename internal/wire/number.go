// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package wire

import (
	"math"
	"time"
)

// hundred converts factors and shares to and from hundredths.
const hundred = 100

// Count returns n as it is on the wire; a value out of range is set to the nearest one.
func Count(n int) uint32 {
	return uint32(max(0, min(n, math.MaxUint32)))
}

// Millis returns a duration as it is on the wire; parts of a millisecond are dropped.
func Millis(d time.Duration) uint32 {
	return Count(int(d.Milliseconds()))
}

// Duration is the inverse of Millis.
func Duration(millis uint32) time.Duration {
	return time.Duration(millis) * time.Millisecond
}

// Hundredths returns a factor or share as it is on the wire.
func Hundredths(factor float64) uint32 {
	return Count(int(math.Round(factor * hundred)))
}

// Fraction is the inverse of Hundredths.
func Fraction(hundredths uint32) float64 {
	return float64(hundredths) / hundred
}
