// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package forecast predicts how long a job will wait at an entry for free capacity on a worker. It does no I/O and reads no clock.
//
// The prediction assumes that waiting tasks are placed at the rate at which such tasks were placed recently. The rate already reflects
// everything else that uses capacity, such as jobs of other entries, more urgent kinds and fair shares, so that none of it has to be modelled.
package forecast
