// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"sailhead/internal/native/keyvalue"
)

// vmList is the platform's list of VMs, which shows each change only after a lag. It is safe for concurrent use.
type vmList struct {
	mu      sync.Mutex
	lag     time.Duration
	shown   map[string]keyvalue.VMState
	pending []listing
	now     func() time.Time
}

// listing is a change of the list that is shown at a time.
type listing struct {
	address string
	state   keyvalue.VMState
	at      time.Time
}

// newVMList returns an empty list that reads the time from the clock.
func newVMList(now func() time.Time) *vmList {
	return &vmList{shown: make(map[string]keyvalue.VMState), now: now}
}

// SetLag sets the lag of the changes to come.
func (l *vmList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Set changes the state of a VM; an empty state takes it off the list.
func (l *vmList) Set(address string, state keyvalue.VMState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, listing{address: address, state: state, at: l.now().Add(l.lag)})
}

// VMs returns the list as it is shown now.
func (l *vmList) VMs() []keyvalue.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.show()
	vms := make([]keyvalue.VM, 0, len(l.shown))
	for address, state := range l.shown {
		vms = append(vms, keyvalue.VM{Address: address, State: state})
	}
	slices.SortFunc(vms, func(a, b keyvalue.VM) int { return cmp.Compare(a.Address, b.Address) })
	return vms
}

// show applies the changes whose lag is over, in their order.
func (l *vmList) show() {
	for len(l.pending) > 0 && !l.pending[0].at.After(l.now()) {
		change := l.pending[0]
		l.pending = l.pending[1:]
		if change.state == "" {
			delete(l.shown, change.address)
			continue
		}
		l.shown[change.address] = change.state
	}
}
