// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package keyvalue

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
)

// Document is a JSON value under one key of the service.
type Document[T any] struct {
	client *Client
	key    string
}

// ErrUnchanged is returned by a change function that finds the document as it should be. Update then writes nothing and
// succeeds.
var ErrUnchanged = errors.New("platform: nothing to change")

// How Update repeats a compare-and-swap after a conflict or a lost answer: after a random pause of up to the backoff, which
// doubles with each attempt. Many writers at once would otherwise use up the service's rate with conflicts.
const (
	// maxSwaps is the largest number of attempts of one update.
	maxSwaps = 50
	// minBackoff is the backoff after the first attempt.
	minBackoff = 50 * time.Millisecond
	// maxBackoff is the largest backoff.
	maxBackoff = 3 * time.Second
)

// NewDocument returns the document under the key.
func NewDocument[T any](client *Client, key string) Document[T] {
	return Document[T]{client: client, key: key}
}

// Get returns the document, or its zero value if there is none, with its revision.
func (d Document[T]) Get(ctx context.Context) (T, uint64, error) {
	value, err := d.client.Get(ctx, d.key)
	return d.decode(value, err)
}

// Watch waits until the document has a later revision than the given one; see Client.Watch.
func (d Document[T]) Watch(ctx context.Context, after uint64) (T, uint64, error) {
	value, err := d.client.Watch(ctx, d.key, after)
	return d.decode(value, err)
}

// decode reads the JSON of a value. A key without a value is the zero document in revision 0.
func (d Document[T]) decode(value Value, err error) (T, uint64, error) {
	var document T
	if errors.Is(err, ErrNotFound) {
		return document, 0, nil
	}
	if err != nil {
		return document, 0, err
	}
	if err := json.Unmarshal(value.Data, &document); err != nil {
		return document, 0, errors.Wrapf(err, "platform: unable to read %s", d.key)
	}
	return document, value.Revision, nil
}

// Update changes the document by compare-and-swap, and returns the document and revision that it wrote. It repeats the
// swap until it succeeds, the change function returns an error, maxSwaps is reached or the context ends. After a lost
// answer the change function is called with the document again: it must detect there that it has already taken effect,
// and return ErrUnchanged.
func (d Document[T]) Update(ctx context.Context, change func(T) (T, error)) (T, uint64, error) {
	var none T
	var failure error
	backoff := minBackoff
	for range maxSwaps {
		document, revision, err := d.Get(ctx)
		if err != nil {
			return none, 0, errors.Join(err, failure)
		}
		next, err := change(document)
		if errors.Is(err, ErrUnchanged) {
			return document, revision, nil
		}
		if err != nil {
			return none, 0, err
		}
		data, err := json.Marshal(next)
		if err != nil {
			return none, 0, errors.Wrapf(err, "platform: unable to write %s", d.key)
		}
		written, err := d.client.CompareAndSwap(ctx, d.key, data, revision)
		if err == nil {
			return next, written, nil
		}
		if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrUncertain) {
			return none, 0, err
		}
		failure = err
		if err := pause(ctx, rand.N(backoff)); err != nil {
			return none, 0, errors.Join(err, failure)
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return none, 0, failure
}

// pause waits for the span, or returns the context's error if the context ends first.
func pause(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(span):
		return nil
	}
}
