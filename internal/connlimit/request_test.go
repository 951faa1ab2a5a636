package connlimit

import (
	"testing"
	"time"
)

// A request is too slow if its bytes have taken longer than the minimum rate allows and
// RateGrace has passed. Otherwise TooSlow returns the time of the next check.
func TestTooSlow(t *testing.T) {
	limiter := newLimiter(t, Config{Capacity: 1, MinRate: 100})
	for _, c := range []struct {
		now        time.Duration // the request began at 0
		bytes      int
		slow       bool
		checkAgain time.Duration
	}{
		{now: 0, bytes: 0, slow: false, checkAgain: 500 * time.Millisecond},
		{now: time.Second, bytes: 99, slow: true},
		{now: time.Second, bytes: 200, slow: false, checkAgain: 2 * time.Second},
	} {
		slow, checkAgain := limiter.TooSlow(c.now, 0, c.bytes)
		if slow != c.slow || checkAgain != c.checkAgain {
			t.Errorf("%d bytes after %v: slow %v, check again at %v; want %v, %v",
				c.bytes, c.now, slow, checkAgain, c.slow, c.checkAgain)
		}
	}
}
