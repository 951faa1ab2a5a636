package membership

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func testSubscribers() *Subscribers {
	return NewSubscribers(BatchLimits{Interval: 50 * ms, UrgentInterval: 20 * ms})
}

// dueAt are the subscribers that are due, in order.
func dueAt(s *Subscribers, now time.Duration) []SubscriberID {
	due, _, _ := s.Due(now)
	slices.Sort(due)
	return due
}

// deliver sends what is due to a subscriber at once.
func deliver(s *Subscribers, now time.Duration, id SubscriberID, version Version, bytes int) {
	s.Sending(id, version)
	s.Sent(now, id, bytes)
}

func TestFirstLineIsDueAtOnce(t *testing.T) {
	s := testSubscribers()
	s.Changed(7, false)
	spent := NewPace(100)
	spent.Spend(0, 10_000)
	s.Add(1, 0, &spent) // it has nothing
	s.Add(2, 7, &spent) // it has everything: the line is empty
	s.Add(3, 6, &spent) // a delta that waits for its pace
	if due := dueAt(s, 0); !slices.Equal(due, []SubscriberID{1, 2}) {
		t.Errorf("due: %v", due)
	}
}

func TestDeltasAreCoalesced(t *testing.T) {
	s := testSubscribers()
	s.Changed(1, false)
	var unbounded Pace
	s.Add(1, 1, &unbounded)
	deliver(s, 0, 1, 1, 10)
	for v := Version(2); v < 6; v++ {
		s.Changed(v, false)
	}
	due, next, waiting := s.Due(10 * ms)
	if len(due) != 0 || !waiting || next != 50*ms {
		t.Errorf("due %v, next %v, waiting %v", due, next, waiting)
	}
	if due := dueAt(s, 50*ms); len(due) != 1 {
		t.Errorf("due after the interval: %v", due)
	}
	deliver(s, 50*ms, 1, 5, 10)
	if _, _, waiting := s.Due(time.Hour); waiting {
		t.Error("something is due without a change")
	}
}

func TestUrgentChangeGoesBeforeItsInterval(t *testing.T) {
	s := testSubscribers()
	spent := NewPace(100)
	s.Changed(1, false)
	s.Add(1, 1, &spent)
	deliver(s, 0, 1, 1, 10_000)
	s.Changed(2, false)
	if due := dueAt(s, time.Second); len(due) != 0 {
		t.Error("it passed a spent budget")
	}
	s.Changed(3, true)
	if due := dueAt(s, time.Second); len(due) != 1 {
		t.Error("an urgent change waits for the budget")
	}
	deliver(s, time.Second, 1, 3, 100)
	s.Changed(4, true)
	if wait, pending := s.Wait(time.Second, 1); !pending || wait != 20*ms {
		t.Errorf("the next urgent one: wait %v, pending %v", wait, pending)
	}
	deliver(s, 2*time.Second, 1, 4, 100)
	s.Changed(5, false)
	if due := dueAt(s, 3*time.Second); len(due) != 0 {
		t.Error("a change after the urgent one counts as urgent")
	}
}

func TestNothingIsDueWhileALineIsWritten(t *testing.T) {
	s := testSubscribers()
	var unbounded Pace
	s.Changed(1, false)
	s.Add(1, 1, &unbounded)
	s.Sending(1, 1)
	s.Changed(2, true)
	if due := dueAt(s, time.Hour); len(due) != 0 {
		t.Error("a second line at once")
	}
	s.Sent(time.Hour, 1, 10)
	if wait, pending := s.Wait(time.Hour, 1); !pending || wait != 20*ms {
		t.Errorf("wait %v, pending %v", wait, pending)
	}
}

func TestRemovedSubscriberIsForgotten(t *testing.T) {
	s := testSubscribers()
	var unbounded Pace
	s.Add(1, 0, &unbounded)
	s.Remove(1)
	s.Sending(1, 3)
	s.Sent(0, 1, 10)
	if _, pending := s.Wait(0, 1); pending || s.Len() != 0 || s.Version(1) != 0 {
		t.Error("it is still known")
	}
}

// Over random changes and reading speeds: who reads has the newest version in
// the end, no version goes back, and what is not urgent stays within the bound.
func TestSubscribersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, size = 20, 500 // two or three lines a minute
		s := testSubscribers()
		pace := NewPace(rate)
		now, version, urgent := time.Duration(0), Version(1), false
		s.Changed(version, false)
		s.Add(1, 1, &pace)
		sending, sent := false, 0
		has := Version(0)
		steps := rapid.IntRange(1, 200).Draw(t, "steps")
		step := func() {
			if !sending && slices.Contains(dueAt(s, now), 1) {
				if s.Sending(1, version); version < has {
					t.Fatal("it went back")
				}
				has, sending = version, true
			}
			if sending && rapid.Bool().Draw(t, "written") {
				s.Sent(now, 1, size)
				sending = false
				sent += size
			}
		}
		for range steps {
			if rapid.Bool().Draw(t, "change") {
				version++
				drain := rapid.IntRange(0, 9).Draw(t, "drain") == 0
				urgent = urgent || drain
				s.Changed(version, drain)
			}
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * ms
			step()
		}
		if minutes := 1 + int(now/time.Minute); !urgent && sent > minutes*60*rate+minutes*size {
			t.Fatalf("%d bytes in %v", sent, now)
		}
		if sending {
			s.Sent(now, 1, size)
		}
		wait, pending := s.Wait(now, 1)
		if has < version && !pending {
			t.Fatal("nothing is due to who lacks a change")
		}
		if has < version && !slices.Contains(dueAt(s, now+wait), 1) {
			t.Fatal("it is not due after its wait")
		}
	})
}
