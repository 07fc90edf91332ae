// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package keyvalue

import (
	"time"

	"github.com/go-faster/errors"
)

// Errors of the key-value service.
var (
	// ErrNotFound is returned for a key without a value.
	ErrNotFound = errors.New("platform: key not found")
	// ErrConflict is returned for a write whose key has another revision than the one compared. Nothing was written.
	ErrConflict = errors.New("platform: revision conflict")
	// ErrLeaseLapsed is returned for a lease that has expired or was revoked.
	ErrLeaseLapsed = errors.New("platform: lease has lapsed")
	// ErrUncertain is returned for a write without an answer, which may have taken effect.
	ErrUncertain = errors.New("platform: the write may have taken effect")
)

// MaxValue is the largest value that the service stores, in bytes.
const MaxValue = 1 << 20

// Value is a value with the revision that wrote it.
type Value struct {
	Data     []byte
	Revision uint64
}

// LeaseID identifies a lease. The keys written under a lease are removed when it expires.
type LeaseID string

// VMState is the state of a VM on the platform's list.
type VMState string

// The states of a listed VM. A VM that no longer exists is not listed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list.
type VM struct {
	Address string  `json:"address"`
	State   VMState `json:"state"`
}

// The paths, headers and query parameters of the platform's service.
const (
	PathKeys       = "/v1/kv/"
	PathLeases     = "/v1/leases/"
	PathVMs        = "/v1/vms"
	HeaderRevision = "X-Revision"
	ParamRevision  = "revision"
	ParamAfter     = "after"
	ParamWait      = "wait"
	ParamLease     = "lease"
	ParamTTL       = "ttl"
)

// watchWait is how long the service holds one call of a watch open.
const watchWait = 20 * time.Second
