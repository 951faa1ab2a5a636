package soak

import (
	"fmt"
	"sync"
	"time"
)

// attempt is an attempt, as its worker observed it.
type attempt struct {
	id            string // ID of the request
	class         string
	worker        string
	remoteAddress string        // address of the dispatcher's end of the connection
	connection    int           // number of the connection at the worker
	acceptedAt    time.Time     // when the worker accepted the connection
	arrivedAt     time.Time     // when the kernel had received all of it
	readAt        time.Time     // when the worker had read all of it
	timeLeft      time.Duration // time that the client has left, according to the dispatcher
	neverRan      bool          // the worker rejected the attempt, or returned it without starting it
	readLate      bool          // the worker read the attempt late, so that it may have arrived before arrivedAt
}

// String describes where the attempt arrived. Descriptions of violations contain it.
func (a attempt) String() string {
	return fmt.Sprintf("at %s, on its connection %d from %s", a.worker, a.connection, a.remoteAddress)
}

// times describes when the attempt arrived, by the clock of the dispatchers' logs.
func (a attempt) times() string {
	return fmt.Sprintf("connection accepted %s, arrived %s, read %s",
		logTime(a.acceptedAt), logTime(a.arrivedAt), logTime(a.readAt))
}

// times describes when the request was sent, by the clock of the dispatchers' logs.
func (r *request) times() string {
	return fmt.Sprintf("sent from %s to %s on a connection of %s, port %d, %d segments sent again",
		logTime(r.sentAt), logTime(r.writtenAt), logTime(r.connectedAt), r.localPort, r.retransmits)
}

// logTime formats a time as the dispatchers' logs do.
func logTime(at time.Time) string { return at.UTC().Format("15:04:05.000") }

// request is a request, as its client observed it.
type request struct {
	id               string
	class            string
	daemon           *daemon
	timeout          time.Duration
	key              int       // number of the key in its path
	idempotencyKey   string    // with which it is sent, or empty
	largeBody        bool      // its body has largeBodyBytes
	extraBytes       int       // number of bytes that the client writes after the request
	connectedAt      time.Time // when the connection was opened
	localPort        int       // port of the client's end of the connection
	sentAt           time.Time // when the client began to write the request
	writtenAt        time.Time // when the kernel had taken all of it
	retransmits      int       // segments of the connection that the kernel had sent again when the client was done
	clientLeftAt     time.Time // when the client closed the connection; zero if it did not
	reusedConnection bool      // an earlier request on the connection was answered
	resent           bool      // it repeats a request whose connection was closed without an answer
	notConnected     bool      // no connection could be opened for the request
	closedAt         time.Time // when the dispatcher closed the connection without an answer; zero if it did not
	closeError       error     // what reading the answer then returned
	status           int       // status of the final answer, or 0 if there was none
	answeredAt       time.Time
}

// timeRunsFrom returns when the client's time begins: at the last byte of its request.
func (r *request) timeRunsFrom() time.Time {
	if r.writtenAt.After(r.sentAt) {
		return r.writtenAt
	}
	return r.sentAt
}

// clientLeft reports whether the client closed the connection without an answer.
func (r *request) clientLeft() bool { return !r.clientLeftAt.IsZero() }

// records holds the observations of clients and workers. Its methods are safe for concurrent use.
// The rules read its fields under the lock, after all clients and faults have ended.
type records struct {
	mutex      sync.Mutex
	requests   []request
	attempts   []attempt
	incomplete int // number of attempts that broke off before a worker had received them completely

	attemptCounts    map[string]int // by request ID, number of attempts that arrived at workers
	inFlight         int            // number of attempts that workers handle now
	faultCount       int            // number of faults so far, including those of single attempts
	inFlightAtFaults int            // sum over all faults of inFlight at the time of the fault
	harnessErrors    []string       // faults that the stand-ins could not inject
}

// attemptsOf returns how many attempts of a request have arrived at workers.
func (r *records) attemptsOf(id string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.attemptCounts[id]
}

// endAttempt records that a worker has finished an attempt.
func (r *records) endAttempt() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.inFlight--
}

// recordFault records that a fault is injected now.
func (r *records) recordFault() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faultCount++
	r.inFlightAtFaults += r.inFlight
}

// addHarnessError records that a stand-in could not inject a fault of the schedule.
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
