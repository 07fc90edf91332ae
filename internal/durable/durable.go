// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import "github.com/cespare/xxhash/v2"

// Shard is the number of a shard, below Shards.
type Shard uint8

// Shards is the number of shards. It is part of the stored format: with another number, stored jobs would be looked for in the wrong shard.
// It bounds the number of entries that can own durable jobs.
const Shards = 16

// ShardOf returns the shard of a job by its id.
func ShardOf(job string) Shard {
	return Shard(xxhash.Sum64String(job) % Shards)
}

// Token is a fencing token: the store's revision of the claim under which a shard is written. A later claim has a higher one.
type Token int64

// Lease is the store's id of a lease; 0 is none.
type Lease int64

// Sequence numbers the batches of a shard in the order of their writes, from 1; 0 is none.
type Sequence uint64

// Claim is the stored record of a shard's owner. Its JSON form is read by other versions.
type Claim struct {
	Shard Shard `json:"shard"`
	// Owner is the name of the entry, and Address is where it serves other entries.
	Owner   string `json:"owner"`
	Address string `json:"address"`
	// Incarnation distinguishes the processes that have had the owner's name.
	Incarnation int64 `json:"incarnation"`
	// Lease is the lease that the claim is bound to.
	Lease Lease `json:"lease"`
	// Token is the revision of the claim's key, known once it is written.
	Token Token `json:"-"`
}

// Waiter is the id of a request that waits for an answer.
type Waiter uint64

// State is the state of a job; the zero value is no state.
type State int

// The states of a job.
const (
	StateQueued State = iota + 1
	StateRunning
	StateCompleted
	StateFailed
	StateCancelled
)

// IsEnd reports whether the state is final.
func (s State) IsEnd() bool { return s >= StateCompleted }
