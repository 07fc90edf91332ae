// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package stream

import "bufio"

// countingReader is a bufio.Reader that counts the bytes read from it.
type countingReader struct {
	*bufio.Reader
	bytes int
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.bytes += n
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *countingReader) ReadByte() (byte, error) {
	b, err := r.Reader.ReadByte()
	if err == nil {
		r.bytes++
	}
	return b, err
}

// take returns the number of bytes read since the last call.
func (r *countingReader) take() int {
	bytes := r.bytes
	r.bytes = 0
	return bytes
}
