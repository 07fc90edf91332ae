// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package shares tracks the usage of a worker and computes fair shares of it while demand exceeds free capacity.
//
// The competitors for a worker are the kinds of jobs, separately for each availability zone. Accounts holds the recent and the usual usage of
// each competitor, and Accounts.Divide divides the worker between them. Kinds.Headroom computes the capacity that long tasks leave free for
// kinds of shorter ones. The package has no side effects: time is an argument, and it does not depend on sessions or reservations.
package shares
