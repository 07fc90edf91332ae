// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sailhead/internal/dispatch"
	"sailhead/internal/metric"
)

// The most lines a second for decisions that went well, and for all others.
const (
	successLines = 20
	otherLines   = 200
)

// count counts a decision.
func (e *Entry) count(n dispatch.DecisionMade) {
	switch n.Decision {
	case dispatch.DecisionAnswered:
		e.metrics.Add(metric.JobsPrefix+string(n.Outcome), 1)
		e.answerTimes.Record(n.Kind+" "+string(n.Outcome), n.Age)
	case dispatch.DecisionPlaced:
		e.metrics.Add(metric.TasksStarted, 1)
		if n.Run == 1 {
			e.queueTimes.Record(n.Kind, n.Age)
		}
	case dispatch.DecisionEnded:
		e.metrics.Add(metric.TasksEnded, 1)
	}
}

// loggerFor returns the logger of a decision: those that went well are sampled, placements are for debugging.
func (e *Entry) loggerFor(n dispatch.DecisionMade) log.Logger {
	switch {
	case n.Decision == dispatch.DecisionPlaced, n.Decision == dispatch.DecisionAccepted,
		n.Decision == dispatch.DecisionEnded && n.Detail == "done ":
		return level.Debug(e.logger)
	case n.Outcome == dispatch.OutcomeCompleted && n.Detail == string(n.Outcome):
		// Completed within its objective: others tell why not.
		return e.successes
	default:
		return e.others
	}
}

// log logs a decision.
func (e *Entry) log(n dispatch.DecisionMade) {
	e.count(n)
	logger := e.loggerFor(n)
	fields := []any{"msg", string(n.Decision)}
	if n.Job != "" {
		fields = append(fields, "job", n.Job, "kind", n.Kind, "age", n.Age.Round(time.Millisecond/10))
	}
	if n.Task != "" {
		fields = append(fields, "task", n.Task, "run", n.Run)
	}
	if n.Agent != "" {
		fields = append(fields, "agent", string(n.Agent))
	}
	_ = logger.Log(append(fields, "detail", n.Detail)...)
}
