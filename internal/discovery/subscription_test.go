package discovery

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/testkit"
)

// A watch that goes silent is replaced by a watch of the next server.
func TestWatchTimeout(t *testing.T) {
	local := newServer(t)
	remote := newRemoteServer(t)
	follower := startFollower(t, local, remote).loadInitial(``)
	watch := local.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	follower.waitForServer(local)
	text := testkit.Chunk(encodeChange(6, false, "b=ready") + "\n")
	watch.sendLine("")
	follower.Do(func() { follower.registry.follower.active.watch.conn.onTimeout() }) // timed out
	remote.serveFirstPoll(5, encodeChange(7, false, "c=ready"), 7)
	follower.waitForVersion(7, "a=ready c=ready")
	io.WriteString(watch, text) // too late
	follower.waitForServer(remote)
}

// A watch does not time out in a turn of the event loop in which its bytes wait to be read.
func TestWatchTimeoutWithUnreadData(t *testing.T) {
	server := newServer(t)
	follower := startFollower(t, server).loadInitial(``)
	watch := server.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	follower.waitForServer(server)
	release := follower.BlockLoop()
	follower.Dispatcher.Loop.Post(func() { follower.registry.follower.active.watch.conn.onTimeout() })
	follower.Write(t, watch, testkit.Chunk(encodeChange(6, false, "a=draining")+"\n"))
	release()
	follower.waitForVersion(6, "a=draining")
	if n := follower.countLogLines(errTimeout.Error()); n != 0 {
		t.Error("the watch has timed out")
	}
}

// A large snapshot that arrives byte by byte is neither abandoned nor applied before its end.
func TestSnapshotByteByByte(t *testing.T) {
	server := newServer(t)
	follower := startFollower(t, server).loadInitial(``)
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprintf("w%04d=ready", i))
	}
	var body bytes.Buffer
	w := gzip.NewWriter(&body)
	io.WriteString(w, encodeChange(5, true, names...))
	w.Close()
	first := server.expectRequest(pollQuery(0))
	fmt.Fprintf(first, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n", body.Len())
	raw := body.Bytes()
	for i := range raw {
		if i == len(raw)-1 {
			if got := follower.workers(); got != "" {
				t.Fatal("a part of the snapshot is in force: ", got)
			}
		}
		first.Write(raw[i : i+1])
	}
	server.expectRequest(watchQuery(5)).openWatch()
	follower.waitForVersion(5, strings.Join(names, " "))
}

// A chunked snapshot with one byte in each chunk, and then a delta on the watch byte by byte, are applied.
func TestChunkedSnapshotAndDeltaByteByByte(t *testing.T) {
	server := newServer(t)
	follower := startFollower(t, server).loadInitial(``)
	first := server.expectRequest(pollQuery(0))
	io.WriteString(first, testkit.WatchHead)
	text := encodeChange(5, true, "a=ready")
	for i := range text {
		io.WriteString(first, testkit.Chunk(text[i:i+1]))
	}
	io.WriteString(first, "0\r\n\r\n")
	watch := server.expectRequest(watchQuery(5))
	watch.openWatch()
	follower.waitForVersion(5, "a=ready")
	for _, b := range []byte(testkit.Chunk(encodeChange(6, false, "a=draining", "b=ready") + "\n")) {
		watch.Write([]byte{b})
	}
	follower.waitForVersion(6, "a=draining b=ready")
}

// A server may end its watch without an error if the next change is better fetched compressed. It is polled at once and
// stays in use. A server that does so again without having sent anything newer has failed.
func TestWatchEndedByServer(t *testing.T) {
	local := newServer(t)
	remote := newRemoteServer(t)
	follower := newFollower(t)
	config := followConfig(local, remote)
	config.AcknowledgeInterval = time.Minute // no acknowledgement falls due during the test, since that is a poll too
	follower.Do(func() { follower.registry.Follow(config) })
	follower.loadInitial(``)
	watch := local.serveFirstPoll(0, encodeChange(1, true, "a=ready"), 1)
	follower.waitForServer(local)
	io.WriteString(watch, "0\r\n\r\n")
	local.expectRequest(pollQuery(1)).answerCompressed(encodeChange(2, false, "a=gone", "b=ready"))
	follower.waitForVersion(2, "b=ready")
	watch = local.expectRequest(watchQuery(2))
	watch.openWatch()
	if stats := follower.stats(); stats.Server != local.addr || stats.Failovers != 0 {
		t.Errorf("%+v", stats)
	}
	io.WriteString(watch, "0\r\n\r\n")
	local.expectRequest(pollQuery(2)).answer(encodeChange(2, false))
	watch = local.expectRequest(watchQuery(2))
	watch.openWatch()
	io.WriteString(watch, "0\r\n\r\n")
	remote.serveFirstPoll(2, encodeChange(3, false, "b=draining"), 3)
	follower.waitForVersion(3, "b=draining")
}
