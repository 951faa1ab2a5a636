package membership

import (
	"testing"
	"time"
)

func TestFailoverTriesTheNextAtOnce(t *testing.T) {
	failover := NewFailover([]string{"a", "b", "c"}, 1)
	for _, want := range []string{"a", "b", "c"} {
		server, wait := failover.Next(0)
		if server != want || wait != 0 {
			t.Errorf("%s after %v, not %s at once", server, wait, want)
		}
		failover.MarkFailed(0)
	}
	if server, wait := failover.Next(0); server != "a" || wait < initialBackoff/2 || wait > initialBackoff {
		t.Errorf("after all have failed: %s after %v", server, wait)
	}
}

// A working server is kept until it fails. The next one is then called at once, since the failures before do not count.
func TestFailoverKeepsAWorkingServer(t *testing.T) {
	failover := NewFailover([]string{"a", "b"}, 1)
	failover.MarkFailed(0)
	failover.MarkActive(0)
	failover.MarkActive(stableAfter)
	if server, wait := failover.Next(stableAfter); server != "b" || wait != 0 {
		t.Errorf("%s after %v", server, wait)
	}
	failover.MarkFailed(stableAfter)
	if server, wait := failover.Next(stableAfter); server != "a" || wait != 0 {
		t.Errorf("%s after %v", server, wait)
	}
}

// Servers that accept a call and then fail at once are called with a growing backoff.
func TestFailoverBacksOffFromFlappingServers(t *testing.T) {
	failover := NewFailover([]string{"a", "b"}, 1)
	now := time.Duration(0)
	for range 100 {
		failover.MarkActive(now)
		failover.MarkFailed(now)
		_, wait := failover.Next(now)
		now += wait
	}
	if now < 25*time.Second {
		t.Errorf("a hundred failures take %v", now)
	}
}

// The backoff is bounded, so that changes arrive within 6 s of an upstream becoming reachable.
func TestFailoverBackoffIsBounded(t *testing.T) {
	failover := NewFailover([]string{"a"}, 1)
	now := time.Duration(0)
	for range 1000 {
		failover.MarkFailed(now)
		_, wait := failover.Next(now)
		if wait < initialBackoff/2 || wait > maxBackoff {
			t.Fatalf("wait %v", wait)
		}
		now += wait
	}
	if now < 500*time.Second {
		t.Errorf("a thousand failures take %v, so the backoff is too short", now)
	}
}

func TestFailoverReportsThatAllAreBehind(t *testing.T) {
	failover := NewFailover([]string{"a", "b"}, 1)
	failover.MarkBehind(0)
	failover.MarkBehind(0)
	if failover.AllBehind(behindReportAfter) {
		t.Error("reported within the limit")
	}
	if !failover.AllBehind(behindReportAfter+1) || failover.AllBehind(behindReportAfter+2) {
		t.Error("not reported exactly once")
	}
	failover.MarkActive(0)
	failover.MarkBehind(2 * behindReportAfter)
	failover.MarkFailed(2 * behindReportAfter) // an unreachable server is not behind
	if failover.AllBehind(4 * behindReportAfter) {
		t.Error("reported although one server is unreachable and not behind")
	}
}

// The current server is kept if it is listed again; otherwise the first one is called at once.
func TestFailoverReplace(t *testing.T) {
	failover := NewFailover([]string{"a", "b"}, 1)
	failover.MarkFailed(0)
	if !failover.Replace([]string{"c", "b"}) {
		t.Error("b is still listed")
	}
	if server, _ := failover.Next(0); server != "b" {
		t.Errorf("%s is called", server)
	}
	if failover.Replace([]string{"d", "e"}) {
		t.Error("b is no longer listed")
	}
	if server, wait := failover.Next(0); server != "d" || wait != 0 {
		t.Errorf("%s after %v", server, wait)
	}
}
