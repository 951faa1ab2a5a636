package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// heartbeatInterval is the time between the empty lines of a watch.
const heartbeatInterval = 500 * time.Millisecond

// watchHead is the head of the response to a watch call.
const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// watchEvent is what the stand-in does on the open watch: it stops sending
// (watchFallsSilent), ends the response (watchEnds), or sends the text as a line.
type watchEvent string

const (
	watchFallsSilent watchEvent = "(silence)" // send nothing until the daemon closes the connection
	watchEnds        watchEvent = "(end)"     // close the connection
)

// testDiscovery is a stand-in for discovery.
type testDiscovery struct {
	t          *testing.T
	address    string              // empty until it is started
	firstLines chan string         // the first line of each watch; if nil, an empty line
	answer     func(conn net.Conn) // answers each call; if nil, answerWatch does

	watches chan string // receives the query of each watch call
	events  chan watchEvent
}

func startDiscovery(t *testing.T) *testDiscovery {
	t.Helper()
	discovery := &testDiscovery{t: t}
	discovery.start()
	return discovery
}

func (s *testDiscovery) start() {
	s.t.Helper()
	listener := listenLocal(s.t)
	s.address = listener.Addr().String()
	s.watches = make(chan string, 100)
	s.events = make(chan watchEvent, 100)
	go acceptConnections(listener, s.serve)
}

func (s *testDiscovery) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	switch {
	case err != nil:
	case s.answer != nil:
		s.answer(conn)
	default:
		s.answerWatch(conn, request.URL.RawQuery)
	}
}

// answerWatch answers a watch call that has a query: it sends the first line, and then
// heartbeats and events.
func (s *testDiscovery) answerWatch(conn net.Conn, query string) {
	fmt.Fprint(conn, watchHead)
	firstLine := ""
	if s.firstLines != nil {
		firstLine = <-s.firstLines
	}
	writeWatchLine(conn, firstLine)
	s.watches <- query
	closed := make(chan struct{})
	go func() {
		io.Copy(io.Discard, conn)
		close(closed)
	}()
	s.sendEvents(conn, closed)
}

// sendEvents sends heartbeats and events until the watch ends. The channel closed is closed
// when the daemon has closed the connection.
func (s *testDiscovery) sendEvents(conn net.Conn, closed <-chan struct{}) {
	for {
		select {
		case <-closed:
			return
		case event := <-s.events:
			switch event {
			case watchFallsSilent:
				<-closed
				return
			case watchEnds:
				return
			}
			writeWatchLine(conn, string(event))
		case <-time.After(heartbeatInterval):
			writeWatchLine(conn, "")
		}
	}
}

// writeWatchLine writes a line of a watch. An empty line is a heartbeat.
func writeWatchLine(conn net.Conn, line string) {
	fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(line)+1, line)
}

// sendList sends a complete endpoint list on the open watch.
func (s *testDiscovery) sendList(version int, entries ...string) {
	s.events <- watchEvent(endpointList(version, true, entries...))
}

// sendChange sends the entries that have changed on the open watch.
func (s *testDiscovery) sendChange(version int, entries ...string) {
	s.events <- watchEvent(endpointList(version, false, entries...))
}

// waitForWatch waits for a watch call and returns its query.
func (s *testDiscovery) waitForWatch() string {
	s.t.Helper()
	select {
	case query := <-s.watches:
		return query
	case <-time.After(testTimeout):
		s.t.Fatal("no watch")
		return ""
	}
}

// endpointList returns a version of the endpoint list as JSON: the complete list, or only the
// entries that have changed.
func endpointList(version int, complete bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, version, complete, strings.Join(entries, ","))
}
