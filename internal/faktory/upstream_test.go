package faktory

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// Password, salt and iterations of the upstream server, as in the specification's
// example.
const (
	upstreamPassword   = "password"
	upstreamSalt       = "55104dc76695721d"
	upstreamIterations = 1545
)

// upstreamServer is a stand-in for an upstream Faktory server. It reserves the jobs
// that it delivers, and is implemented from the protocol's public specification.
type upstreamServer struct {
	listener net.Listener

	mu               sync.Mutex        // guards the fields below
	queue            []string          // raw jobs
	reserved         map[string]string // raw jobs by jid
	reports          map[string]int    // by jid: number of ACKs and FAILs of reserved jobs
	unmatchedReports int               // number of ACKs and FAILs of jobs that are not reserved
	lastReportVerb   map[string]string // by jid: the verb of the last ACK or FAIL of a reserved job
	loseReplyTo      string            // the reply to the first ACK or FAIL of this jid is lost
	loseReportOf     string            // the first ACK or FAIL of this jid is lost
	heartbeats       int
}

func startUpstream(t *testing.T) *upstreamServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	upstream := &upstreamServer{
		listener:       listener,
		reserved:       map[string]string{},
		reports:        map[string]int{},
		lastReportVerb: map[string]string{},
	}
	t.Cleanup(func() { listener.Close() })
	go upstream.acceptAll()
	return upstream
}

// sourceConfig returns an operator's file with both roles and this server as
// upstream.
func (u *upstreamServer) sourceConfig(lanes int) string {
	return serverConfig + fmt.Sprintf("[source]\naddress = %q\npassword = %q\nlanes = %d\n", u.listener.Addr(), upstreamPassword, lanes)
}

func (u *upstreamServer) acceptAll() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serve(conn)
	}
}

// serve replies to the commands of one connection.
func (u *upstreamServer) serve(conn net.Conn) {
	defer conn.Close()
	fmt.Fprintf(conn, "+HI {\"v\":2,\"s\":%q,\"i\":%d}\r\n", upstreamSalt, upstreamIterations)
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		answer, open := u.handle(verb, rest)
		fmt.Fprint(conn, answer)
		if !open {
			return
		}
	}
}

// handle returns the reply to a command, and whether the connection stays open.
func (u *upstreamServer) handle(verb, rest string) (answer string, open bool) {
	switch verb {
	case "HELLO":
		if !isValidHello(rest) {
			return "-ERR Invalid password\r\n", false
		}
		return "+OK\r\n", true
	case "FETCH":
		raw, found := u.reserveNext()
		if !found {
			time.Sleep(20 * time.Millisecond)
			return "$-1\r\n", true
		}
		return fmt.Sprintf("$%d\r\n%s\r\n", len(raw), raw), true
	case "ACK", "FAIL":
		if !u.recordReport(verb, jidOf(rest)) {
			return "", false
		}
		return "+OK\r\n", true
	case "BEAT":
		u.mu.Lock()
		u.heartbeats++
		u.mu.Unlock()
		return "+OK\r\n", true
	case "END":
		return "", false
	}
	return "-ERR Unknown command\r\n", true
}

// isValidHello reports whether the argument of a HELLO has a wid and the hash of the
// upstreamPassword.
func isValidHello(rest string) bool {
	var message hello
	err := json.Unmarshal([]byte(rest), &message)
	return err == nil && message.Wid != "" && message.Hash == hashPassword(upstreamPassword, upstreamSalt, upstreamIterations)
}

// push queues a job.
func (u *upstreamServer) push(raw string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.queue = append(u.queue, raw)
}

// reserveNext takes the first job off the queue and reserves it. It returns false
// if the queue is empty.
func (u *upstreamServer) reserveNext() (raw string, found bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.queue) == 0 {
		return "", false
	}
	raw = u.queue[0]
	u.queue = u.queue[1:]
	u.reserved[jidOf(raw)] = raw
	return raw, true
}

// recordReport records an ACK or FAIL. It returns false if the connection must be closed
// without a reply.
func (u *upstreamServer) recordReport(verb, jid string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if jid == u.loseReportOf {
		u.loseReportOf = ""
		u.queue = append(u.queue, u.reserved[jid]) // its reservation expires
		return false
	}
	if u.reserved[jid] == "" {
		u.unmatchedReports++
	} else {
		u.reports[jid]++
		u.lastReportVerb[jid] = verb
		delete(u.reserved, jid)
	}
	if jid == u.loseReplyTo {
		u.loseReplyTo = ""
		return false
	}
	return true
}

// isIdle reports whether the given number of jobs have been reported by ACK or FAIL
// and none is queued or reserved.
func (u *upstreamServer) isIdle(reported int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.reports) == reported && len(u.queue) == 0 && len(u.reserved) == 0
}

// reportsOf returns the number of ACKs and FAILs of a job, and the verb of the last
// one.
func (u *upstreamServer) reportsOf(jid string) (count int, verb string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.reports[jid], u.lastReportVerb[jid]
}
