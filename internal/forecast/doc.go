// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package forecast tells how long a job will wait at an entry for room on a worker. It does no I/O and reads no clock.
//
// The tasks that wait are placed at the rate at which such tasks were placed lately. That holds whatever takes the room meanwhile: the
// jobs of other entries, more urgent kinds, the shares of kinds. All of these show in the rate, and nobody has to tell them.
package forecast
