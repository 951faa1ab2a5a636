package membership

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const millisecond = time.Millisecond

// newTestSubscribers returns an empty set with a batch interval of 50 ms, or 20 ms for urgent changes.
func newTestSubscribers() *Subscribers {
	return NewSubscribers(BatchLimits{Interval: 50 * millisecond, UrgentInterval: 20 * millisecond})
}

// dueSubscribers returns the subscribers whose next line is due, sorted.
func dueSubscribers(s *Subscribers, now time.Duration) []SubscriberID {
	due, _, _ := s.Due(now)
	slices.Sort(due)
	return due
}

// sendLine records that a line to a subscriber was begun and written.
func sendLine(s *Subscribers, now time.Duration, id SubscriberID, version Version, bytes int) {
	s.Sending(id, version)
	s.Sent(now, id, bytes)
}

// The first line waits for the limiter only if it is a delta.
func TestFirstLineIsDueAtOnce(t *testing.T) {
	subscribers := newTestSubscribers()
	subscribers.Changed(7, false)
	exhausted := NewRateLimiter(100)
	exhausted.Spend(0, 10_000)
	subscribers.Add(1, 0, &exhausted) // has no state, so that its first line is a snapshot
	subscribers.Add(2, 7, &exhausted) // has the newest version, so that its first line is empty
	subscribers.Add(3, 6, &exhausted) // its first line is a delta, which waits for the limiter
	if due := dueSubscribers(subscribers, 0); !slices.Equal(due, []SubscriberID{1, 2}) {
		t.Errorf("due: %v, want 1 and 2", due)
	}
}

func TestDeltasAreCoalesced(t *testing.T) {
	subscribers := newTestSubscribers()
	subscribers.Changed(1, false)
	var unbounded RateLimiter
	subscribers.Add(1, 1, &unbounded)
	sendLine(subscribers, 0, 1, 1, 10)
	for version := Version(2); version < 6; version++ {
		subscribers.Changed(version, false)
	}
	due, next, waiting := subscribers.Due(10 * millisecond)
	if len(due) != 0 || !waiting || next != 50*millisecond {
		t.Errorf("due %v, next %v, waiting %v", due, next, waiting)
	}
	if due := dueSubscribers(subscribers, 50*millisecond); len(due) != 1 {
		t.Errorf("due after the interval: %v", due)
	}
	sendLine(subscribers, 50*millisecond, 1, 5, 10)
	if _, _, waiting := subscribers.Due(time.Hour); waiting {
		t.Error("a line is due without a change")
	}
}

func TestUrgentChangeIsSentBeforeItsInterval(t *testing.T) {
	subscribers := newTestSubscribers()
	exhausted := NewRateLimiter(100)
	subscribers.Changed(1, false)
	subscribers.Add(1, 1, &exhausted)
	sendLine(subscribers, 0, 1, 1, 10_000)
	subscribers.Changed(2, false)
	if due := dueSubscribers(subscribers, time.Second); len(due) != 0 {
		t.Error("a delta is due though the rate limit is exhausted")
	}
	subscribers.Changed(3, true)
	if due := dueSubscribers(subscribers, time.Second); len(due) != 1 {
		t.Error("an urgent change waits for the rate limit")
	}
	sendLine(subscribers, time.Second, 1, 3, 100)
	subscribers.Changed(4, true)
	if wait, pending := subscribers.Wait(time.Second, 1); !pending || wait != 20*millisecond {
		t.Errorf("the next urgent change: wait %v, pending %v; want 20ms, true", wait, pending)
	}
	sendLine(subscribers, 2*time.Second, 1, 4, 100)
	subscribers.Changed(5, false)
	if due := dueSubscribers(subscribers, 3*time.Second); len(due) != 0 {
		t.Error("a change after the urgent one counts as urgent")
	}
}

func TestNothingIsDueWhileALineIsWritten(t *testing.T) {
	subscribers := newTestSubscribers()
	var unbounded RateLimiter
	subscribers.Changed(1, false)
	subscribers.Add(1, 1, &unbounded)
	subscribers.Sending(1, 1)
	subscribers.Changed(2, true)
	if due := dueSubscribers(subscribers, time.Hour); len(due) != 0 {
		t.Error("a second line is due while one is being written")
	}
	subscribers.Sent(time.Hour, 1, 10)
	if wait, pending := subscribers.Wait(time.Hour, 1); !pending || wait != 20*millisecond {
		t.Errorf("wait %v, pending %v", wait, pending)
	}
}

func TestRemovedSubscriberHasNoState(t *testing.T) {
	subscribers := newTestSubscribers()
	var unbounded RateLimiter
	subscribers.Add(1, 0, &unbounded)
	subscribers.Remove(1)
	subscribers.Sending(1, 3)
	subscribers.Sent(0, 1, 10)
	if _, pending := subscribers.Wait(0, 1); pending || subscribers.Len() != 0 || subscribers.Version(1) != 0 {
		t.Error("the subscriber is still there")
	}
}

// Over random changes and reading speeds, a subscriber that lacks a change always
// has a line pending, versions never go back, and without urgent changes the bytes
// sent stay within the rate limit.
func TestSubscribersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, lineSize = 20, 500 // two or three lines a minute
		subscribers := newTestSubscribers()
		limiter := NewRateLimiter(rate)
		now := time.Duration(0)
		version := Version(1)
		anyUrgent := false
		subscribers.Changed(version, false)
		subscribers.Add(1, 1, &limiter)
		sending := false
		sent := 0
		received := Version(0)
		steps := rapid.IntRange(1, 200).Draw(t, "steps")
		step := func() {
			if !sending && slices.Contains(dueSubscribers(subscribers, now), 1) {
				if subscribers.Sending(1, version); version < received {
					t.Fatal("the version went back")
				}
				received = version
				sending = true
			}
			if sending && rapid.Bool().Draw(t, "written") {
				subscribers.Sent(now, 1, lineSize)
				sending = false
				sent += lineSize
			}
		}
		for range steps {
			if rapid.Bool().Draw(t, "change") {
				version++
				changeIsUrgent := rapid.IntRange(0, 9).Draw(t, "urgent") == 0
				anyUrgent = anyUrgent || changeIsUrgent
				subscribers.Changed(version, changeIsUrgent)
			}
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * millisecond
			step()
		}
		if minutes := 1 + int(now/time.Minute); !anyUrgent && sent > minutes*60*rate+minutes*lineSize {
			t.Fatalf("%d bytes in %v", sent, now)
		}
		if sending {
			subscribers.Sent(now, 1, lineSize)
		}
		wait, pending := subscribers.Wait(now, 1)
		if received < version && !pending {
			t.Fatal("nothing is due to a subscriber that lacks a change")
		}
		if received < version && !slices.Contains(dueSubscribers(subscribers, now+wait), 1) {
			t.Fatal("the line is not due after its wait")
		}
	})
}
