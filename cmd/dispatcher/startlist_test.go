package main

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// A process starts with a stale list, from which discovery has since removed a worker whose
// machine still runs. This worker must get no request, neither before discovery has answered
// nor afterwards, however large the fleet is, and whether the dispatchers call discovery
// themselves ("ask") or have an agent ("push").
func TestStartWithRemovedWorkerInInitialList(t *testing.T) {
	for _, peers := range []int{1, 300} {
		for _, discovery := range []string{"ask", "push"} {
			t.Run(fmt.Sprintf("%d %s", peers, discovery), func(t *testing.T) {
				t.Parallel()
				removal := newRemoval(t, func(r *removalTest, _ int, conn net.Conn) {
					if discovery == "ask" { // discovery answers calls one after the other; an agent answers at once
						time.Sleep(500 * time.Millisecond)
					}
					io.WriteString(conn, watchHead+r.change())
					writeHeartbeats(conn, nil)
				})
				removal.config = map[string]any{"settings": settingsWithPeers(peers, discovery)}
				removal.start()
				stopLoad := removal.startLoad()
				time.Sleep(3 * time.Second)
				stopLoad()
				if count := len(removal.removed.requests()); count > 0 {
					t.Errorf("%d requests went to the removed worker", count)
				}
				if removal.answered(200) == 0 {
					t.Error("no request was served")
				}
			})
		}
	}
}
