// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// FuzzBatch restores a shard from arbitrary batches. Restoring must fail exactly if decoding fails: a shard with an undecodable
// batch must not be served, because the batch may hold the end of a run.
func FuzzBatch(f *testing.F) {
	stored, err := filepath.Glob("testdata/*.batch")
	if err != nil || len(stored) == 0 {
		f.Fatalf("no stored batches: %v", err)
	}
	for _, name := range stored {
		data, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newShard(3)
		_, err := decodeBatch(data)
		if restored := s.restore(time.Unix(1000, 0), []StoredBatch{{Sequence: 1, Data: data}}); (restored == nil) != (err == nil) {
			t.Fatalf("%x: restored with %v, decoded with %v", data, restored, err)
		}
	})
}
