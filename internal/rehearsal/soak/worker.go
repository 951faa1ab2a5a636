package soak

import (
	"cmp"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
)

const (
	workerSlots = 6 // number of jobs that a worker runs at a time
	workerQueue = 8 // number of jobs that can wait for a slot at a worker

	receiveBufferBytes = 4 << 10
)

// worker is the stand-in for a worker. It executes requests even while it is listed as draining or gone. The records
// are checked later for whether the dispatcher was allowed to send them. A worker is safe for concurrent use.
type worker struct {
	claim
	name    string
	address string
	run     *run

	slots chan struct{} // contains a value for each running job

	mutex         sync.Mutex
	listener      net.Listener // nil while the worker refuses connections
	connections   map[net.Conn]bool
	accepted      int           // number of connections accepted so far
	waiting       int           // number of jobs that wait for a slot
	draining      bool          // whether the worker answers health checks with 503
	hangsUntil    time.Time     // the worker answers nothing before this time
	acceptAllowed chan struct{} // closed while accepting connections is not suspended
	resumedAt     time.Time     // end of the last suspension
}

func (r *run) startWorker(name string) (*worker, error) {
	address, err := childprocess.FreeAddress()
	if err != nil {
		return nil, err
	}
	w := &worker{
		name:          name,
		address:       address,
		run:           r,
		slots:         make(chan struct{}, workerSlots),
		connections:   map[net.Conn]bool{},
		acceptAllowed: make(chan struct{}),
	}
	close(w.acceptAllowed)
	return w, w.listen()
}

// listen begins to accept connections.
func (w *worker) listen() error {
	config := net.ListenConfig{Control: prepareListener}
	listener, err := config.Listen(context.Background(), "tcp", w.address)
	if err != nil {
		return err
	}
	w.mutex.Lock()
	w.listener = listener
	w.mutex.Unlock()
	go w.acceptConnections(listener)
	return nil
}

// prepareListener sets a small receive buffer for the connections of a listener, so that the dispatcher can send only a
// part of a large request while the worker does not read, and makes the kernel report when it received their data.
func prepareListener(_, _ string, raw syscall.RawConn) error {
	var sizeErr, timestampErr error
	err := raw.Control(func(fd uintptr) {
		sizeErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		timestampErr = timestampReceives(fd)
	})
	return cmp.Or(err, sizeErr, timestampErr)
}

// acceptConnections accepts and serves connections until the listener is closed. While accepting is suspended, it
// serves no further connections.
func (w *worker) acceptConnections(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mutex.Lock()
		acceptAllowed := w.acceptAllowed
		w.mutex.Unlock()
		<-acceptAllowed
		go w.serve(conn, time.Now(), w.mayHaveWaited())
	}
}

func (w *worker) close() {
	w.stopListening()
	w.reset()
}

// stopListening closes the listener, so that connections are refused.
func (w *worker) stopListening() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.listener != nil {
		w.listener.Close()
		w.listener = nil
	}
}

// reset closes all connections by a TCP reset.
func (w *worker) reset() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for conn := range w.connections {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// refuse stops listening for the given time, so that connections are refused.
func (w *worker) refuse(duration time.Duration) error {
	w.stopListening()
	time.Sleep(duration)
	return w.listen()
}

const (
	noBacklog      = 0
	defaultBacklog = 4096

	maxFillers    = 8 // maximum number of connections that are opened to fill a listener's queue
	fillerTimeout = 50 * time.Millisecond

	// queuedAcceptTime is longer than it takes to accept the connections that wait in a listener's queue.
	queuedAcceptTime = 200 * time.Millisecond
)

// suspendAccept fills the listener's queue, so that the kernel does not answer attempts to connect until resume is
// called. An attempt that begins in the meantime succeeds when the peer's kernel repeats it, 1 s after the first try.
func (w *worker) suspendAccept() (resume func()) {
	acceptAllowed := make(chan struct{})
	w.mutex.Lock()
	w.acceptAllowed = acceptAllowed
	w.setBacklog(noBacklog)
	w.mutex.Unlock()
	var fillers []net.Conn
	for range maxFillers {
		filler, err := net.DialTimeout("tcp", w.address, fillerTimeout)
		if err != nil {
			break // the queue is full
		}
		fillers = append(fillers, filler)
	}
	return func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.setBacklog(defaultBacklog)
		for _, filler := range fillers {
			filler.Close()
		}
		w.resumedAt = time.Now()
		close(acceptAllowed)
	}
}

// setBacklog sets how many connections can wait in the kernel to be accepted. The caller must hold the mutex.
func (w *worker) setBacklog(backlog int) {
	if w.listener == nil {
		return
	}
	raw, err := w.listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), backlog) })
	}
}

// setDraining sets whether the worker answers health checks with 503.
func (w *worker) setDraining(draining bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.draining = draining
}

// hang delays all answers until the duration has passed.
func (w *worker) hang(duration time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.hangsUntil = time.Now().Add(duration)
}

// state returns whether the worker is draining, and for how long it does not answer. If it answers now, hang is zero or
// negative.
func (w *worker) state() (draining bool, hang time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.draining, time.Until(w.hangsUntil)
}

// mayHaveWaited reports whether a connection that is accepted now may have waited in the queue since before the end of
// a suspension.
func (w *worker) mayHaveWaited() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return time.Since(w.resumedAt) < queuedAcceptTime
}

// addConnection registers a connection and returns its number.
func (w *worker) addConnection(conn net.Conn) (number int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.connections[conn] = true
	w.accepted++
	return w.accepted
}

func (w *worker) removeConnection(conn net.Conn) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.connections, conn)
}

// admit counts a job as waiting for a slot. It returns false if workerQueue jobs are waiting already.
func (w *worker) admit() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.waiting >= workerQueue {
		return false
	}
	w.waiting++
	return true
}

// stopWaiting counts a job as no longer waiting.
func (w *worker) stopWaiting() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.waiting--
}

// load returns the number of jobs that run and of jobs that wait for a slot.
func (w *worker) load() (running, waiting int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.slots), w.waiting
}
