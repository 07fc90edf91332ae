// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package wire

import (
	"math"
	"time"
)

// hundred is the factor between ratios and hundredths.
const hundred = 100

// Count converts n to its wire type. A value out of range is clamped.
func Count(n int) uint32 {
	return uint32(max(0, min(n, math.MaxUint32)))
}

// Millis converts a duration to whole milliseconds. Fractions are truncated.
func Millis(d time.Duration) uint32 {
	return Count(int(d.Milliseconds()))
}

// Duration converts milliseconds to a duration.
func Duration(millis uint32) time.Duration {
	return time.Duration(millis) * time.Millisecond
}

// Hundredths converts a ratio to hundredths, rounded to the nearest integer.
func Hundredths(factor float64) uint32 {
	return Count(int(math.Round(factor * hundred)))
}

// Fraction converts hundredths to a ratio.
func Fraction(hundredths uint32) float64 {
	return float64(hundredths) / hundred
}
