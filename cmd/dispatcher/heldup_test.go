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

// forwardedTimeLeft is the time left of a request as the dispatcher has sent it to a worker.
type forwardedTimeLeft struct {
	timeLeft   time.Duration
	receivedAt time.Time
}

// addTimeLeftRecorder adds a worker that serves each request and sends the time left that it has received to the
// channel.
func (d *testDaemon) addTimeLeftRecorder(name string) <-chan forwardedTimeLeft {
	forwarded := make(chan forwardedTimeLeft, 100)
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
			milliseconds, _ := strconv.Atoi(request.Header.Get("X-Time-Left-Ms")) // 0 without the header, which passes
			forwarded <- forwardedTimeLeft{timeLeft: time.Duration(milliseconds) * time.Millisecond, receivedAt: time.Now()}
			respondDone(request.Header.Get("X-Correlation-Id"), conn)
		}
	})
	return forwarded
}

// Guards against a worker that gets more time than its client has left: a process that was stopped for less than 0.5 s,
// or had nothing to do meanwhile, took requests that had arrived meanwhile for new ones, and sent some 0.3 s too much.
func TestStoppedProcessSendsRemainingTime(t *testing.T) {
	const (
		timeLeft  = 2 * time.Second
		stallTime = 300 * time.Millisecond
		slack     = 150 * time.Millisecond // allowed by the protocol
	)
	daemon := &testDaemon{t: t}
	forwarded := daemon.addTimeLeftRecorder("s-1")
	daemon.start()
	for round := range 5 {
		client := daemon.connect()
		daemon.signal(syscall.SIGSTOP)
		sentAt := time.Now()
		fmt.Fprintf(client, "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: held-%d\r\nX-Time-Left-Ms: %d\r\nContent-Length: 0\r\n\r\n",
			round, timeLeft.Milliseconds())
		time.Sleep(stallTime)
		daemon.signal(syscall.SIGCONT)
		got := <-forwarded
		excess := got.timeLeft - (timeLeft - got.receivedAt.Sub(sentAt))
		if excess > slack {
			t.Errorf("round %d: the worker got %v, %v more than the client has left", round, got.timeLeft, excess)
		}
		if status, _ := client.readResponse(t); status != http.StatusOK {
			t.Errorf("round %d: %d", round, status)
		}
	}
}
