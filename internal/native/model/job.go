// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package model

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// MaxTasks is the largest number of tasks in one job.
const MaxTasks = 1800

// Job is one submission of a caller: tasks of one kind that are answered together.
type Job struct {
	Key Key
	// Attempt counts from 1. A caller raises it to submit a job again that was not run.
	Attempt  uint32
	Service  string
	Kind     string
	Team     string
	Deadline time.Time
	// Tasks are the payloads.
	Tasks [][]byte
	// Trace joins the events of one request in the time line.
	Trace string
}

// Hash is a digest of a job's contents.
type Hash [sha256.Size]byte

// Hash returns the digest of service, kind, team and tasks. Deadline and attempt are left out, as they may differ when the
// job is submitted again.
func (j Job) Hash() Hash {
	digest := sha256.New()
	write := func(part []byte) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		digest.Write(size[:])
		digest.Write(part)
	}
	write([]byte(j.Service))
	write([]byte(j.Kind))
	write([]byte(j.Team))
	for _, payload := range j.Tasks {
		write(payload)
	}
	return Hash(digest.Sum(nil))
}

// TaskID identifies a task of a submission.
type TaskID struct {
	Key Key
	// Index is the task's place in the job, from 0.
	Index uint32
}
