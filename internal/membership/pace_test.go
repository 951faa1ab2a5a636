package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestPaceSendsAtOnceUntilTheBurstIsSpent(t *testing.T) {
	p := NewPace(100, 1000)
	for range 3 {
		if wait := p.Wait(0, false); wait != 0 {
			t.Fatalf("waits %v", wait)
		}
		p.Spend(0, 400)
	}
	wait := p.Wait(0, false) // 200 bytes of debt, at 100 - 1000/60 a second
	if wait < 2400*time.Millisecond || wait > 2401*time.Millisecond {
		t.Errorf("waits %v", wait)
	}
	if again := p.Wait(wait, false); again != 0 {
		t.Errorf("waits %v again", again)
	}
}

func TestPaceUrgentGoesAtOnceAndIsPaidBack(t *testing.T) {
	p := NewPace(100, 0)
	for range 10 {
		if wait := p.Wait(0, true); wait != 0 {
			t.Fatalf("an urgent change waits %v", wait)
		}
		p.Spend(0, 100)
	}
	if wait := p.Wait(0, false); wait < 10*time.Second {
		t.Errorf("waits %v after 1000 bytes at 100 a second", wait)
	}
}

func TestPaceWithoutRateBoundsNothing(t *testing.T) {
	for _, p := range []Pace{{}, NewPace(0, 100), NewPace(-1, 0)} {
		p.Spend(0, 1<<40)
		if wait := p.Wait(0, false); wait != 0 {
			t.Errorf("%+v waits %v", p, wait)
		}
	}
}

func TestPaceClockGoesBack(t *testing.T) {
	p := NewPace(100, 0)
	p.Spend(time.Minute, 100)
	before := p.Wait(time.Minute, false)
	if wait := p.Wait(0, false); wait != before {
		t.Errorf("waits %v, before %v", wait, before)
	}
}

// spending is what has been sent at one time.
type spending struct {
	at    time.Duration
	bytes int
}

// most is the most that was sent within any span of that length.
func most(sent []spending, span time.Duration) int {
	highest, sum, first := 0, 0, 0
	for _, s := range sent {
		sum += s.bytes
		for sent[first].at <= s.at-span {
			sum -= sent[first].bytes
			first++
		}
		highest = max(highest, sum)
	}
	return highest
}

// Whatever the schedule, in any minute no more goes out without being urgent
// than the rate and one change; and nothing waits longer than what was sent
// before it is worth.
func TestPaceBoundsAnyMinute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 10000).Draw(t, "bytes a second")
		burst := rapid.Float64Range(0, 100).Draw(t, "burst in seconds") * rate
		p := NewPace(rate, burst)
		var now time.Duration
		var sent []spending
		largest, urgent := 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			now += time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "pause"))
			bytes := rapid.IntRange(1, 300000).Draw(t, "bytes")
			if rapid.IntRange(0, 9).Draw(t, "urgent") == 0 {
				if p.Wait(now, true) != 0 {
					t.Fatal("an urgent change waits")
				}
				p.Spend(now, bytes)
				urgent += bytes
				continue
			}
			wait := p.Wait(now, false)
			if longest := float64(largest+urgent) / (rate / 2); wait.Seconds() > longest+0.001 {
				t.Fatalf("waits %v for at most %d bytes of debt at %v a second", wait, largest+urgent, rate)
			}
			now += wait
			if again := p.Wait(now, false); again != 0 {
				t.Fatalf("waits %v, and then %v again", wait, again)
			}
			p.Spend(now, bytes)
			sent = append(sent, spending{now, bytes})
			largest = max(largest, bytes)
		}
		if bytes := most(sent, time.Minute); float64(bytes) > 60*rate+float64(largest)+1 {
			t.Fatalf("%d bytes in a minute, at %v a second and a change of %d", bytes, rate, largest)
		}
	})
}
