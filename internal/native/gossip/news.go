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

// WholeDocument is a version that asks for the whole configuration instead of the latest changes.
const WholeDocument = math.MaxUint64

// maxDocument is the largest document read from a peer, in bytes.
const maxDocumentSize = 16 << 20

// news is what one process knows and another lacks, as compressed JSON; parts that are not newer are empty.
type news struct {
	roster        []byte
	configuration []byte
	changes       []byte
}

// newsSince returns what is newer here than the versions given: of the configuration the latest changes,
// or all of it if the history does not reach back.
func (e *Exchanger) newsSince(rosterRevision, version uint64) (news, error) {
	var n news
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

// see takes in a peer's news.
func (e *Exchanger) see(n news, loads []*peerpb.Load) error {
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
	if err := e.replay(n.changes); err != nil {
		return err
	}
	for _, l := range loads {
		e.state.SeeLoad(ownership.MemberID(l.GetWorker()), peer.LoadFromWire(l))
	}
	return nil
}

// replay takes in the changes that follow the version known here.
func (e *Exchanger) replay(changes []byte) error {
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

// Compress writes a document as compressed JSON.
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

// Decompress reads a document from compressed JSON.
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
