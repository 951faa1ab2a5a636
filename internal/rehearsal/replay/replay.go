// Package replay sends a recording to a dispatcher, open loop: each entry at
// its recorded moment whatever becomes of those before. Latency is counted from
// that moment. It owns the sending side's connections and what is booked of
// each entry. It must never let a send wait for an answer or for a connection,
// nor send a job that may run once only without a proof that a stand-in gets it.
package replay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
)

// Options says where and how a recording is sent.
type Options struct {
	Target       string  // host:port on a loopback address
	Faktory  bool    // by the Faktory front; else by the platform's
	Password string  // of the Faktory front
	Seed     uint64  // of the ids; the same seed sends the same ids
	Speed    float64 // of the time; default 1

	// LatencyObjectives is how soon a class's answers are wanted, by its name; counted only.
	LatencyObjectives map[string]time.Duration
	// LocalAddresses are loopback addresses that connections are opened from, in turn; none: any.
	LocalAddresses []netip.Addr

	// Verified tells at each send whether a job that must not run twice may be
	// sent. nil: none is, and nothing overrides that.
	Verified func() bool
	// OnSend is told of each job before it is sent; may be nil.
	OnSend func(id, class string, retryable bool, path string, e *recording.Entry)
	// OnProgress is told how many entries are through; may be nil.
	OnProgress func(n int)
}

// Outcome is what became of an entry that was sent.
type Outcome uint8

// The outcomeCount. Lost: no final answer before the client gave up.
const (
	Served Outcome = iota
	Rejected
	Failed
	Lost
	Unsent
	outcomeCount
)

// Tally tells what became of the entries of a class.
type Tally struct {
	Sent     int `json:"sent"`
	Served   int `json:"served"`
	Rejected  int `json:"refused"`
	Failed   int `json:"failed"`
	Lost     int `json:"lost"`          // no final answer before the client gave up
	DuplicateAnswers    int `json:"twice"`         // more than one answer
	Withheld int `json:"withheld"`      // may run once only, and no proof that a stand-in would get it
	Unsent   int `json:"unsent"`        // no connection could be had
	WithinObjective   int `json:"within_wanted"` // served within Options.Wanted of the intended moment
	Retried   int `json:"resent"`        // once more on a new connection, as the kept one was closing

	// Latency of the served, µs: from the intended moment, and from the actual one.
	Intended Quantiles `json:"latency_us"`
	Actual   Quantiles `json:"latency_from_send_us"`

	intended, actual *hdrhistogram.Histogram
}

// Quantiles of a histogram, µs.
type Quantiles struct {
	P50  int64 `json:"p50"`
	P90  int64 `json:"p90"`
	P99  int64 `json:"p99"`
	P999 int64 `json:"p999"`
	Max  int64 `json:"max"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9), h.Max()}
}

// Second tells of one second of the run.
type Second struct {
	Recorded int   `json:"recorded"` // arrivals that the recording has in it, without those withheld
	Replayed int   `json:"replayed"` // that were sent in it
	Served   int   `json:"served"`   // by when the answer came
	Rejected  int   `json:"refused"`
	Failed   int   `json:"failed"`
	Lost     int   `json:"lost"`
	P99Us    int64 `json:"p99_us"` // of the served that were due in it

	latency []int64
}

// Result tells of a replay.
type Result struct {
	Classes  map[string]*Tally `json:"classes"`
	Fidelity Fidelity          `json:"fidelity"`
	Seconds  []*Second         `json:"seconds"`
	Rejections map[string]int    `json:"refusals"` // what was refused, by the dispatcher's words
	Failures map[string]int    `json:"failures"`
	StrayAnswers    int               `json:"stray"`  // answers to nothing at all
	IDsHash   string            `json:"booked"` // a hash of the set of ids that were sent
	SpanSeconds     float64           `json:"span_s"`

	ServedIDs []string `json:"-"`
}

// Violated tells whether a rule was broken: each entry sent has one final answer, in time.
func (r *Result) Violated() bool {
	for _, t := range r.Classes {
		if t.Lost > 0 || t.DuplicateAnswers > 0 {
			return true
		}
	}
	return r.StrayAnswers > 0
}

// Sum adds up over the classes.
func (r *Result) Sum(of func(*Tally) int) (n int) {
	for _, t := range r.Classes {
		n += of(t)
	}
	return n
}

const (
	deadlineSlack     = 50 * time.Millisecond // that every time limit is longer on sockets
	dialTimeout  = 2 * time.Second
	readAhead     = 4096 // entries that are read before their time
	maxBodyBytes  = 60 << 10
	maxIdleConnections  = 4096
	startDelay = 300 * time.Millisecond // before the first entry, for the first connections
	warmConnections      = 48                     // connections that are opened before it
	duplicateWindow    = 200 * time.Millisecond // in which a second answer would still be seen
	maxReasons = 32
)

// request is an entry on its way.
type request struct {
	recording.Entry
	id     string
	path   string
	class  string
	tally  *Tally
	due    time.Duration // since the start
	dispatched  time.Duration // when its turn came: it was written then, or a connection was begun for it
	written   time.Duration // when it was written
	retried  bool
	completed atomic.Bool // it has its fate
}

type replayer struct {
	Options
	start  time.Time
	opened atomic.Int64 // connections

	mu     sync.Mutex // idle, and all that is booked
	idle   []*connection
	result *Result
	series *series
	idsHash    uint64
	inFlight   sync.WaitGroup
	completedCount   int
}

// Run sends a recording and returns what became of it. It takes as long as the
// recording, and the longest wait of its last clients. A canceled context ends
// the sending.
func Run(ctx context.Context, r *recording.Reader, o Options) (*Result, error) {
	if err := CheckLoopback(o.Target); err != nil {
		return nil, err
	}
	if o.Speed == 0 {
		o.Speed = 1
	}
	if !(o.Speed >= 0.001 && o.Speed <= 1000) {
		return nil, fmt.Errorf("speed: %g is not between 0.001 and 1000", o.Speed)
	}
	p := &replayer{Options: o, series: newSeries()}
	p.result = &Result{Classes: map[string]*Tally{}, Rejections: map[string]int{}, Failures: map[string]int{}}
	for _, c := range r.Header.Classes {
		p.result.Classes[c.Name] = &Tally{intended: hdrhistogram.New(1, 3_600_000_000, 3), actual: hdrhistogram.New(1, 3_600_000_000, 3)}
	}
	shots := make(chan *request, readAhead)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var readErr error
	go func() { // unpacking is not to delay a send
		defer close(shots)
		n := 0
		readErr = r.ForEach(func(e *recording.Entry) error {
			class := r.Header.Classes[e.Class]
			s := &request{Entry: *e, class: class.Name, tally: p.result.Classes[class.Name], due: time.Duration(float64(e.Arrival) / o.Speed)}
			s.id = ID(o.Seed, n)
			if s.path = "/" + class.Name; e.Key != 0 {
				s.path += "/" + e.KeyText()
			}
			n++
			select {
			case shots <- s:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	p.openWarmConnections()
	p.start = time.Now().Add(startDelay)
	p.send(shots, func(s *request) bool { return r.Header.Classes[s.Class].Retryable })
	cancelled := readErr != nil && errors.Is(readErr, context.Canceled)
	if readErr != nil && !cancelled {
		p.inFlight.Wait()
		return nil, readErr
	}
	p.inFlight.Wait()
	time.Sleep(duplicateWindow)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle {
		l.conn.Close()
	}
	p.finish()
	if cancelled {
		return p.result, context.Canceled
	}
	return p.result, nil
}

// ID is the n-th id of a seed, in the form that clients use: 16 hexadecimal digits.
func ID(seed uint64, n int) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("hollyyoke rehearsal %d %d", seed, n)))
}

// CheckLoopback checks that an address is a loopback one.
func CheckLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is no host:port", addr)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%s is not a loopback address", host)
	}
	return nil
}

// send is the one sender: it waits for each entry's moment and for nothing else.
func (p *replayer) send(shots <-chan *request, retryable func(*request) bool) {
	// The sender must run when its time has come, whatever else this process has to
	// do: it finds a processor of the run time's free, and where the system lets us,
	// it goes before other threads.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(4 * runtime.NumCPU()))
	if unix.Setpriority(unix.PRIO_PROCESS, unix.Gettid(), -15) == nil {
		defer unix.Setpriority(unix.PRIO_PROCESS, unix.Gettid(), 0)
	}
	for s := range shots {
		sleepUntil(p.start.Add(s.due))
		s.dispatched = time.Since(p.start)
		may := retryable(s)
		if !may && (p.Verified == nil || !p.Verified()) {
			p.mu.Lock()
			s.tally.Withheld++
			p.mu.Unlock()
			continue
		}
		if p.OnSend != nil {
			p.OnSend(s.id, s.class, may, s.path, &s.Entry)
		}
		p.mu.Lock()
		s.tally.Sent++
		p.idsHash ^= xxhash.Sum64String(s.id)
		var l *connection
		if n := len(p.idle); n > 0 {
			l, p.idle = p.idle[n-1], p.idle[:n-1]
		}
		p.mu.Unlock()
		p.inFlight.Add(1)
		if l != nil {
			l.send(s)
		} else {
			go p.sendOnNewConnection(s)
		}
	}
}

// sleepUntil sleeps as exactly as the system can; Go's own timers may be a
// millisecond late on an idle machine.
func sleepUntil(t time.Time) {
	const spin = 60 * time.Microsecond
	for {
		left := time.Until(t)
		switch {
		case left <= 0:
			return
		case left > spin:
			ts := unix.NsecToTimespec(int64(left - spin))
			unix.Nanosleep(&ts, nil)
		default:
			runtime.Gosched()
		}
	}
}

// openWarmConnections opens some connections before the first entry.
func (p *replayer) openWarmConnections() {
	var open sync.WaitGroup
	for range warmConnections {
		open.Add(1)
		go func() {
			defer open.Done()
			if l, err := p.dial(); err == nil {
				p.release(l)
				go l.readAnswers()
			}
		}()
	}
	open.Wait()
}

func (p *replayer) dial() (*connection, error) {
	d := net.Dialer{Timeout: dialTimeout}
	if n := len(p.LocalAddresses); n > 0 {
		d.LocalAddr = &net.TCPAddr{IP: p.LocalAddresses[int(p.opened.Add(1))%n].AsSlice()}
	}
	conn, err := d.Dial("tcp", p.Target)
	if err != nil {
		return nil, err
	}
	l := newConnection(p, conn)
	if p.Faktory {
		conn.SetDeadline(time.Now().Add(dialTimeout))
		if err := l.handshake(p.Password); err != nil {
			conn.Close()
			return nil, err
		}
		conn.SetDeadline(time.Time{})
	}
	return l, nil
}

// sendOnNewConnection sends on a new connection.
func (p *replayer) sendOnNewConnection(s *request) {
	l, err := p.dial()
	if err != nil {
		p.mu.Lock()
		s.tally.Sent--
		p.idsHash ^= xxhash.Sum64String(s.id)
		p.mu.Unlock()
		p.complete(s, Unsent, err.Error())
		return
	}
	l.send(s)
	go l.readAnswers()
}

func (p *replayer) release(l *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleConnections {
		l.conn.Close()
		return
	}
	p.idle = append(p.idle, l)
}

// removeIdle takes a connection that has ended out of the idle ones.
func (p *replayer) removeIdle(l *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.idle {
		if other == l {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// complete books an entry's fate, once.
func (p *replayer) complete(s *request, v Outcome, why string) {
	if s.completed.Swap(true) {
		return
	}
	now := time.Since(p.start)
	p.mu.Lock()
	t := s.tally
	second := p.series.second(now)
	switch v {
	case Served:
		t.Served++
		second.Served++
		if w := p.LatencyObjectives[s.class]; w == 0 || now-s.due <= w {
			t.WithinObjective++
		}
		t.intended.RecordValue(max((now - s.due).Microseconds(), 1))
		t.actual.RecordValue(max((now - s.written).Microseconds(), 1))
		due := p.series.second(s.due)
		due.latency = append(due.latency, (now - s.due).Microseconds())
		p.result.ServedIDs = append(p.result.ServedIDs, s.id)
	case Rejected:
		t.Rejected++
		second.Rejected++
		countReason(p.result.Rejections, s.class+": "+why)
	case Failed:
		t.Failed++
		second.Failed++
		countReason(p.result.Failures, s.class+": "+why)
	case Lost:
		t.Lost++
		second.Lost++
		countReason(p.result.Failures, s.class+": "+why)
	case Unsent:
		t.Unsent++
		countReason(p.result.Failures, s.class+": not sent")
	}
	if v != Unsent {
		p.series.addWritten(s.due, s.written)
	}
	p.series.add(s.due, s.dispatched)
	p.completedCount++
	n := p.completedCount
	p.mu.Unlock()
	if p.OnProgress != nil {
		p.OnProgress(n)
	}
	p.inFlight.Done()
}

// countReason counts a reason; there are only so many.
func countReason(words map[string]int, text string) {
	text, _, _ = strings.Cut(strings.TrimSpace(text), "\n")
	if len(text) > 120 {
		text = text[:120]
	}
	if _, ok := words[text]; !ok && len(words) >= maxReasons {
		text = "others"
	}
	words[text]++
}

func (p *replayer) finish() {
	r := p.result
	for _, t := range r.Classes {
		t.Intended, t.Actual = quantiles(t.intended), quantiles(t.actual)
	}
	r.IDsHash = fmt.Sprintf("%016x", p.idsHash)
	r.Seconds = p.series.finish(&r.Fidelity)
	r.SpanSeconds = float64(len(r.Seconds))
}

var errHandshake = errors.New("the greeting is none")
