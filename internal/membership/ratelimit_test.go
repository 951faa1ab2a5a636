package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRateLimiterSendsAtOnceWithinTheBudget(t *testing.T) {
	limiter := NewRateLimiter(20) // 1200 bytes a minute
	for i := range 3 {
		now := time.Duration(i) * 10 * time.Second
		if wait := limiter.Wait(now, false); wait != 0 {
			t.Fatalf("waits %v", wait)
		}
		limiter.Spend(now, 400)
	}
	now := 25 * time.Second
	if wait := limiter.Wait(now, false); wait != 36*time.Second { // the first second's bytes count up to 61 s
		t.Errorf("waits %v", wait)
	}
	if again := limiter.Wait(61*time.Second, false); again != 0 {
		t.Errorf("waits %v again", again)
	}
}

func TestRateLimiterUrgentChangesNeverWaitAndCount(t *testing.T) {
	limiter := NewRateLimiter(10) // 600 bytes a minute
	for range 10 {
		if wait := limiter.Wait(0, true); wait != 0 {
			t.Fatalf("an urgent change waits %v", wait)
		}
		limiter.Spend(0, 100)
	}
	if wait := limiter.Wait(0, false); wait != 61*time.Second {
		t.Errorf("waits %v after 1000 bytes at 600 a minute", wait)
	}
}

func TestRateLimiterWithoutRateBoundsNothing(t *testing.T) {
	for _, limiter := range []RateLimiter{{}, NewRateLimiter(0), NewRateLimiter(-1)} {
		limiter.Spend(0, 1<<40)
		if wait := limiter.Wait(0, false); wait != 0 {
			t.Errorf("%+v waits %v", limiter, wait)
		}
	}
}

func TestRateLimiterWhenTheClockGoesBack(t *testing.T) {
	limiter := NewRateLimiter(1)
	limiter.Spend(time.Minute, 100)
	before := limiter.Wait(time.Minute, false)
	if wait := limiter.Wait(0, false); wait != before || wait == 0 {
		t.Errorf("waits %v, before %v", wait, before)
	}
}

// transmission is a number of bytes sent at one time.
type transmission struct {
	at    time.Duration
	bytes int
}

// maxBytesWithin returns the largest number of bytes sent within any period of length span.
func maxBytesWithin(sent []transmission, span time.Duration) int {
	maximum := 0
	sum := 0
	first := 0
	for _, s := range sent {
		sum += s.bytes
		for sent[first].at <= s.at-span {
			sum -= sent[first].bytes
			first++
		}
		maximum = max(maximum, sum)
	}
	return maximum
}

// In any minute, the changes sent that are not urgent exceed the budget by at most
// one change. No change waits for longer than a minute and a slot, and none waits
// while less than a minute's budget has been sent in all.
func TestRateLimiterBoundsAnyMinute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 10000).Draw(t, "bytes a second")
		limiter := NewRateLimiter(rate)
		var now time.Duration
		var sent []transmission
		largest := 0
		total := 0
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			now += time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "pause"))
			bytes := rapid.IntRange(1, 300000).Draw(t, "bytes")
			if rapid.IntRange(0, 9).Draw(t, "urgent") == 0 {
				if limiter.Wait(now, true) != 0 {
					t.Fatal("an urgent change waits")
				}
				limiter.Spend(now, bytes)
				total += bytes
				continue
			}
			wait := limiter.Wait(now, false)
			if wait > rateWindow+rateSlot || wait > 0 && float64(total) < 60*rate {
				t.Fatalf("waits %v after %d bytes in all, at %v a second", wait, total, rate)
			}
			now += wait
			if again := limiter.Wait(now, false); again != 0 {
				t.Fatalf("waits %v, and then %v again", wait, again)
			}
			limiter.Spend(now, bytes)
			sent = append(sent, transmission{now, bytes})
			largest = max(largest, bytes)
			total += bytes
		}
		if bytes := maxBytesWithin(sent, time.Minute); float64(bytes) > 60*rate+float64(largest)+1 {
			t.Fatalf("%d bytes in a minute, at %v a second and a change of %d", bytes, rate, largest)
		}
	})
}
