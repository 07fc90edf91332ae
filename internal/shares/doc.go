// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package shares keeps account of who uses a worker, and decides who comes first while demand exceeds what is free.
//
// Competitors are the kinds of jobs, in each availability zone. Accounts hold what each of them was given lately and what it usually gets;
// Entitle divides the worker between them; Headroom is what long tasks leave free for kinds of shorter ones. All of it is pure: nothing here
// knows of sessions, reservations or time other than as arguments.
package shares
