// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync"
	"time"

	"sailhead/internal/dispatch"
)

const (
	// recordShareTimeout limits the time in which all other entries are told of records. An answer is held for at most 150 ms meanwhile.
	recordShareTimeout = 120 * time.Millisecond
	// recordShareCalls is the largest number of such calls at a time for one ShareRecords.
	recordShareCalls = 16
	// recordShareQueueSize suffices because the dispatcher has no more ShareRecords in progress.
	recordShareQueueSize = dispatch.MaxRecordShares
)

// shareRecords tells all other entries of the crashes and runs in the directory for each ShareRecords of the dispatcher.
func (e *Entry) shareRecords() {
	var shares sync.WaitGroup
	defer shares.Wait()
	for {
		select {
		case <-e.context.Done():
			return
		case share := <-e.recordShares:
			shares.Go(func() { e.shareWithin(recordShareTimeout, share) })
		}
	}
}

// shareWithin tells all other entries of the crashes and runs in the directory, and reports it to the dispatcher once each of them has answered or
// the time is over.
func (e *Entry) shareWithin(timeout time.Duration, share dispatch.ShareRecords) {
	ctx, cancel := context.WithTimeout(e.context, timeout)
	defer cancel()
	e.exchangeWithAll(ctx)
	e.post(dispatch.RecordsShared(share))
}

// exchangeWithAll exchanges the directory with all other entries. It returns once each of them has answered, or the context has ended.
func (e *Entry) exchangeWithAll(ctx context.Context) {
	addresses := e.peerAddresses()
	next := make(chan string, len(addresses))
	for _, address := range addresses {
		next <- address
	}
	close(next)
	var calls sync.WaitGroup
	for range min(recordShareCalls, len(addresses)) {
		calls.Go(func() {
			for address := range next {
				e.exchangeWith(ctx, address)
			}
		})
	}
	calls.Wait()
}
