// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import "github.com/cespare/xxhash/v2"

// Shard is the number of a shard, below Shards.
type Shard uint8

// Shards is the number of shards. It is part of the stored format: with another number, stored jobs would be looked up in the
// wrong shard. At most this many entries can own durable jobs.
const Shards = 16

// ShardOf returns the shard that the job with the given id belongs to.
func ShardOf(job string) Shard {
	return Shard(xxhash.Sum64String(job) % Shards)
}

// Token is a fencing token: the store's revision of the claim under which a shard is written. A later claim has a higher token.
type Token int64

// Lease is the id that the store gave a lease; 0 means no lease.
type Lease int64

// Sequence is the number of a batch of a shard. Batches are numbered from 1 in the order in which they are written; 0 means no
// batch.
type Sequence uint64

// Claim is the stored record of a shard's owner. Entries of other versions read its JSON form.
type Claim struct {
	Shard Shard `json:"shard"`
	// Owner is the name of the entry, and Address is the address at which it serves other entries.
	Owner   string `json:"owner"`
	Address string `json:"address"`
	// Incarnation distinguishes successive processes with the owner's name.
	Incarnation int64 `json:"incarnation"`
	// Lease is the lease that the claim is bound to.
	Lease Lease `json:"lease"`
	// Token is the store revision at which the claim was written.
	Token Token `json:"-"`
}

// Waiter identifies a request that waits for an answer.
type Waiter uint64

// State is the state of a job. The zero value is not a state: it marks a job that is not written yet.
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
