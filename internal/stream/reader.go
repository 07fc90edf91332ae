// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package stream

import "bufio"

// countingReader counts the bytes that are read from it.
type countingReader struct {
	*bufio.Reader
	bytes int
}

// Read reads and counts.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.bytes += n
	return n, err
}

// ReadByte reads and counts one byte.
func (r *countingReader) ReadByte() (byte, error) {
	b, err := r.Reader.ReadByte()
	if err == nil {
		r.bytes++
	}
	return b, err
}

// take returns the number of bytes since the last call.
func (r *countingReader) take() int {
	bytes := r.bytes
	r.bytes = 0
	return bytes
}
