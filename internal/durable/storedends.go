// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"sailhead/internal/dispatch"
	"sailhead/internal/runner"
)

// A process of an agent stores the ends that no owner has acknowledged, in one record for each shard. The owner of a shard reads the records and
// records the ends, as if the agents had reported them.
//
// Inputs: the requests of the dispatcher, which waits to start tasks again; the records in the store.
//
// Rule: the records of an owned shard are read once when the shard is taken over, after each request, and every minEndsReadInterval while there
// are any. Reads of one shard are at least minEndsReadInterval apart. A request is answered after a read that began later, and a read that fails
// is repeated. A record is removed once all its ends are written, unless its agent has changed it since.
//
// Reason: the agent and the owner may be unable to reach each other for longer than any wait, while both reach the store. Each process has
// records of its own, as it may not know all ends that an earlier one has stored. The removal keeps the records of processes that have ended
// from remaining for good.

// minEndsReadInterval is the shortest time between two reads of the stored ends of a shard: as the dispatcher asks for each job, it limits the
// reads of an owner of all shards to 64 a second.
const minEndsReadInterval = 250 * time.Millisecond

// AgentProcess identifies a process of an agent.
type AgentProcess struct {
	Agent dispatch.AgentID
	// Incarnation distinguishes successive processes of the agent.
	Incarnation int64
}

// StoredEnds is the record of the ends of runs that a process of an agent has stored for the owner of a shard.
type StoredEnds struct {
	Shard   Shard
	Process AgentProcess
	// Ends are ends with a result. If there are none, there is no record.
	Ends []runner.Update
	// Revision is the store's revision of the record, 0 if there is none.
	Revision int64
}

// storedEndsList is the stored form of StoredEnds. Entries of other versions read it.
type storedEndsList struct {
	Ends []storedEnd `json:"ends"`
}

// storedEnd is the stored form of an end.
type storedEnd struct {
	Task   string `json:"task"`
	Run    uint32 `json:"run"`
	Failed bool   `json:"failed,omitempty"`
}

// EncodeEnds returns the stored form of ends.
func EncodeEnds(ends []runner.Update) []byte {
	var list storedEndsList
	for _, end := range ends {
		list.Ends = append(list.Ends, storedEnd{Task: end.Name, Run: end.Run, Failed: end.Outcome == runner.OutcomeFailed})
	}
	data, err := json.Marshal(list)
	if err != nil {
		// Unreachable: a list contains only strings, numbers and booleans, which can always be encoded.
		panic(fmt.Sprintf("durable: unable to encode stored ends: %s", err))
	}
	return data
}

// DecodeEnds is the inverse of EncodeEnds. It returns an error if the data is not the stored form of ends.
func DecodeEnds(data []byte) ([]runner.Update, error) {
	var list storedEndsList
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "durable: unable to decode stored ends")
	}
	ends := make([]runner.Update, 0, len(list.Ends))
	for _, end := range list.Ends {
		if end.Task == "" {
			return nil, errors.New("durable: a stored end names no task")
		}
		update := runner.Update{Name: end.Task, Run: end.Run, Outcome: runner.OutcomeDone, Unacknowledged: true}
		if end.Failed {
			update.Outcome = runner.OutcomeFailed
		}
		ends = append(ends, update)
	}
	return ends, nil
}

// EndsByShard returns the records in which a process of an agent stores ends, in the order of the shards.
func EndsByShard(process AgentProcess, ends []runner.Update) []StoredEnds {
	var records []StoredEnds
	for shard := range Shard(Shards) {
		isOther := func(end runner.Update) bool { return ShardOf(runner.JobOf(end.Name)) != shard }
		if own := slices.DeleteFunc(slices.Clone(ends), isOther); len(own) > 0 {
			records = append(records, StoredEnds{Shard: shard, Process: process, Ends: own})
		}
	}
	return records
}

// storedEndsReading is the progress of reading the stored ends of a shard.
type storedEndsReading struct {
	// wanted are the jobs whose requests wait for the next read, and reading those that wait for the read in flight.
	wanted, reading []string
	inFlight        bool
	lastSent        time.Time
	// areLeft is set if there may be records.
	areLeft bool
}

// requestStoredEnds makes a request of the dispatcher wait for the next read.
func (c *Coordinator) requestStoredEnds(e StoredEndsRequested) {
	s := c.shards[ShardOf(e.Job)]
	if s.isHeld() {
		s.ends.wanted = append(s.ends.wanted, e.Job)
	}
}

// readStoredEndsIfDue reads the stored ends of a shard if that is due.
func (c *Coordinator) readStoredEndsIfDue(now time.Time, s *shard) {
	isWanted := len(s.ends.wanted) > 0 || s.ends.areLeft
	if s.state != owned || !isWanted || s.ends.inFlight || now.Sub(s.ends.lastSent) < minEndsReadInterval {
		return
	}
	s.ends.inFlight, s.ends.lastSent = true, now
	s.ends.reading, s.ends.wanted = s.ends.wanted, nil
	c.emit(CallReadEnds{Shard: s.number, Token: s.token})
}

// storedEndsRead records the stored ends of a shard, and answers the requests that waited for the read.
func (c *Coordinator) storedEndsRead(e StoredEndsAnswered) {
	s := c.shards[e.Shard]
	if !s.isHeldUnder(e.Token) || !s.ends.inFlight {
		return
	}
	s.ends.inFlight = false
	if e.Err != nil {
		s.ends.wanted = append(s.ends.reading, s.ends.wanted...)
		s.ends.reading = nil
		c.logDecision(s, DecisionEndsUnread, e.Err.Error())
		return
	}
	s.ends.areLeft = len(e.Records) > 0
	for _, record := range e.Records {
		c.applyStoredEnds(s, record)
	}
	for _, id := range s.ends.reading {
		c.emit(ToDispatcher{Event: dispatch.StoredEndsRead{Job: id}})
	}
	s.ends.reading = nil
}

// applyStoredEnds records the ends of a record, or removes the record if all of them are written.
func (c *Coordinator) applyStoredEnds(s *shard, record StoredEnds) {
	areWritten := true
	for _, end := range record.Ends {
		c.taskEnded(TaskEnded{Agent: record.Process.Agent, Update: end})
		areWritten = areWritten && s.isWritten(end)
	}
	if areWritten {
		c.emit(CallRemoveEnds{Record: record})
	}
}

// isWritten reports whether everything that the shard has learned of the job of an end is written.
func (s *shard) isWritten(end runner.Update) bool {
	j, ok := s.jobs[runner.JobOf(end.Name)]
	return !ok || j.unwritten == 0
}
