// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package agent

import (
	"strings"

	"sailhead/internal/worker"
)

// describeKind returns a worker's answer without its reason.
func describeKind(result any) string {
	kind, _, _ := strings.Cut(describe(result), ":")
	return kind
}

// describe returns a worker's answer as it is logged.
func describe(result any) string {
	switch r := result.(type) {
	case worker.Fenced:
		return "fenced"
	case worker.Outdated:
		return "outdated"
	case worker.TooLate:
		return "too_late"
	case worker.InsufficientResources:
		return "no_room"
	case worker.Unhealthy:
		return "unhealthy"
	case worker.WrongIncarnation:
		return "other_life"
	case worker.Invalid:
		return "invalid: " + r.Reason
	case worker.NotReached:
		return "not_reached: " + r.Reason
	case worker.Unanswered:
		return "unanswered: " + r.Reason
	default:
		return "accepted"
	}
}
