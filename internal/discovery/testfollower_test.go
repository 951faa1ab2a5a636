package discovery

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/membership"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// testFollower is a dispatcher that follows servers.
type testFollower struct {
	*testkit.Rig
	t        *testing.T
	registry *Registry

	mu       sync.Mutex
	logLines []string // of the log
	applied  []membership.Version
}

const localZone = "near"

// startFollower starts a dispatcher that follows the first servers as those of its zone
// and the last ones, as many as are far, as those of another.
func startFollower(t *testing.T, far int, servers ...*testServer) *testFollower {
	t.Helper()
	s := &testFollower{Rig: testkit.NewRig(t, func(s *decision.Settings) { s.DrainGrace = 500 * time.Millisecond }), t: t}
	s.Do(func() {
		s.Dispatcher.Log = func(text string) {
			s.mu.Lock()
			s.logLines = append(s.logLines, text)
			s.mu.Unlock()
		}
		s.registry = newRegistry(s.Rig, "")
		s.registry.OnVersionApplied = func(v membership.Version) {
			s.mu.Lock()
			s.applied = append(s.applied, v)
			s.mu.Unlock()
		}
		s.registry.Follow(s.followConfig(far, servers...))
	})
	return s
}

func (s *testFollower) followConfig(far int, servers ...*testServer) FollowConfig {
	config := FollowConfig{Name: "d 1", Zone: localZone, Acknowledge: 10 * time.Millisecond, Seed: 1}
	for i, server := range servers {
		zone := localZone
		if i >= len(servers)-far {
			zone = fmt.Sprintf("far%d", i)
		}
		config.Servers = append(config.Servers, membership.Server{Zone: zone, Address: server.addr})
	}
	return config
}

// loadInitial starts it from a list.
func (s *testFollower) loadInitial(list string) *testFollower {
	s.t.Helper()
	s.Do(func() {
		if err := s.registry.LoadInitial([]byte(list)); err != nil {
			s.t.Error(err)
		}
	})
	return s
}

// workers is what is listed, as name=health, in order.
func (s *testFollower) workers() string {
	var list []string
	s.Do(func() {
		for name, b := range s.registry.workers {
			health := map[decision.WorkerState]string{decision.Running: "ready", decision.Draining: "draining"}[b.State]
			list = append(list, name+"="+health)
		}
	})
	slices.Sort(list)
	return strings.Join(list, " ")
}

func (s *testFollower) version() (v membership.Version) {
	s.Do(func() { v = s.registry.follower.version })
	return v
}

func (s *testFollower) stats() (stats Stats) {
	s.Do(func() { stats = s.registry.Stats() })
	return stats
}

// waitForVersion waits for a version to be in force, and checks what is listed then.
func (s *testFollower) waitForVersion(v membership.Version, hosts string) {
	s.t.Helper()
	testkit.Until(s.t, fmt.Sprintf("version %d is in force", v), func() bool { return s.version() >= v })
	if got, now := s.workers(), s.version(); now != v || got != hosts {
		s.t.Fatalf("version %d: %s; want %d: %s", now, got, v, hosts)
	}
}

// waitForServer waits until a server is in use.
func (s *testFollower) waitForServer(server *testServer) {
	s.t.Helper()
	testkit.Until(s.t, server.addr+" is followed", func() bool { return s.stats().Server == server.addr })
}

// countLogLines counts the lines of the log that hold a text.
func (s *testFollower) countLogLines(text string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range s.logLines {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// makeAttemptDue makes the next attempt at a better server due.
func (s *testFollower) makeAttemptDue() {
	f := s.registry.follower
	f.selector = membership.NewSelector(f.config.Name, f.config.Zone, f.config.Servers, 1)
	f.connect()
}

// acceptOneSetting takes changes of one setting, all or none, and tells them.
func acceptOneSetting(onAccepted func()) func([]settingChange) error {
	return func(changes []settingChange) error {
		for i, c := range changes {
			if c.Key != "over_share_worth" {
				return fmt.Errorf("settings[%d]: %s cannot change while the program runs", i, c.Key)
			}
		}
		if onAccepted != nil {
			onAccepted()
		}
		return nil
	}
}
