package replay

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
)

const (
	deadlineSlack      = 50 * time.Millisecond // that every timeout is longer on sockets
	dialTimeout        = 2 * time.Second
	readAhead          = 4096 // entries that are read before they are due
	maxBodyBytes       = 60 << 10
	maxIdleConnections = 4096
	warmConnections    = 48                     // that are opened before the first entry
	startDelay         = 300 * time.Millisecond // before the first entry
	duplicateWindow    = 200 * time.Millisecond // in which a second answer is still detected
)

// request is an entry that is being sent.
type request struct {
	recording.Entry
	id         string
	path       string
	class      string
	retryable  bool
	tally      *Tally
	due        time.Duration // since the start
	dispatched time.Duration // when it was written, or a connection for it was begun
	written    time.Duration
	retried    bool        // sent again on a new connection
	completed  atomic.Bool // its outcome is recorded
}

// replayer is one run.
type replayer struct {
	Options
	start  time.Time
	opened atomic.Int64 // connections
	// inFlight counts the entries without an outcome.
	inFlight sync.WaitGroup

	mu             sync.Mutex // for idle, and for all that is recorded
	idle           []*connection
	result         *Result
	series         *series
	idsHash        uint64 // of the ids that were sent, whatever their order
	completedCount int
}

func newReplayer(options Options, classes []*recordingpb.Class) *replayer {
	r := &replayer{Options: options, series: newSeries()}
	r.result = &Result{Classes: map[string]*Tally{}, Rejections: map[string]int{}, Failures: map[string]int{}}
	for _, class := range classes {
		r.result.Classes[class.Name] = &Tally{intended: newHistogram(), actual: newHistogram()}
	}
	return r
}

// readRequests reads the recording's entries into the channel.
func (r *replayer) readRequests(ctx context.Context, reader *recording.Reader, requests chan<- *request) error {
	n := 0
	return reader.ForEach(func(entry *recording.Entry) error {
		class := reader.Header.Classes[entry.Class]
		path := "/" + class.Name
		if entry.Key != 0 {
			path += "/" + entry.KeyText()
		}
		next := &request{
			Entry:     *entry,
			id:        ID(r.Seed, n),
			path:      path,
			class:     class.Name,
			retryable: class.Retryable,
			tally:     r.result.Classes[class.Name],
			due:       time.Duration(float64(entry.Arrival) / r.Speed),
		}
		n++
		select {
		case requests <- next:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
}

// sendAll sends each request when it is due, and waits for nothing else.
func (r *replayer) sendAll(requests <-chan *request) {
	// The sender must run when a request is due, whatever else this process does: it gets a
	// thread and a processor of the Go runtime of its own, and, where the system permits,
	// precedence over other threads.
	const (
		processorFactor = 4
		senderNice      = -15
	)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(processorFactor * runtime.NumCPU()))
	if unix.Setpriority(unix.PRIO_PROCESS, unix.Gettid(), senderNice) == nil {
		defer unix.Setpriority(unix.PRIO_PROCESS, unix.Gettid(), 0)
	}
	for next := range requests {
		sleepUntil(r.start.Add(next.due))
		r.dispatch(next)
	}
}

// dispatch sends a request on an idle connection or a new one, or withholds it.
func (r *replayer) dispatch(next *request) {
	next.dispatched = time.Since(r.start)
	if !next.retryable && (r.Verified == nil || !r.Verified()) {
		r.mu.Lock()
		next.tally.Withheld++
		r.mu.Unlock()
		return
	}
	if r.OnSend != nil {
		r.OnSend(next.id, next.class, next.retryable, next.path, &next.Entry)
	}
	r.mu.Lock()
	next.tally.Sent++
	r.idsHash ^= xxhash.Sum64String(next.id)
	var idle *connection
	if n := len(r.idle); n > 0 {
		idle = r.idle[n-1]
		r.idle = r.idle[:n-1]
	}
	r.mu.Unlock()
	r.inFlight.Add(1)
	if idle != nil {
		idle.send(next)
	} else {
		go r.sendOnNewConnection(next)
	}
}

// sleepUntil sleeps as precisely as the system can; Go's timers may be a millisecond late on an
// idle machine.
func sleepUntil(t time.Time) {
	const spin = 60 * time.Microsecond // that are spent yielding
	for {
		left := time.Until(t)
		switch {
		case left <= 0:
			return
		case left > spin:
			timespec := unix.NsecToTimespec(int64(left - spin))
			unix.Nanosleep(&timespec, nil)
		default:
			runtime.Gosched()
		}
	}
}

// openWarmConnections opens some connections before the first entry.
func (r *replayer) openWarmConnections() {
	var opening sync.WaitGroup
	for range warmConnections {
		opening.Add(1)
		go func() {
			defer opening.Done()
			if c, err := r.dial(); err == nil {
				r.release(c)
				go c.readAnswers()
			}
		}()
	}
	opening.Wait()
}

// dial opens a connection and, for the Faktory front end, logs in.
func (r *replayer) dial() (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	if n := len(r.LocalAddresses); n > 0 {
		dialer.LocalAddr = &net.TCPAddr{IP: r.LocalAddresses[int(r.opened.Add(1))%n].AsSlice()}
	}
	conn, err := dialer.Dial("tcp", r.Target)
	if err != nil {
		return nil, err
	}
	c := newConnection(r, conn)
	if r.Faktory {
		conn.SetDeadline(time.Now().Add(dialTimeout))
		if err := c.handshake(r.Password); err != nil {
			conn.Close()
			return nil, err
		}
		conn.SetDeadline(time.Time{})
	}
	return c, nil
}

// sendOnNewConnection opens a connection and sends a request on it.
func (r *replayer) sendOnNewConnection(next *request) {
	c, err := r.dial()
	if err != nil {
		r.mu.Lock()
		next.tally.Sent--
		r.idsHash ^= xxhash.Sum64String(next.id)
		r.mu.Unlock()
		r.complete(next, Unsent, Reason(err.Error()))
		return
	}
	c.send(next)
	go c.readAnswers()
}

// release makes a connection idle.
func (r *replayer) release(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.idle) >= maxIdleConnections {
		c.conn.Close()
		return
	}
	r.idle = append(r.idle, c)
}

// removeIdle removes a connection that has ended from the idle ones.
func (r *replayer) removeIdle(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.idle {
		if other == c {
			r.idle = append(r.idle[:i], r.idle[i+1:]...)
			return
		}
	}
}

// complete records the outcome of a request; only its first call has an effect.
func (r *replayer) complete(done *request, outcome Outcome, reason Reason) {
	if done.completed.Swap(true) {
		return
	}
	now := time.Since(r.start)
	r.mu.Lock()
	r.recordOutcome(done, outcome, reason, now)
	r.completedCount++
	completed := r.completedCount
	r.mu.Unlock()
	if r.OnProgress != nil {
		r.OnProgress(completed)
	}
	r.inFlight.Done()
}

// recordOutcome records an outcome at a time since the start. The caller holds the lock.
func (r *replayer) recordOutcome(done *request, outcome Outcome, reason Reason, now time.Duration) {
	tally := done.tally
	second := r.series.second(now)
	switch outcome {
	case Served:
		tally.Served++
		second.Served++
		r.recordLatency(done, now)
	case Rejected:
		tally.Rejected++
		second.Rejected++
		countReason(r.result.Rejections, done.class, reason)
	case Failed:
		tally.Failed++
		second.Failed++
		countReason(r.result.Failures, done.class, reason)
	case Lost:
		tally.Lost++
		second.Lost++
		countReason(r.result.Failures, done.class, reason)
	case Unsent:
		tally.Unsent++
		countReason(r.result.Failures, done.class, reasonUnsent)
	}
	if outcome != Unsent {
		r.series.addWritten(done.due, done.written)
	}
	r.series.add(done.due, done.dispatched)
}

// recordLatency records the latency of a served request. The caller holds the lock.
func (r *replayer) recordLatency(served *request, now time.Duration) {
	latency := now - served.due
	if objective := r.LatencyObjectives[served.class]; objective == 0 || latency <= objective {
		served.tally.WithinObjective++
	}
	served.tally.intended.RecordValue(max(latency.Microseconds(), 1))
	served.tally.actual.RecordValue(max((now - served.written).Microseconds(), 1))
	due := r.series.second(served.due)
	due.latency = append(due.latency, latency.Microseconds())
	r.result.ServedIDs = append(r.result.ServedIDs, served.id)
}

// finish closes the idle connections and completes the result.
func (r *replayer) finish() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.idle {
		c.conn.Close()
	}
	result := r.result
	for _, tally := range result.Classes {
		tally.Intended = quantiles(tally.intended)
		tally.Actual = quantiles(tally.actual)
	}
	result.IDsHash = fmt.Sprintf("%016x", r.idsHash)
	result.Seconds = r.series.finish(&result.Fidelity)
	result.SpanSeconds = float64(len(result.Seconds))
	return result
}
