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
	incomplete := "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: half\r\nContent-Length: 65000\r\n\r\n" + strings.Repeat("x", 64000)
	var oldest *bufio.Reader
	for i := range 3 * buffers {
		_, reader := testkit.Connect(t, addr, incomplete)
		if i == 0 {
			oldest = reader
		}
		_, usual := testkit.Connect(t, addr, testkit.RequestWithID(fmt.Sprint("usual-", i)))
		requireStatus(t, fmt.Sprintf("a usual request beside %d incomplete ones", i), usual, 200)
	}
	checkStatus(t, "the oldest incomplete request", oldest, 503)
}

// Connections whose requests have not been served are evicted first, and a proven one stays, even if it is older.
func TestEvictionSparesProvenConnections(t *testing.T) {
	const maxConnections = 4
	addr := startEchoFrontEnd(t, ampleMemory, maxConnections)
	proven, provenReader := testkit.Connect(t, addr, testkit.RequestWithID("first"))
	requireStatus(t, "the first request", provenReader, 200)
	for range maxConnections - 1 {
		_, unproven := testkit.Connect(t, addr, healthRequest)
		requireStatus(t, "an unproven connection", unproven, 200)
	}
	for i := range 2 * maxConnections { // each needs the place of an unproven one
		_, unproven := testkit.Connect(t, addr, healthRequest)
		requireStatus(t, fmt.Sprint("beyond the limit, connection ", i), unproven, 200)
	}
	io.WriteString(proven, testkit.RequestWithID("second"))
	checkStatus(t, "the proven connection", provenReader, 200)

	// A silent one is evicted when there is no room, but not at once.
	for range 6 {
		testkit.Connect(t, addr, "")
	}
	_, last := testkit.Connect(t, addr, healthRequest)
	checkStatus(t, "a connection behind silent ones", last, 200)
}

// A connection on which a response is pending is never evicted for memory.
func TestFreeMemorySparesPendingResponses(t *testing.T) {
	front := startHoldingFrontEnd(t)
	_, reader := testkit.Connect(t, front.addr, testkit.RequestWithID("first")+"POST /renewal/k HTTP/1.1\r\n")
	attempt := front.awaitAttempt()
	front.Do(func() {
		front.memoryLimit = 1
		front.freeMemory()
		front.memoryLimit = ampleMemory
	})
	front.complete(attempt)
	checkStatus(t, "the pending response", reader, 200)
}
