// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package handover

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

func TestTheRedialDelayDoubles(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, draw := range []struct {
		share float64
		times float64
	}{{0, 0.5}, {0.5, 1}, {1, 1.5}} {
		var r redial
		for i, want := range []time.Duration{100, 200, 400, 800, 1600, 3200, 3200} {
			want *= time.Millisecond
			r = r.after(now, func(d time.Duration) time.Duration { return time.Duration(draw.share * float64(d)) })
			if r.delay != want || r.at.Sub(now) != time.Duration(draw.times*float64(want)) {
				t.Errorf("delay %d: %s until %s later, want %s", i, r.delay, r.at.Sub(now), want)
			}
			now = r.at.Add(maxRedialDelay - time.Millisecond)
		}
		now = now.Add(time.Millisecond)
		if r = r.after(now, func(time.Duration) time.Duration { return 0 }); r.delay != minRedialDelay {
			t.Errorf("after the reset the delay is %s, want %s", r.delay, minRedialDelay)
		}
	}
}

// TestAnEntryThatClosesEachConnectionIsRedialledWithBackoff hands jobs over continuously while the only other entry accepts connections and
// closes them at once. The backoff must limit the number of connections.
func TestAnEntryThatClosesEachConnectionIsRedialledWithBackoff(t *testing.T) {
	var dialled atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		dialled.Add(1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil && acceptProtocol(conn) == nil {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
	}))
	defer server.Close()
	r := newHandOverTest(t, server.Listener.Addr().String())
	begin := time.Now()
	for time.Since(begin) < 600*time.Millisecond {
		r.tryHandOver(job("a"))
		time.Sleep(time.Millisecond)
	}
	// With the smallest jitter the delays are 50, 100, 200 and 400 ms.
	if got := dialled.Load(); got < 2 || got > 4 {
		t.Errorf("%d connections were opened, want 2 to 4", got)
	}
}
