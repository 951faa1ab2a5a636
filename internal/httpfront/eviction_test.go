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

// Checks that incomplete requests cannot exhaust the memory: the oldest are rejected, while clients that send complete
// requests are served.
func TestIncompleteRequestsAreEvictedForMemory(t *testing.T) {
	const buffers = 8
	addr := startEchoFrontEnd(t, buffers*transport.BufferSize, 100)
	incomplete := "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: half\r\nContent-Length: 65000\r\n\r\n" + strings.Repeat("x", 64000)
	var oldest *bufio.Reader
	for i := range 3 * buffers {
		_, reader := testkit.Connect(t, addr, incomplete)
		if i == 0 {
			oldest = reader
		}
		_, usual := testkit.Connect(t, addr, testkit.RequestWithID(fmt.Sprint("usual-", i)))
		requireStatus(t, fmt.Sprintf("a complete request beside %d incomplete ones", i), usual, 200)
	}
	checkStatus(t, "the oldest incomplete request", oldest, 503)
}

// Checks that connections on which no request has been served are evicted first, and that a proven connection stays
// open even if it is older.
func TestEvictionSparesProvenConnections(t *testing.T) {
	const maxConnections = 4
	addr := startEchoFrontEnd(t, ampleMemory, maxConnections)
	proven, provenReader := testkit.Connect(t, addr, testkit.RequestWithID("first"))
	requireStatus(t, "the first request", provenReader, 200)
	for range maxConnections - 1 {
		_, unproven := testkit.Connect(t, addr, healthRequest)
		requireStatus(t, "an unproven connection", unproven, 200)
	}
	for i := range 2 * maxConnections { // each is accepted only once an unproven one is evicted
		_, unproven := testkit.Connect(t, addr, healthRequest)
		requireStatus(t, fmt.Sprint("beyond the limit, connection ", i), unproven, 200)
	}
	io.WriteString(proven, testkit.RequestWithID("second"))
	checkStatus(t, "the proven connection", provenReader, 200)

	// Silent connections are evicted when the limit is reached, but only after a grace period.
	for range 6 {
		testkit.Connect(t, addr, "")
	}
	_, last := testkit.Connect(t, addr, healthRequest)
	checkStatus(t, "a connection opened after silent ones", last, 200)
}

// Checks that a connection on which a response is pending is never evicted to free memory.
func TestFreeMemorySparesPendingResponses(t *testing.T) {
	frontEnd := startHoldingFrontEnd(t)
	_, reader := testkit.Connect(t, frontEnd.addr, testkit.RequestWithID("first")+"POST /renewal/k HTTP/1.1\r\n")
	attempt := frontEnd.awaitAttempt()
	frontEnd.Do(func() {
		frontEnd.memoryLimit = 1
		frontEnd.freeMemory()
		frontEnd.memoryLimit = ampleMemory
	})
	frontEnd.complete(attempt)
	checkStatus(t, "the pending response", reader, 200)
}
