// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

// Package keyvalue is the client of the key-value service and of the list of VMs that sailhead's own interface runs on. The
// store of the users' platform is another one: see /platform.
package keyvalue

import (
	"time"

	"github.com/go-faster/errors"
)

// Errors of the key-value service.
var (
	// ErrNotFound says that the key has no value.
	ErrNotFound = errors.New("platform: key not found")
	// ErrConflict says that the key has another revision than the one compared; nothing was written.
	ErrConflict = errors.New("platform: revision conflict")
	// ErrLeaseLapsed says that the lease is gone.
	ErrLeaseLapsed = errors.New("platform: lease has lapsed")
	// ErrUncertain says that a write may have taken effect although its reply is lost.
	ErrUncertain = errors.New("platform: the write may have taken effect")
)

// MaxValue is the largest value that the service holds, in bytes.
const MaxValue = 1 << 20

// Value is a value with the revision that wrote it.
type Value struct {
	Data     []byte
	Revision uint64
}

// LeaseID names a lease; the keys written under it go when it lapses.
type LeaseID string

// VMState is what the platform's list says of a VM.
type VMState string

// The states of a listed VM; a VM that is gone is not listed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one line of the platform's list.
type VM struct {
	Address string  `json:"address"`
	State   VMState `json:"state"`
}

// The protocol of the platform's service as the client and the stand-in speak it.
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

// watchWait is how long one watch call waits at the service.
const watchWait = 20 * time.Second
