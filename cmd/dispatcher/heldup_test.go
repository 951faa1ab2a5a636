package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// toldTime is what a worker was told of a request, and when.
type toldTime struct {
	left time.Duration
	at   time.Time
}

// addTimekeeper adds a worker that serves each request and passes on what it was told of its time.
func (d *testDaemon) addTimekeeper(name string) <-chan toldTime {
	told := make(chan toldTime, 100)
	worker := &testWorker{name: name, listener: listenLocal(d.t)}
	d.workers = append(d.workers, worker)
	go acceptConnections(worker.listener, func(conn net.Conn) {
		defer conn.Close()
		input := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(input)
			if err != nil {
				return
			}
			milliseconds, _ := strconv.Atoi(request.Header.Get("X-Time-Left-Ms")) // none: 0, which is no excess
			told <- toldTime{left: time.Duration(milliseconds) * time.Millisecond, at: time.Now()}
			respondDone(request.Header.Get("X-Correlation-Id"), conn)
		}
	})
	return told
}

// Guards against a worker that is told more time than its client has left: a process that was held up for less than 0.5 s,
// or had nothing to do meanwhile, took what it found for new, and told some 0.3 s too much.
func TestHeldUpProcessTellsTheTimeThatIsLeft(t *testing.T) {
	const (
		timeLeft = 2 * time.Second
		held     = 300 * time.Millisecond
		slack    = 150 * time.Millisecond // of the protocol page
	)
	daemon := &testDaemon{t: t}
	told := daemon.addTimekeeper("s-1")
	daemon.start()
	for round := range 5 {
		client := daemon.connect()
		daemon.signal(syscall.SIGSTOP)
		sentAt := time.Now()
		fmt.Fprintf(client, "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: held-%d\r\nX-Time-Left-Ms: %d\r\nContent-Length: 0\r\n\r\n",
			round, timeLeft.Milliseconds())
		time.Sleep(held)
		daemon.signal(syscall.SIGCONT)
		got := <-told
		excess := got.left - (timeLeft - got.at.Sub(sentAt))
		if excess > slack {
			t.Errorf("round %d: told %v, %v more than the client has left", round, got.left, excess)
		}
		if status, _ := client.readResponse(t); status != http.StatusOK {
			t.Errorf("round %d: %d", round, status)
		}
	}
}
