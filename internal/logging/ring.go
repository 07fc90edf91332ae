// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// ringLines is how many lines may wait to be written.
const ringLines = 2048

// Ring is a writer that never blocks. A goroutine writes the lines to the underlying writer; while ringLines wait for it,
// further ones are dropped and counted. It is safe for concurrent use.
type Ring struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
	done    sync.WaitGroup
	stop    chan struct{}
}

// NewRing returns a ring that writes to out. The clean-up writes the lines that wait and ends the goroutine; it blocks as
// long as out does.
func NewRing(out io.Writer) (*Ring, func()) {
	r := &Ring{lines: make(chan []byte, ringLines), out: out, stop: make(chan struct{})}
	r.done.Go(r.run)
	return r, func() {
		close(r.stop)
		r.done.Wait()
	}
}

// Write queues one line or drops it. It always returns the length of the line and no error, so that loggers go on.
func (r *Ring) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the start.
func (r *Ring) Dropped() int64 {
	return r.dropped.Load()
}

// run writes queued lines until the clean-up is called.
func (r *Ring) run() {
	var reported int64
	for {
		select {
		case line := <-r.lines:
			reported = r.write(line, reported)
		case <-r.stop:
			r.drain(reported)
			return
		}
	}
}

// write writes a line. If lines were dropped since the last report, it writes their number first. It returns the number of
// dropped lines that have been reported. Errors of the underlying writer are ignored: the log itself is where they would
// be reported.
func (r *Ring) write(line []byte, reported int64) int64 {
	if dropped := r.dropped.Load(); dropped != reported {
		_, _ = fmt.Fprintf(r.out, "part=log msg=\"lines were dropped\" dropped=%d total=%d\n", dropped-reported, dropped)
		reported = dropped
	}
	_, _ = r.out.Write(line)
	return reported
}

// drain writes the lines that wait.
func (r *Ring) drain(reported int64) {
	for {
		select {
		case line := <-r.lines:
			reported = r.write(line, reported)
		default:
			return
		}
	}
}
