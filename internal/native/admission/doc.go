// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package admission has the calculations by which owners and guards admit work: the service time to expect
// (estimator.go), the wait for a slot (demand.go) and the retry-after of what is refused (retryafter.go).
//
// It owns no shared state: each owner and each guard has its own Estimator, which learns only from the tasks that it
// has seen itself. The package relies on model.Load as guards report it, which may be old: a guard that dies leaves its
// last load behind, and it is for package placement to exclude its worker.
//
// The decisions that use it are owner.Owner.refuse (whole jobs, before the first start) and guard.Guard.refuse (single
// tasks).
package admission
