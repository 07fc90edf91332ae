// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"sailhead/internal/runner"
	"sailhead/internal/worker"
)

// This file estimates how many workers currently crash for causes other than tasks, in which case several crashes under one task
// may be a coincidence.
//
// Inputs: the crashes of the last historyTime with the tasks that were on the workers, and which of them are known to be caused by
// a task; the number of registered agents.
//
// Rule: a crash is caused by a task if the crashes under the task have a common cause (haveCommonCause), or if the task was contained
// and the crash alone is evidence against its job (isEvidence). A crash is unexplained if it is older than settleTime, is not known
// to be caused by a task, and no other worker has crashed under any of its tasks. Workers crash for other causes if any crash is
// unexplained, and for many other causes if the number of unexplained crashes reaches the number of agents divided by
// agentsPerUnexplained, and at least manyUnexplained. In both cases there must be at least unexplainedPerCaused unexplained
// crashes per caused one.
//
// Reason: if a fraction of all workers is killed every second, the probability that two of them are killed under the same task is
// the square of that fraction, and sometimes its runs have about the same age. Two such crashes look like those that a task causes.
// The other crashes show the difference: a task that crashes its workers runs again at once and crashes the next one. Every entry
// learns of all crashes, with the tasks of all entries. The rate at which workers are killed is known only after a while, so the
// first unexplained crash already counts. Two crashes that may be a coincidence are not marked as caused: otherwise the next such
// pair would be attributed to its task more easily.
//
// Cost: while workers are killed, a task that crashes its workers crashes a third one before it is given up, unless there are several
// such tasks.

const (
	// historyTime is how long crashes are kept for this estimate.
	historyTime = 10 * time.Second
	// settleTime is the time after a crash within which another one must follow if a task caused it: a suspect runs again at once
	// and crashes its next worker within a fraction of a second.
	settleTime = time.Second
	// agentsPerUnexplained is the number of agents per unexplained crash at or below which the crashes count as many. With fewer
	// crashes, less than one worker in a hundred is killed every second, and three of them under one task are very unlikely.
	agentsPerUnexplained = 10
	// manyUnexplained is the minimum number of unexplained crashes that count as many.
	manyUnexplained = 5
	// unexplainedPerCaused is the minimum number of unexplained crashes per crash caused by a task for workers to count as crashing
	// for other causes. If many tasks crash workers, waiting for a third crash of each delays more jobs than would be given up by
	// mistake.
	unexplainedPerCaused = 10
	// maxHistory bounds the number of crashes in the history.
	maxHistory = 256
)

// pastCrash is a crash of the last historyTime.
type pastCrash struct {
	agent       AgentID
	incarnation worker.Incarnation
	at          time.Time
	tasks       []string
	// isShared is set if another worker has crashed under one of the tasks, and isCaused if one of the tasks caused this crash.
	isShared bool
	isCaused bool
}

// crashHistory holds the crashes of the last historyTime in the order in which they became known.
type crashHistory struct{ crashes []pastCrash }

// add records a crash. A later report of the same crash may contain further tasks.
func (h *crashHistory) add(now time.Time, agent AgentID, crash runner.Crash) {
	h.removeBefore(now.Add(-historyTime))
	recorded := h.find(agent, crash.Incarnation)
	if recorded == nil {
		recorded = h.addNew(pastCrash{agent: agent, incarnation: crash.Incarnation, at: now.Add(-crash.Age)})
	}
	for _, run := range crash.Runs {
		if !slices.Contains(recorded.tasks, run.Task) {
			recorded.tasks = append(recorded.tasks, run.Task)
		}
	}
	for i := range h.crashes {
		if other := &h.crashes[i]; other != recorded && other.sharesTask(*recorded) {
			other.isShared, recorded.isShared = true, true
		}
	}
}

// addNew appends a crash, and removes the oldest one if there are maxHistory already.
func (h *crashHistory) addNew(crash pastCrash) *pastCrash {
	if len(h.crashes) >= maxHistory {
		h.crashes = h.crashes[1:]
	}
	h.crashes = append(h.crashes, crash)
	return &h.crashes[len(h.crashes)-1]
}

// find returns a crash, or nil if it is not in the history.
func (h *crashHistory) find(agent AgentID, incarnation worker.Incarnation) *pastCrash {
	isSame := func(c pastCrash) bool { return c.agent == agent && c.incarnation == incarnation }
	if at := slices.IndexFunc(h.crashes, isSame); at >= 0 {
		return &h.crashes[at]
	}
	return nil
}

// sharesTask reports whether any task was on the workers of both crashes.
func (c *pastCrash) sharesTask(other pastCrash) bool {
	return slices.ContainsFunc(c.tasks, func(task string) bool { return slices.Contains(other.tasks, task) })
}

// markCaused marks a crash as caused by a task.
func (h *crashHistory) markCaused(agent AgentID, incarnation worker.Incarnation) {
	if c := h.find(agent, incarnation); c != nil {
		c.isCaused = true
	}
}

// removeBefore removes the crashes that occurred before the limit.
func (h *crashHistory) removeBefore(limit time.Time) {
	h.crashes = slices.DeleteFunc(h.crashes, func(c pastCrash) bool { return c.at.Before(limit) })
}

// otherCauses is a level of worker crashes with causes other than tasks.
type otherCauses int

const (
	noOtherCauses otherCauses = iota
	someOtherCauses
	manyOtherCauses
)

// otherCauses returns the current level of worker crashes with causes other than tasks. agents is the number of registered agents.
func (h *crashHistory) otherCauses(now time.Time, agents int) otherCauses {
	settled := now.Add(-settleTime)
	caused, unexplained := 0, 0
	for _, c := range h.crashes {
		switch {
		case c.isCaused:
			caused++
		case !c.isShared && !c.at.After(settled):
			unexplained++
		}
	}
	many := max(manyUnexplained, (agents+agentsPerUnexplained-1)/agentsPerUnexplained)
	switch {
	case unexplained == 0, unexplained < caused*unexplainedPerCaused:
		return noOtherCauses
	case unexplained < many:
		return someOtherCauses
	default:
		return manyOtherCauses
	}
}
