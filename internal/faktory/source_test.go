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

// upstreamServer is a server with reservations.
type upstreamServer struct {
	mu              sync.Mutex
	ln              net.Listener
	queue           []string          // raw jobs
	reserved        map[string]string // raw jobs by jid
	closed          map[string]int    // ACKs and FAILs that found a reservation
	unmatchedCloses int               // those that found none
	closedBy        map[string]string
	loseAnswerTo    string // the ACK of this jid is accepted and its answer lost, once
	loseCloseOf     string // the ACK of this jid is lost on the way, once
	heartbeats      int
}

func startUpstream(t *testing.T) *upstreamServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstreamServer{ln: ln, reserved: map[string]string{}, closed: map[string]int{}, closedBy: map[string]string{}}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *upstreamServer) serve(conn net.Conn) {
	defer conn.Close()
	fmt.Fprint(conn, "+HI {\"v\":2,\"s\":\"55104dc76695721d\",\"i\":1545}\r\n")
	r := bufio.NewReader(conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch verb {
		case "HELLO":
			var h hello
			if json.Unmarshal([]byte(rest), &h) != nil || h.Wid == "" || h.Hash != hashPassword("password", "55104dc76695721d", 1545) {
				fmt.Fprint(conn, "-ERR Invalid password\r\n")
				return
			}
			fmt.Fprint(conn, "+OK\r\n")
		case "FETCH":
			raw, ok := u.next()
			if !ok {
				time.Sleep(20 * time.Millisecond)
				fmt.Fprint(conn, "$-1\r\n")
				continue
			}
			fmt.Fprintf(conn, "$%d\r\n%s\r\n", len(raw), raw)
		case "ACK", "FAIL":
			if !u.close(verb, jidOf(rest)) {
				return
			}
			fmt.Fprint(conn, "+OK\r\n")
		case "BEAT":
			u.mu.Lock()
			u.heartbeats++
			u.mu.Unlock()
			fmt.Fprint(conn, "+OK\r\n")
		case "END":
			return
		default:
			fmt.Fprint(conn, "-ERR Unknown command\r\n")
		}
	}
}

func (u *upstreamServer) next() (string, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.queue) == 0 {
		return "", false
	}
	raw := u.queue[0]
	u.queue = u.queue[1:]
	u.reserved[jidOf(raw)] = raw
	return raw, true
}

// close records an ACK or FAIL; false: the connection breaks in place of an answer.
func (u *upstreamServer) close(verb, jid string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if jid == u.loseCloseOf {
		u.loseCloseOf = ""
		u.queue = append(u.queue, u.reserved[jid]) // its reservation expires
		return false
	}
	if u.reserved[jid] == "" {
		u.unmatchedCloses++
	} else {
		u.closed[jid]++
		u.closedBy[jid] = verb
		delete(u.reserved, jid)
	}
	if jid == u.loseAnswerTo {
		u.loseAnswerTo = ""
		return false
	}
	return true
}

// Jobs come from an upstream server and go to workers that fetch here. One ACK
// is lost before it arrives, and the answer to another after that. Every job is
// closed exactly once and runs exactly once.
func TestSourceClosesEveryJobOnce(t *testing.T) {
	u := startUpstream(t)
	const jobs = 24
	for i := range jobs {
		class := []string{"status-check", "renewal"}[i%2]
		u.queue = append(u.queue, fmt.Sprintf(`{"jid":"up-%06d","queue":%q,"jobtype":"x","args":[]}`, i, class))
	}
	u.queue = append(u.queue, `{"jid":"up-nobody","queue":"nonsense","jobtype":"x","args":[]}`)
	u.loseCloseOf, u.loseAnswerTo = "up-000003", "up-000005"
	addr, _ := openFront(t, serverConfig+fmt.Sprintf("[source]\naddress = %q\npassword = \"password\"\nlanes = 3\n", u.ln.Addr()), nil)
	var mu sync.Mutex
	ran := map[string]int{}
	for i := range 2 {
		w := dial(t, addr, hello{Wid: fmt.Sprintf("w%d", i)})
		go func() {
			for {
				raw := w.do("FETCH " + bothQueues)
				if strings.HasPrefix(raw, "broken") {
					return
				}
				if raw == "$-1" {
					continue
				}
				mu.Lock()
				ran[jidOf(raw)]++
				mu.Unlock()
				w.do(`ACK {"jid":"` + jidOf(raw) + `"}`)
			}
		}()
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		u.mu.Lock()
		over := len(u.closed) == jobs+1 && len(u.queue) == 0 && len(u.reserved) == 0
		u.mu.Unlock()
		if over {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("closed %v, reserved %v, ran %v", u.closed, u.reserved, ran)
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	for i := range jobs {
		jid := fmt.Sprintf("up-%06d", i)
		if u.closed[jid] != 1 || u.closedBy[jid] != "ACK" || ran[jid] != 1 {
			t.Errorf("%s: closed %d times, last by %s, ran %d times", jid, u.closed[jid], u.closedBy[jid], ran[jid])
		}
	}
	if u.closed["up-nobody"] != 1 || u.closedBy["up-nobody"] != "FAIL" || ran["up-nobody"] != 0 {
		t.Errorf("a job of no class: closed %d by %s", u.closed["up-nobody"], u.closedBy["up-nobody"])
	}
	if u.unmatchedCloses != 0 || u.heartbeats == 0 {
		t.Errorf("%d closes without a reservation, %d heartbeats", u.unmatchedCloses, u.heartbeats)
	}
}

// A non-idempotent job that may have run fails, and its redelivery is closed
// without running.
func TestSourceDoesNotRunARedeliveryAgain(t *testing.T) {
	u := startUpstream(t)
	raw := `{"jid":"up-redone","queue":"renewal","jobtype":"x","args":[]}`
	u.queue = []string{raw}
	addr, _ := openFront(t, serverConfig+fmt.Sprintf("[source]\naddress = %q\npassword = \"password\"\nlanes = 1\n", u.ln.Addr()), nil)
	w := dial(t, addr, hello{Wid: "w1"})
	if got := jidOf(w.fetch(bothQueues)); got != "up-redone" {
		t.Fatalf("fetched %q", got)
	}
	w.conn.Close() // its ACK is lost with it
	closings := func(n int) {
		for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
			u.mu.Lock()
			got, verdict := u.closed["up-redone"], u.closedBy["up-redone"]
			u.mu.Unlock()
			if got == n && verdict == "FAIL" {
				return
			}
			if got > n || time.Now().After(end) {
				t.Fatalf("closed %d times by %q, want %d by FAIL", got, verdict, n)
			}
		}
	}
	closings(1)
	w2 := dial(t, addr, hello{Wid: "w2"})
	u.mu.Lock()
	u.queue = append(u.queue, raw)
	u.mu.Unlock()
	if got := w2.do("FETCH " + bothQueues); got != "$-1" {
		t.Errorf("handed out again: %q", got)
	}
	closings(2)
}
