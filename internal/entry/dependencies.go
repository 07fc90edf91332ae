// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// maxDependencies bounds the lost dependencies that are remembered; the loss of further ones is not logged. It is above the number of
// entries that the target size needs.
const maxDependencies = 256

// dependencies logs once when a dependency is lost and once when it is regained.
type dependencies struct {
	mu     sync.Mutex
	logger log.Logger
	// lost holds when the first call to each lost dependency failed, by its name.
	lost map[string]time.Time
}

func newDependencies(logger log.Logger) *dependencies {
	return &dependencies{logger: logger, lost: make(map[string]time.Time)}
}

// observe records whether a call to a dependency succeeded.
func (d *dependencies) observe(name string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, isLost := d.lost[name]
	switch {
	case err != nil && !isLost && len(d.lost) < maxDependencies:
		d.lost[name] = time.Now()
		_ = level.Warn(d.logger).Log("msg", "dependency lost", "dependency", name, "err", err)
	case err == nil && isLost:
		delete(d.lost, name)
		_ = level.Info(d.logger).Log("msg", "dependency regained", "dependency", name, "after", time.Since(since).Round(time.Millisecond))
	}
}
