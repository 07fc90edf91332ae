// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import "time"

// process is a simulated process that can be frozen, killed and replaced.
type process struct {
	clock *scheduler
	// life is the number of the current process. It changes when the process is killed.
	life   int
	isDown bool
	// frozenUntil is the end of the current or the latest freeze.
	frozenUntil time.Time
	// pending are the actions that wait for the end of the freeze.
	pending []func()
}

func (p *process) isFrozen() bool { return p.clock.now.Before(p.frozenUntil) }

// do runs an action in the process: at once, or after the freeze. It is dropped if the process is down or is killed before.
func (p *process) do(action func()) {
	switch {
	case p.isDown:
	case p.isFrozen():
		p.pending = append(p.pending, action)
	default:
		action()
	}
}

// inLife returns an action that is dropped if the process is another one by then.
func (p *process) inLife(action func()) func() {
	life := p.life
	return func() {
		if p.life == life {
			p.do(action)
		}
	}
}

// every runs an action at regular intervals, the first time after a random part of one. During a freeze one action at most waits.
func (p *process) every(interval time.Duration, action func()) {
	isWaiting := false
	p.clock.every(interval, func() {
		if isWaiting && p.isFrozen() {
			return
		}
		isWaiting = true
		p.do(func() {
			isWaiting = false
			action()
		})
	})
}
