// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// maxDependencies limits the lost dependencies that are tracked; the loss of further ones is not logged. It is above the
// number of entries at the target size.
const maxDependencies = 256

// dependencies logs each loss and each recovery of a dependency once.
type dependencies struct {
	mu     sync.Mutex
	logger log.Logger
	// lost holds the time of the first failed call to each lost dependency, by name.
	lost map[string]time.Time
}

func newDependencies(logger log.Logger) *dependencies {
	return &dependencies{logger: logger, lost: make(map[string]time.Time)}
}

// observe records the result of a call to a dependency.
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
