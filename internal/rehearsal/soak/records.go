package soak

import (
	"sync"
	"time"
)

// attempt is an attempt as its worker observed it.
type attempt struct {
	id       string
	class    string
	worker   string
	arrived  time.Time
	timeLeft time.Duration // according to the dispatcher
}

// request is a request as its client observed it.
type request struct {
	id         string
	class      string
	daemon     *daemon
	sent       time.Time
	timeout    time.Duration
	clientLeft time.Time // when its client closed the connection; zero: it did not
	status     int       // 0: no final answer
	answered   time.Time
}

// records are the observations of clients and workers. They are safe for concurrent use while
// they are added to.
type records struct {
	mu         sync.Mutex
	requests   []request
	attempts   []attempt
	incomplete int // requests that were cut off on their way to a worker
}

func (r *records) addIncomplete() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incomplete++
}

func (r *records) addAttempt(a attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

func (r *records) addRequest(q request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}
