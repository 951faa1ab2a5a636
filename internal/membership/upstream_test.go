package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func zones(n, each int) (servers []Server) {
	for z := range n {
		for i := range each {
			servers = append(servers, Server{fmt.Sprintf("z%d", z), fmt.Sprintf("10.%d.0.%d:8601", z, i)})
		}
	}
	return servers
}

// The own zone's server comes first, whatever the order in the table. Without it
// the subscribers of a zone spread over all others.
func TestSelectorPrefersTheOwnZoneAndSpreadsOverTheOthers(t *testing.T) {
	servers := zones(17, 1)
	second := map[string]int{}
	const subscribers = 1600
	for i := range subscribers {
		s := NewSelector(fmt.Sprintf("dispatcher-%d", i), "z5", servers, 1)
		first, wait := s.Next(0)
		if first.Zone != "z5" || wait != 0 {
			t.Fatalf("%v after %v", first, wait)
		}
		s.Failed(0, first.Address)
		next, _ := s.Next(0)
		second[next.Zone]++
	}
	for zone, n := range second {
		if mean := subscribers / 16; n < mean/2 || n > 2*mean {
			t.Errorf("%s gets %d of %d subscribers", zone, n, subscribers)
		}
	}
	if len(second) != 16 {
		t.Errorf("%d servers take them over, not 16", len(second))
	}
}

// Back in the own zone only after a while, which grows as the server flaps.
func TestSelectorReturnsWithHysteresis(t *testing.T) {
	s := NewSelector("d", "z0", zones(2, 1), 1)
	home, _ := s.Next(0)
	s.Working(0, home.Address)
	if _, _, ok := s.Better(0, home.Address); ok {
		t.Error("something is better than the own zone's server")
	}
	now := time.Second
	var waits []time.Duration
	for range 4 {
		s.Failed(now, home.Address)
		away, wait := s.Next(now)
		if away.Zone != "z1" || wait != 0 {
			t.Fatalf("%v after %v", away, wait)
		}
		s.Working(now, away.Address)
		_, wait, ok := s.Better(now, away.Address)
		if !ok || wait < leastReturn/2 || wait > mostReturn {
			t.Fatalf("back after %v, %v", wait, ok)
		}
		waits = append(waits, wait)
		now += wait
		back, wait, ok := s.Better(now, away.Address)
		if !ok || wait != 0 || back != home {
			t.Fatalf("%v after %v, %v", back, wait, ok)
		}
		s.Abandoned(away.Address)
		now += 100 * time.Millisecond
		s.Working(now, home.Address)
		now += time.Second
	}
	if waits[3] <= waits[0] {
		t.Errorf("the waits do not grow: %v", waits)
	}
	now += steadyTime
	s.Failed(now, home.Address)
	away, _ := s.Next(now)
	if _, wait, _ := s.Better(now, away.Address); wait > leastReturn {
		t.Errorf("after a steady time the wait is %v", wait)
	}
}

// One that is no longer among the servers is left for any that is, and none is
// forgotten that stays.
func TestSelectorReset(t *testing.T) {
	s := NewSelector("d", "z0", zones(3, 1), 1)
	first, _ := s.Next(0)
	s.Working(0, first.Address)
	s.Failed(1, zones(3, 1)[2].Address)
	s.Reset("z1", zones(3, 1)[1:])
	next, wait, ok := s.Better(1, first.Address)
	if !ok || wait != 0 || next.Zone != "z1" {
		t.Errorf("%v after %v, %v", next, wait, ok)
	}
	if _, wait, ok := s.Better(1, first.Address); !ok || wait == 0 {
		t.Error("the failure before the reset is forgotten")
	}
	if s.Reset("z1", nil); len(s.servers) > 0 {
		t.Error("servers are left")
	}
	if _, wait := s.Next(2); wait <= 0 {
		t.Error("a server out of an empty table")
	}
}

// Whatever the servers did before, and however many of them are dead or silent:
// one that comes up is tried soon, since all are tried in turn without end.
func TestSelectorFindsAnyServerThatIsUp(t *testing.T) {
	const (
		step  = 150 * time.Millisecond // between the attempts of one subscriber
		dials = time.Second            // until a silent server is given up
		bound = 5 * time.Second        // of the 6 s; the rest is for the answer
	)
	rapid.Check(t, func(t *rapid.T) {
		servers := zones(rapid.IntRange(1, 9).Draw(t, "zones"), rapid.IntRange(1, 2).Draw(t, "each"))
		s := NewSelector(rapid.StringMatching(`d-[0-9]{1,4}`).Draw(t, "name"), "z0", servers, rapid.Uint64().Draw(t, "seed"))
		silent := map[string]bool{}
		for _, server := range servers {
			silent[server.Address] = rapid.Bool().Draw(t, "silent")
		}
		up := servers[rapid.IntRange(0, len(servers)-1).Draw(t, "up")].Address
		from := time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "from"))
		type attempt struct {
			address string
			ends    time.Duration
		}
		var out []attempt
		for now := time.Duration(0); ; {
			for i := 0; i < len(out); i++ {
				if out[i].ends <= now {
					s.Failed(now, out[i].address)
					out = append(out[:i], out[i+1:]...)
					i--
				}
			}
			server, wait := s.Next(now)
			switch {
			case wait > 0:
				now += min(wait, step)
				continue
			case server.Address == up && now >= from:
				if now > from+bound {
					t.Fatalf("found %v after it came up", now-from)
				}
				return
			case silent[server.Address]:
				out = append(out, attempt{server.Address, now + dials})
			default:
				s.Failed(now, server.Address)
			}
			now += step
			if now > from+time.Minute {
				t.Fatal("never found")
			}
		}
	})
}

// Random outcomes: Next never names a server twice at a time, nor one before its
// time, and never falls silent.
func TestSelectorNeverTriesOneTwiceAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSelector("d", "z0", zones(rapid.IntRange(1, 5).Draw(t, "zones"), 2), 7)
		trying, barred := map[string]bool{}, map[string]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "passes"))
			server, wait := s.Next(now)
			if wait == 0 {
				if trying[server.Address] || barred[server.Address] > now {
					t.Fatalf("%v: being tried %v, barred until %v", server, trying[server.Address], barred[server.Address])
				}
				trying[server.Address] = true
			} else if wait > mostRetry {
				t.Fatalf("a wait of %v", wait)
			}
			for address := range trying {
				switch rapid.IntRange(0, 3).Draw(t, "outcome") {
				case 0:
					s.Failed(now, address)
					barred[address] = now + leastRetry/2
				case 1:
					s.Working(now, address)
					delete(barred, address)
				case 2:
					s.Abandoned(address)
				default:
					continue
				}
				delete(trying, address)
				break
			}
		}
	})
}
