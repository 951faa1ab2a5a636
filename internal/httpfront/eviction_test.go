package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/testkit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// Incomplete requests cannot exhaust the memory: the oldest are rejected, and usual clients are served meanwhile.
func TestIncompleteRequestsAreEvictedForMemory(t *testing.T) {
	const buffers = 8
	addr := startEchoFrontEnd(t, buffers*transport.BufferSize, 100)
	half := "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: half\r\nContent-Length: 65000\r\n\r\n" + strings.Repeat("x", 64000)
	var first *bufio.Reader
	for i := range 3 * buffers {
		_, in := testkit.Connect(t, addr, half)
		if i == 0 {
			first = in
		}
		if _, usual := testkit.Connect(t, addr, testkit.RequestWithID(fmt.Sprint("usual-", i))); testkit.ReadStatus(usual) != 200 {
			t.Fatalf("beside %d incomplete requests a usual one gets no response", i)
		}
	}
	if code := testkit.ReadStatus(first); code != 503 {
		t.Errorf("the oldest got %d", code)
	}
}

// Connections whose requests have not been served are evicted first, and a proven one stays, even if it is older.
func TestEvictionSparesProvenConnections(t *testing.T) {
	addr := startEchoFrontEnd(t, 64<<20, 4)
	proven, in := testkit.Connect(t, addr, testkit.RequestWithID("first"))
	if testkit.ReadStatus(in) != 200 {
		t.Fatal("no response")
	}
	const health = "GET /healthz HTTP/1.1\r\n\r\n"
	for range 3 {
		if _, talk := testkit.Connect(t, addr, health); testkit.ReadStatus(talk) != 200 {
			t.Fatal("no response")
		}
	}
	for i := range 8 { // each needs the place of an unproven one
		if _, talk := testkit.Connect(t, addr, health); testkit.ReadStatus(talk) != 200 {
			t.Fatalf("%d: no response", i)
		}
	}
	if io.WriteString(proven, testkit.RequestWithID("second")); testkit.ReadStatus(in) != 200 {
		t.Error("the proven connection was closed")
	}
	// A silent one is evicted when there is no room, but not at once.
	for range 6 {
		testkit.Connect(t, addr, "")
	}
	if _, talk := testkit.Connect(t, addr, health); testkit.ReadStatus(talk) != 200 {
		t.Error("silent connections keep all others out")
	}
}

// A connection on which a response is pending is never evicted for memory.
func TestFreeMemorySparesPendingResponses(t *testing.T) {
	rig := testkit.NewRig(t)
	f, addr, worker := startWithHoldingClient(rig, 64<<20)
	_, in := testkit.Connect(t, addr, testkit.RequestWithID("first")+"POST /renewal/k HTTP/1.1\r\n")
	attempt := awaitAttempt(t, worker)
	rig.Do(func() {
		f.memoryLimit = 1
		f.freeMemory()
		f.memoryLimit = 64 << 20
	})
	completeAttempt(rig, attempt)
	if code := testkit.ReadStatus(in); code != 200 {
		t.Errorf("the pending response: %d", code)
	}
}
