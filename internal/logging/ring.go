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

// Ring is a writer that never blocks: lines wait in a bounded ring for a goroutine that writes them, and what
// finds the ring full is dropped and counted.
type Ring struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
	done    sync.WaitGroup
	stop    chan struct{}
}

// NewRing returns a ring that writes to out. The clean-up writes what waits and ends the goroutine.
func NewRing(out io.Writer) (*Ring, func()) {
	r := &Ring{lines: make(chan []byte, ringLines), out: out, stop: make(chan struct{})}
	r.done.Go(r.run)
	return r, func() {
		close(r.stop)
		r.done.Wait()
	}
}

// Write puts one line in the ring.
func (r *Ring) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines that found the ring full.
func (r *Ring) Dropped() int64 {
	return r.dropped.Load()
}

func (r *Ring) run() {
	var told int64
	for {
		select {
		case line := <-r.lines:
			told = r.write(line, told)
		case <-r.stop:
			r.drain(told)
			return
		}
	}
}

// write writes a line, and before it how many were dropped since the last such note.
func (r *Ring) write(line []byte, told int64) int64 {
	if dropped := r.dropped.Load(); dropped != told {
		_, _ = fmt.Fprintf(r.out, "part=log msg=\"lines were dropped\" dropped=%d total=%d\n", dropped-told, dropped)
		told = dropped
	}
	_, _ = r.out.Write(line)
	return told
}

func (r *Ring) drain(told int64) {
	for {
		select {
		case line := <-r.lines:
			told = r.write(line, told)
		default:
			return
		}
	}
}
