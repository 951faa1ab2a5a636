package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/testkit"
)

// FuzzDrain checks client connections against a model of a drain. A byte is a step on one of four connections: open it,
// ask for health, send half a request or the rest of one; or on the front end: drain it, let the notice time pass, let
// the idle time pass, end the drain. Each complete request has its one response, which ends the connection where the
// model says so; /healthz says 503 during the drain; and only an idle connection may end without a response, after the
// idle time.
func FuzzDrain(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 1, 3, 5, 1, 8, 10, 11, 16, 17})
	f.Add([]byte{0, 2, 8, 9, 16, 18, 4, 5, 6, 3, 9, 19, 7, 24, 25, 26, 27})
	f.Add([]byte{4, 5, 0, 2, 6, 3, 8, 9, 7, 16, 17, 4, 6, 17, 7, 4, 4, 7, 7, 16, 17})
	rig := testkit.NewRig(f)
	frontEnd, addr := newEchoFrontEnd(f, rig, 64<<20, 200, alwaysReady)
	type client struct {
		net.Conn
		in   *bufio.Reader
		half string // what remains to be sent of the request that was begun
	}
	number := 0
	f.Fuzz(func(t *testing.T, steps []byte) {
		var clients [4]*client
		draining, closesAfterResponse, idleMayClose := false, false, false
		defer rig.Do(frontEnd.EndDrain)
		for i, step := range steps[:min(len(steps), 60)] {
			p := clients[step/8%4]
			exchange := func(text string, status int) {
				fmt.Fprint(p, text) // may fail if an idle connection has been closed
				got, err := http.ReadResponse(p.in, nil)
				if err != nil {
					if !idleMayClose {
						t.Fatalf("step %d of %v: no response: %v", i, steps, err)
					}
					clients[step/8%4] = nil
					return
				}
				io.Copy(io.Discard, got.Body)
				if got.StatusCode != status || got.Close != closesAfterResponse {
					t.Fatalf("step %d of %v: %d, ends: %v; want %d, %v", i, steps, got.StatusCode, got.Close, status, closesAfterResponse)
				}
				if closesAfterResponse {
					if _, err := p.in.ReadByte(); err != io.EOF {
						t.Fatalf("step %d of %v: behind the last response: %v", i, steps, err)
					}
					clients[step/8%4] = nil
				}
			}
			switch op := step % 8; {
			case op == 0 && p == nil:
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(testkit.Patience))
				clients[step/8%4] = &client{Conn: conn, in: bufio.NewReader(conn)}
			case op == 1 && p != nil && p.half == "":
				status := 200
				if draining {
					status = 503
				}
				exchange("GET /healthz HTTP/1.1\r\n\r\n", status)
			case op == 2 && p != nil && p.half == "":
				number++
				text := fmt.Sprintf("POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: drain%d\r\nContent-Length: 4\r\n\r\ndone", number)
				cut := 1 + number%(len(text)-1)
				fmt.Fprint(p, text[:cut])
				p.half = text[cut:]
			case op == 3 && p != nil && p.half != "":
				text := p.half
				p.half = ""
				exchange(text, 200)
			case op == 4:
				rig.Do(func() { frontEnd.Drain(); rig.Dispatcher.Loop.Clear(&frontEnd.drainTimer) }) // the drain goes on when a step says so
				draining = true
			case op == 5 && draining:
				rig.Do(func() { frontEnd.continueDrain(); rig.Dispatcher.Loop.Clear(&frontEnd.drainTimer) })
				closesAfterResponse = true
			case op == 6 && draining:
				rig.Do(func() {
					frontEnd.drainStartedAt -= drainIdleTime
					frontEnd.continueDrain()
					rig.Dispatcher.Loop.Clear(&frontEnd.drainTimer)
				})
				closesAfterResponse, idleMayClose = true, true
			case op == 7:
				rig.Do(frontEnd.EndDrain)
				draining, closesAfterResponse = false, false // a connection that was closed in the meantime stays closed
			}
		}
	})
}
