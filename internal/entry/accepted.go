// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// maxAcceptedIDs is the largest number of job ids in one log line. Ids from callers have 16 characters, so that a line
// stays below 600 bytes.
const maxAcceptedIDs = 32

// acceptedJobs batches the ids of accepted jobs for the log. Without them, a job that is lost with its entry would leave
// no trace in any log. Ids are logged together at each tick, which limits the lines to one per tick plus one per
// maxAcceptedIDs jobs. The zero value is ready for use.
type acceptedJobs struct {
	ids []string
}

// add adds the id of a job, and logs the collected ids if there are enough for a full line.
func (a *acceptedJobs) add(logger log.Logger, id string) {
	a.ids = append(a.ids, id)
	if len(a.ids) >= maxAcceptedIDs {
		a.flush(logger)
	}
}

// flush logs the ids added since the last line, if any.
func (a *acceptedJobs) flush(logger log.Logger) {
	if len(a.ids) == 0 {
		return
	}
	_ = level.Info(logger).Log("msg", "accepted", "count", len(a.ids), "jobs", strings.Join(a.ids, ","))
	a.ids = a.ids[:0]
}
