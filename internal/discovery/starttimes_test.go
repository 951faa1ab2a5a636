package discovery

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/testkit"
)

// A compressed response to a poll is also read if the server closes the connection after it.
func TestCompressedResponseBeforeClose(t *testing.T) {
	server := newServer(t)
	follower := startFollower(t, server).loadInitial(``)
	first := server.expectRequest(pollQuery(0))
	var body bytes.Buffer
	w := gzip.NewWriter(&body)
	io.WriteString(w, encodeChange(7, true, "a=ready"))
	w.Close()
	fmt.Fprintf(first, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", body.Len(), body.Bytes())
	first.Close()
	follower.waitForVersion(7, "a=ready")
}

// A start time that does not fit into a time.Duration counts as unknown. Guards against an overflow, by which the worker
// counts as one that has started 292 years before 1970.
func TestStartTimesBeyondADuration(t *testing.T) {
	rig := testkit.NewRig(t)
	registry := newRegistry(rig, "")
	for _, startedAtMs := range []float64{9.2e12, 9.3e12, 9.9e12, 1e13, 1e300} {
		entry, err := registry.parseEndpoint(&endpoint{Name: "w", Address: "127.0.0.1:9", Health: "ready", StartedAtMs: startedAtMs})
		if err != nil {
			t.Fatal(err)
		}
		if exact := time.Duration(startedAtMs) * time.Millisecond; entry.StartedAt != 0 && entry.StartedAt != exact || entry.StartedAt < 0 {
			t.Errorf("born_ms %g is a start at %d ns", startedAtMs, entry.StartedAt)
		}
	}
}
