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

// ErrUnchanged is returned by a change that finds nothing to do.
var ErrUnchanged = errors.New("platform: nothing to change")

const (
	maxSwaps        = 50
	shortestBackoff = 50 * time.Millisecond
	longestBackoff  = 3 * time.Second
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

// Watch waits for a revision after the given one.
func (d Document[T]) Watch(ctx context.Context, after uint64) (T, uint64, error) {
	value, err := d.client.Watch(ctx, d.key, after)
	return d.decode(value, err)
}

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

// Update changes the document by compare-and-swap until it succeeds, the change returns an error
// or the context ends. After a lost reply the change sees the document again: it must notice there
// whether it has already taken effect, and return ErrUnchanged then.
func (d Document[T]) Update(ctx context.Context, change func(T) (T, error)) (T, uint64, error) {
	var none T
	var failure error
	backoff := shortestBackoff
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
		// Many writers at once would otherwise use up the service's rate with conflicts.
		backoff = min(2*backoff, longestBackoff)
	}
	return none, 0, failure
}

func pause(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(span):
		return nil
	}
}
