package soak

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// Guards against violations that are the stand-in's own lateness: an attempt was dated when the worker read it, and on a
// busy machine that was up to 0.4 s after it had arrived.
func TestAttemptIsDatedByItsArrival(t *testing.T) {
	const readAfter = 300 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dispatcher, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(dispatcher, "POST /renewal/k HTTP/1.1\r\nHost: w\r\nX-Correlation-Id: late\r\nX-Time-Left-Ms: 1000\r\nContent-Length: 3\r\n\r\njob")
	sentAt := time.Now()
	time.Sleep(readAfter)
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	r := &run{}
	standIn := &worker{run: r, slots: make(chan struct{}, workerSlots), connections: map[net.Conn]bool{}}
	served := make(chan struct{})
	go func() {
		standIn.serve(conn, time.Now(), false)
		close(served)
	}()
	for r.records.attemptsOf("late") == 0 {
		time.Sleep(time.Millisecond)
	}
	dispatcher.Close()
	<-served
	arrived := r.records.attempts[0]
	if delay := arrived.arrivedAt.Sub(sentAt); delay > readAfter/2 || arrived.readAt.Sub(sentAt) < readAfter {
		t.Errorf("arrived %v after it was sent, read %v after it", delay, arrived.readAt.Sub(sentAt))
	}
}

// Guards against a repeat that is not seen because the worker of the first attempt read it last.
func TestAttemptsAreJudgedInTheirOrderOfArrival(t *testing.T) {
	r := &run{start: time.Now(), idPrefix: "id"}
	at := func(span time.Duration) time.Time { return r.start.Add(span) }
	r.records.attempts = []attempt{
		{id: "id", class: classTransfer, worker: "read first", arrivedAt: at(3 * time.Second)},
		{id: "id", class: classTransfer, worker: "read last", arrivedAt: at(time.Second)},
	}
	r.checkRules()
	if first := r.records.attempts[0].worker; first != "read last" {
		t.Errorf("the attempt %q is judged first", first)
	}
}
