// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package overload

import (
	"math/rand/v2"
	"time"
)

// process is a simulated process that can be frozen, killed and replaced.
type process struct {
	clock *scheduler
	// life is the number of the current process. It changes when the process is killed.
	life   int
	isDown bool
	// frozenUntil is the end of the current or the latest freeze.
	frozenUntil time.Time
	// pending are the actions that wait for the end of the freeze, and pendingTicks those of them that are periodic.
	pending, pendingTicks []func()
	// random decides what a thawed process handles first. It is nil if the ticks come first.
	random *rand.Rand
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

// freeze freezes the process for a time. What arrives during that time is handled in order after it.
func (p *process) freeze(span time.Duration) {
	p.frozenUntil = latest(p.frozenUntil, p.clock.now.Add(span))
	p.clock.after(span, p.thaw)
}

func (p *process) thaw() {
	if p.isFrozen() {
		return
	}
	pending := append(p.pendingTicks, p.pending...)
	if p.random != nil && p.random.IntN(2) == 0 {
		pending = append(p.pending, p.pendingTicks...)
	}
	p.pending, p.pendingTicks = nil, nil
	for _, action := range pending {
		p.do(action)
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

// kill ends the process. start must follow it.
func (p *process) kill() {
	p.life++
	p.isDown = true
	p.pending, p.pendingTicks = nil, nil
	p.frozenUntil = time.Time{}
}

// every runs an action at regular intervals, the first time after a random part of one. During a freeze one action at most waits.
func (p *process) every(interval time.Duration, action func()) {
	waitsSince := time.Time{}
	p.clock.every(interval, func() {
		switch {
		case !p.isFrozen():
			p.do(action)
		case waitsSince.Before(p.frozenUntil):
			waitsSince = p.frozenUntil
			p.pendingTicks = append(p.pendingTicks, action)
		}
	})
}
