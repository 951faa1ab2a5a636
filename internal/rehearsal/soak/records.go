package soak

import (
	"fmt"
	"sync"
	"time"
)

// attempt is an attempt as its worker observed it.
type attempt struct {
	id         string // of its request
	class      string
	worker     string
	from       string // the address of the dispatcher's end of the connection
	connection int    // its number at the worker
	arrivedAt  time.Time
	timeLeft   time.Duration // according to the dispatcher
	neverRan   bool          // the worker refuses it, or hands it back unstarted
	stalled    bool          // the worker read it late, so that it may have arrived before arrivedAt
}

// String describes the attempt in a violation.
func (a attempt) String() string {
	return fmt.Sprintf("at %s, on its connection %d from %s", a.worker, a.connection, a.from)
}

// request is a request as its client observed it.
type request struct {
	id           string
	class        string
	daemon       *daemon
	timeout      time.Duration
	key          int  // what it concerns
	largeBody    bool // its body does not fit a small buffer
	extraBytes   int  // that its client writes behind it
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

	attemptCounts map[string]int // by request
	inFlight      int            // attempts at workers now
	strikes       int            // faults, of requests too
	struck        int            // attempts that were in flight when a fault came, over all faults
	harnessErrors []string       // why the run itself is not what it should be
}

// attemptsOf returns how many attempts of a request have come to workers.
func (r *records) attemptsOf(id string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.attemptCounts[id]
}

// endAttempt records that a worker has done with an attempt.
func (r *records) endAttempt() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.inFlight--
}

// strike records that a fault comes.
func (r *records) strike() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.strikes++
	r.struck += r.inFlight
}

// addHarnessError records that a stand-in could not do what the schedule wants.
func (r *records) addHarnessError(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.harnessErrors = append(r.harnessErrors, err.Error())
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
	if r.attemptCounts == nil {
		r.attemptCounts = map[string]int{}
	}
	r.attemptCounts[arrived.id]++
	r.inFlight++
}

func (r *records) addRequest(sent request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requests = append(r.requests, sent)
}
