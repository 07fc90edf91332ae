// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package shares keeps account of who uses a worker, and decides who comes first while demand exceeds what is free.
//
// Competitors are the kinds of jobs, in each availability zone. Accounts holds what each of them was given lately and what it usually gets, and
// Accounts.Divide divides the worker between them. Kinds.Headroom is what long tasks leave free for kinds of shorter ones. All of it is pure: time
// is an argument, and nothing here knows of sessions or reservations.
package shares
