package replay

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
)

const (
	deadlineSlack     = 50 * time.Millisecond // by which the timeout of a socket exceeds that of the client
	dialTimeout       = 2 * time.Second
	readAheadRequests = 4096 // entries that are read ahead
	maxBodyBytes      = 60 << 10
	warmConnections   = 48                     // connections that are opened before the first request
	startDelay        = 300 * time.Millisecond // until the replay's start, after the connections are opened
	duplicateWindow   = 200 * time.Millisecond // wait for further answers, at the end and on closing connections
)

// request is the request of an entry of the recording. Times are since the start of the replay.
type request struct {
	recording.Entry
	id        string
	path      string
	class     string
	retryable bool
	tally     *Tally        // of its class
	due       time.Duration // recorded time, at the replay's speed
	sendBegan time.Duration // when it was written or, with a new connection, when the opening of that began
	written   time.Duration // when it was first written
	retried   bool          // sent again on a new connection
	completed atomic.Bool   // its outcome is recorded
}

// replayer is the state of one replay. One goroutine sends the requests in order. If a request needs a
// new connection, a separate goroutine opens it and sends the request. Each connection has a goroutine
// that reads its answers.
type replayer struct {
	options    Options
	start      time.Time // set before the first request is sent
	recorder   *recorder
	pool       pool
	dialCount  atomic.Int64   // number of connections opened so far, which selects the next local address
	unfinished sync.WaitGroup // requests that were sent and have no outcome yet
}

func newReplayer(options Options, classes []*recordingpb.Class) *replayer {
	return &replayer{options: options, recorder: newRecorder(classes, options.LatencyObjectives)}
}

// readRequests reads the entries of the recording and sends their requests to the channel.
func (r *replayer) readRequests(ctx context.Context, reader *recording.Reader, requests chan<- *request) error {
	count := 0
	return reader.ForEach(func(entry *recording.Entry) error {
		next := r.newRequest(count, entry, reader.Header.Classes[entry.Class])
		count++
		select {
		case requests <- next:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
}

// newRequest creates the request of an entry. number is the entry's number in the recording.
func (r *replayer) newRequest(number int, entry *recording.Entry, class *recordingpb.Class) *request {
	path := "/" + class.Name
	if entry.Key != 0 {
		path += "/" + entry.KeyText()
	}
	return &request{
		Entry:     *entry,
		id:        ID(r.options.Seed, number),
		path:      path,
		class:     class.Name,
		retryable: class.Retryable,
		tally:     r.recorder.tally(class.Name),
		due:       time.Duration(float64(entry.Arrival) / r.options.Speed),
	}
}

// sendAll sends each request when it is due. It waits only for that time and for the channel.
func (r *replayer) sendAll(requests <-chan *request) {
	// The sender must run when a request is due, whatever else this process does. So it is locked
	// to its own thread, GOMAXPROCS is raised so that other goroutines do not occupy all processors
	// of the Go runtime, and the thread gets a higher priority if the system permits that.
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
		r.sendOrWithhold(next)
	}
}

// sendOrWithhold sends a request on an idle connection or a new one. It withholds the request if it must
// not be retried and the workers are not verified to be stand-ins.
func (r *replayer) sendOrWithhold(next *request) {
	next.sendBegan = time.Since(r.start)
	if !next.retryable && !r.isVerified() {
		r.recorder.addWithheld(next)
		return
	}
	if r.options.OnSend != nil {
		r.options.OnSend(Job{ID: next.id, Class: next.class, Retryable: next.retryable, Path: next.path, Entry: &next.Entry})
	}
	r.recorder.addSent(next)
	r.unfinished.Add(1)
	if idle := r.pool.take(); idle != nil {
		idle.send(next)
		return
	}
	go r.sendOnNewConnection(next)
}

// isVerified reports whether requests that must not be retried may be sent now.
func (r *replayer) isVerified() bool { return r.options.Verified != nil && r.options.Verified() }

// sleepUntil sleeps until the given time, as precisely as the system permits. It does not use Go's timers,
// which may be a millisecond late on an idle machine.
func sleepUntil(moment time.Time) {
	const spin = 60 * time.Microsecond // last part of the wait, in which the goroutine yields instead of sleeping
	for {
		left := time.Until(moment)
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

// openWarmConnections opens idle connections before the first request is sent. It ignores errors.
func (r *replayer) openWarmConnections() {
	var opening sync.WaitGroup
	for range warmConnections {
		opening.Go(func() {
			if opened, err := r.dial(); err == nil {
				r.pool.put(opened)
				go opened.readAnswers()
			}
		})
	}
	opening.Wait()
}

// dial opens a connection. For the Faktory front end it also performs the handshake.
func (r *replayer) dial() (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	if addresses := r.options.LocalAddresses; len(addresses) > 0 {
		turn := int(r.dialCount.Add(1)) % len(addresses)
		dialer.LocalAddr = &net.TCPAddr{IP: addresses[turn].AsSlice()}
	}
	conn, err := dialer.Dial("tcp", r.options.Target)
	if err != nil {
		return nil, err
	}
	opened := newConnection(r, conn)
	if r.options.Faktory {
		conn.SetDeadline(time.Now().Add(dialTimeout))
		if err := opened.handshake(r.options.Password); err != nil {
			conn.Close()
			return nil, err
		}
		conn.SetDeadline(time.Time{})
	}
	return opened, nil
}

// sendOnNewConnection opens a connection and sends a request on it.
func (r *replayer) sendOnNewConnection(next *request) {
	opened, err := r.dial()
	if err != nil {
		r.recorder.removeSent(next)
		r.complete(next, Unsent, Reason(err.Error()))
		return
	}
	opened.send(next)
	go opened.readAnswers()
}

// complete records the outcome of a request. Only the first call for a request has an effect.
func (r *replayer) complete(done *request, outcome Outcome, reason Reason) {
	if done.completed.Swap(true) {
		return
	}
	completed := r.recorder.addOutcome(done, outcome, reason, time.Since(r.start))
	if r.options.OnProgress != nil {
		r.options.OnProgress(completed)
	}
	r.unfinished.Done()
}
