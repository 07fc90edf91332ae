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
	Key      Key
	Attempt  uint32
	Service  string
	Kind     string
	Team     string
	Deadline time.Time
	Tasks    [][]byte
	Trace    string
}

// Hash is a digest of what a job asks for.
type Hash [sha256.Size]byte

// Hash returns the digest over service, kind, team and tasks; deadline and attempt stay out of it.
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

// TaskID names one task of one submission.
type TaskID struct {
	Key   Key
	Index uint32
}
