package soak

import (
	"fmt"
	"sync"
	"time"
)

// attempt is an attempt as its worker observed it.
type attempt struct {
	id        string // of its request
	class     string
	worker    string
	from      string // the address of the dispatcher's end of the connection
	arrivedAt time.Time
	timeLeft  time.Duration // according to the dispatcher
}

// String describes the attempt in a violation.
func (a attempt) String() string {
	return fmt.Sprintf("at %s, on the connection from %s", a.worker, a.from)
}

// request is a request as its client observed it.
type request struct {
	id           string
	class        string
	daemon       *daemon
	timeout      time.Duration
	sentAt       time.Time
	clientLeftAt time.Time // when its client closed the connection; zero: it did not
	kept         bool      // its connection had served a request before
	resent       bool      // it is the second try of one that may have crossed a close
	notConnected bool      // no connection could be opened for it
	closedAt     time.Time // when its connection was closed with no answer; zero: it was not
	status       int       // 0: no final answer
	answeredAt   time.Time
}

// clientLeft reports whether the client closed the connection without an answer.
func (r *request) clientLeft() bool { return !r.clientLeftAt.IsZero() }

// records are the observations of clients and workers. Their methods are safe for concurrent use.
// The fields are read without the lock once nothing is added any more.
type records struct {
	mutex      sync.Mutex
	requests   []request
	attempts   []attempt
	incomplete int // requests that were cut off on their way to a worker
}

func (r *records) addIncomplete() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.incomplete++
}

func (r *records) addAttempt(arrived attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.attempts = append(r.attempts, arrived)
}

func (r *records) addRequest(sent request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requests = append(r.requests, sent)
}
