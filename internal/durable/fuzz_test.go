// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package durable

import (
	"os"
	"path/filepath"
	"slices"
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

// FuzzStoredEnds decodes arbitrary records of stored ends. What is decoded must keep its meaning when it is written again.
func FuzzStoredEnds(f *testing.F) {
	f.Add([]byte(`{"ends":[{"task":"00000000000000aa.0.0.1","run":3},{"task":"a","run":1,"failed":true}]}`))
	f.Add([]byte(`{"ends":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		ends, err := DecodeEnds(data)
		if err != nil {
			return
		}
		if again, err := DecodeEnds(EncodeEnds(ends)); err != nil || !slices.Equal(again, ends) {
			t.Fatalf("%q is decoded as %v and, written again, as %v (%v)", data, ends, again, err)
		}
	})
}
