// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package gossip

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"math"

	"github.com/go-faster/errors"

	"sailhead/internal/native/configuration"
	"sailhead/internal/native/ownership"
	"sailhead/internal/native/peer"
	"sailhead/internal/native/peer/peerpb"
)

// WholeDocument is the version by which a message asks for the whole configuration, not for changes since a version.
const WholeDocument = math.MaxUint64

// maxDocumentSize is the largest document that is read from a peer, in bytes after decompression. It bounds the memory
// that a broken message can take; documents at the target size have about 110 KB (docs/MEASUREMENTS.md).
const maxDocumentSize = 16 << 20

// delta has the documents by which one process is ahead of another, as compressed JSON. Documents that are not newer
// are empty. Of the configuration it has the whole or the changes, not both.
type delta struct {
	roster        []byte
	configuration []byte
	changes       []byte
}

// deltaSince returns what is newer here than the given versions. Of the configuration that is the changes since its
// version, or the whole if the history does not reach back that far.
func (e *Exchanger) deltaSince(rosterRevision, version uint64) (delta, error) {
	var n delta
	var err error
	if own := e.state.Roster(); own.Revision > rosterRevision {
		if n.roster, err = Compress(own); err != nil {
			return n, err
		}
	}
	own := e.state.Configuration()
	if version == WholeDocument {
		n.configuration, err = Compress(own)
		return n, err
	}
	if own.Version <= version {
		return n, nil
	}
	if changes, ok := own.Since(version); ok {
		n.changes, err = Compress(changes)
		return n, err
	}
	n.configuration, err = Compress(own)
	return n, err
}

// apply applies the documents and loads of a peer.
func (e *Exchanger) apply(n delta, loads []*peerpb.Load) error {
	if len(n.roster) > 0 {
		var seen ownership.Roster
		if err := Decompress(n.roster, &seen); err != nil {
			return errors.Wrap(err, "gossip: unable to read a roster")
		}
		e.state.SeeRoster(seen)
	}
	if len(n.configuration) > 0 {
		var seen configuration.Configuration
		if err := Decompress(n.configuration, &seen); err != nil {
			return errors.Wrap(err, "gossip: unable to read a configuration")
		}
		e.state.SeeConfiguration(seen)
	}
	if err := e.applyChanges(n.changes); err != nil {
		return err
	}
	for _, l := range loads {
		e.state.SeeLoad(ownership.MemberID(l.GetWorker()), peer.LoadFromWire(l))
	}
	return nil
}

// applyChanges applies changes that follow the version of this process.
func (e *Exchanger) applyChanges(changes []byte) error {
	if len(changes) == 0 {
		return nil
	}
	var entries []configuration.Record
	if err := Decompress(changes, &entries); err != nil {
		return errors.Wrap(err, "gossip: unable to read changes")
	}
	next, err := e.state.Configuration().Replay(entries)
	if err != nil {
		return errors.Wrap(err, "gossip: unable to follow changes")
	}
	e.state.SeeConfiguration(next)
	return nil
}

// Compress returns a document as JSON compressed with gzip.
func Compress(document any) ([]byte, error) {
	data, err := json.Marshal(document)
	if err != nil {
		return nil, errors.Wrap(err, "gossip: unable to write a document")
	}
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "gossip: unable to compress a document")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "gossip: unable to compress a document")
	}
	return out.Bytes(), nil
}

// Decompress reads a document from JSON compressed with gzip. It fails for more than maxDocumentSize bytes of JSON.
func Decompress(data []byte, document any) error {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "gossip: unable to read a document")
	}
	if err := json.NewDecoder(io.LimitReader(reader, maxDocumentSize)).Decode(document); err != nil {
		return errors.Wrap(err, "gossip: unable to read a document")
	}
	return nil
}
