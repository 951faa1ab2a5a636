package discovery

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/testkit"
)

// A watch that falls silent is left for the next server, one that trickles is not.
func TestWatchTimeout(t *testing.T) {
	home, other := newServer(t), newServer(t)
	s := startFollower(t, 1, home, other).loadInitial(``)
	watch := home.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	s.waitForServer(home)
	text := testkit.Chunk(encodeChange(6, false, "b=ready") + "\n")
	watch.sendLine("")
	s.Do(func() { s.registry.follower.active.watchConn.onTimeout() }) // its time is up
	other.serveFirstPoll(5, encodeChange(7, false, "c=ready"), 7)
	s.waitForVersion(7, "a=ready c=ready")
	io.WriteString(watch, text) // too late
	s.waitForServer(other)
}

// In the very turn in which a watch's time is up, bytes of it are here.
func TestWatchTimeoutWithUnreadData(t *testing.T) {
	home := newServer(t)
	s := startFollower(t, 0, home).loadInitial(``)
	watch := home.serveFirstPoll(0, encodeChange(5, true, "a=ready"), 5)
	s.waitForServer(home)
	release := s.Hold()
	s.Dispatcher.Loop.Post(func() { s.registry.follower.active.watchConn.onTimeout() })
	s.Write(t, watch, testkit.Chunk(encodeChange(6, false, "a=draining")+"\n"))
	release()
	s.waitForVersion(6, "a=draining")
	if n := s.countLogLines(errTimeout.Error()); n != 0 {
		t.Error("the watch counts as silent")
	}
}

// A large snapshot that comes byte by byte is neither given up nor in force before
// its end.
func TestSnapshotByteByByte(t *testing.T) {
	home := newServer(t)
	s := startFollower(t, 0, home).loadInitial(``)
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprintf("w%04d=ready", i))
	}
	var body bytes.Buffer
	w := gzip.NewWriter(&body)
	io.WriteString(w, encodeChange(5, true, names...))
	w.Close()
	first := home.expectRequest("after=0&name=d+1")
	fmt.Fprintf(first, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n", body.Len())
	raw := body.Bytes()
	for i := range raw {
		if i == len(raw)-1 {
			if got := s.workers(); got != "" {
				t.Fatal("a part of the snapshot is in force: ", got)
			}
		}
		first.Write(raw[i : i+1])
	}
	home.expectRequest("watch=1&after=5&name=d+1").openWatch()
	s.waitForVersion(5, strings.Join(names, " "))
}

// The same in chunks, and a delta byte by byte on the watch.
func TestChunkedSnapshotAndDeltaByteByByte(t *testing.T) {
	home := newServer(t)
	s := startFollower(t, 0, home).loadInitial(``)
	first := home.expectRequest("after=0&name=d+1")
	io.WriteString(first, testkit.WatchHead)
	text := encodeChange(5, true, "a=ready")
	for i := range text {
		io.WriteString(first, testkit.Chunk(text[i:i+1]))
	}
	io.WriteString(first, "0\r\n\r\n")
	watch := home.expectRequest("watch=1&after=5&name=d+1")
	watch.openWatch()
	s.waitForVersion(5, "a=ready")
	for _, b := range []byte(testkit.Chunk(encodeChange(6, false, "a=draining", "b=ready") + "\n")) {
		watch.Write([]byte{b})
	}
	s.waitForVersion(6, "a=draining b=ready")
}

// A server may end its watch in order where what comes next is better had
// compressed: it is called at once, and stays the one in use. One that does so
// again without anything newer has failed.
func TestWatchEndedInOrder(t *testing.T) {
	home, other := newServer(t), newServer(t)
	s := startFollower(t, 1, home, other).loadInitial(``)
	watch := home.serveFirstPoll(0, encodeChange(1, true, "a=ready"), 1)
	s.waitForServer(home)
	home.expectRequest("after=1&name=d+1").answer(encodeChange(1, false))
	io.WriteString(watch, "0\r\n\r\n")
	home.expectRequest("after=1&name=d+1").answerCompressed(encodeChange(2, false, "a=gone", "b=ready"))
	s.waitForVersion(2, "b=ready")
	watch = home.expectRequest("watch=1&after=2&name=d+1")
	watch.openWatch()
	if stats := s.stats(); stats.Server != home.addr || stats.Failovers != 0 {
		t.Errorf("%+v", stats)
	}
	io.WriteString(watch, "0\r\n\r\n")
	home.expectRequest("after=2&name=d+1").answer(encodeChange(2, false))
	watch = home.expectRequest("watch=1&after=2&name=d+1")
	watch.openWatch()
	io.WriteString(watch, "0\r\n\r\n")
	other.serveFirstPoll(2, encodeChange(3, false, "b=draining"), 3)
	s.waitForVersion(3, "b=draining")
}
