// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// maxAcceptedIDs is how many ids one line of accepted jobs holds at most: with the ids of the users' callers, 16 characters each, a line
// stays below 600 bytes.
const maxAcceptedIDs = 32

// acceptedJobs collects the ids of accepted jobs for the log. Without them a job that is lost with its entry would have no
// line anywhere. Ids are logged together at each tick, so there are at most as many lines as ticks, and one more for each
// maxAcceptedIDs jobs. The zero value is ready for use.
type acceptedJobs struct {
	ids []string
}

// add adds the id of a job, and logs the ids if a line is full.
func (a *acceptedJobs) add(logger log.Logger, id string) {
	a.ids = append(a.ids, id)
	if len(a.ids) >= maxAcceptedIDs {
		a.flush(logger)
	}
}

// flush logs the ids that were added since the last line, if there are any.
func (a *acceptedJobs) flush(logger log.Logger) {
	if len(a.ids) == 0 {
		return
	}
	_ = level.Info(logger).Log("msg", "accepted", "count", len(a.ids), "jobs", strings.Join(a.ids, ","))
	a.ids = a.ids[:0]
}
