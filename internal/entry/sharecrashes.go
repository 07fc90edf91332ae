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
	// crashShareTimeout limits the time in which all other entries are told of crashes. An answer is held for at most 150 ms meanwhile.
	crashShareTimeout = 120 * time.Millisecond
	// crashShareCalls is the largest number of such calls at a time.
	crashShareCalls = 16
	// crashShareQueueSize suffices because the dispatcher waits for the end of each ShareCrashes.
	crashShareQueueSize = 1
)

// shareCrashes tells all other entries of the crashes in the directory for each ShareCrashes of the dispatcher.
func (e *Entry) shareCrashes() {
	for {
		select {
		case <-e.context.Done():
			return
		case share := <-e.crashShares:
			e.shareWithin(crashShareTimeout, share)
		}
	}
}

// shareWithin tells all other entries of the crashes in the directory, and reports it to the dispatcher once each of them has answered or
// the time is over.
func (e *Entry) shareWithin(timeout time.Duration, share dispatch.ShareCrashes) {
	ctx, cancel := context.WithTimeout(e.context, timeout)
	defer cancel()
	e.exchangeWithAll(ctx)
	e.post(dispatch.CrashesShared(share))
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
	for range min(crashShareCalls, len(addresses)) {
		calls.Go(func() {
			for address := range next {
				e.exchangeWith(ctx, address)
			}
		})
	}
	calls.Wait()
}
