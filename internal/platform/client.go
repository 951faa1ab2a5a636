package platform

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/internal/core"
	"hollyyoke.example/hollyyoke/internal/net"
)

// This file owns client sessions: it reads requests, hands them to the core as
// reqs and writes the final answers. It must never end a session while an
// answer is owed on it, nor write two answers to one request.

// Front is the platform's front. It belongs to the loop's goroutine.
type Front struct {
	core     *core.Core
	engine   *net.Engine
	classes  map[string]int
	sessions core.Table[session]
	out      []byte
	ready    func() bool
	stopping bool
	closing  bool // the arrival window has passed: sessions end between requests
	pressed  bool // new sessions wait, and none could be closed for them
}

// session is one client's connection: it reads a request, waits for its answer, and reads on.
type session struct {
	front  *Front
	token  uint64
	conn   *net.Conn
	in     *net.Buffer
	since  time.Duration // when the first byte of the request at hand came
	req    uint64        // the req that is out, 0 before the core has named it
	busy   bool          // an answer is owed
	gone   bool          // the client has closed
	last   bool          // the session ends with the answer at hand
	told   bool          // 100 Continue has been sent
	used   bool          // a request has been answered on it
	idleAt time.Duration
	idle   core.Deadline
}

const (
	requestTime = 10 * time.Second // for a request to arrive whole, once it has begun
	idleTime    = 5 * time.Minute  // a session between requests is kept so long
)

// NewFront returns a front that accepts on addr once Listen is called.
func NewFront(c *core.Core, e *net.Engine, ready func() bool) *Front {
	f := &Front{core: c, engine: e, classes: map[string]int{}, ready: ready}
	for i, class := range c.Settings.Classes {
		f.classes[class.Name] = i
	}
	return f
}

// Listen starts accepting client sessions, most at a time, and returns the address.
func (f *Front) Listen(addr string, most int) (string, error) {
	a, err := f.engine.Listen(addr, most, f.accept, f.shed)
	if err != nil {
		return "", err
	}
	return a.String(), nil
}

func (f *Front) accept(c *net.Conn) net.Owner {
	s := &session{front: f, conn: c, idleAt: c.Opened}
	s.idle.Fire = s.expire
	s.token = f.sessions.Put(s)
	f.pressed = false
	f.core.Loop.Set(&s.idle, f.core.Loop.Now()+idleTime)
	return s
}

// shed makes room for new sessions: it closes those between requests, the
// longest unused first. They close at once: guards against sessions that linger
// holding their descriptors, so that call after call sheds more. One that has
// just come is spared, for its request is on the way: shed by age alone, it went
// before those that had their answer. If there is none to close, the next
// answers end their sessions.
func (f *Front) shed() {
	const some = 8
	now := f.core.Loop.Now()
	for i := range some {
		var oldest *session
		f.sessions.All(func(_ uint64, s *session) {
			if s.between() && (s.used || now-s.idleAt > requestTime) && (oldest == nil || s.idleAt < oldest.idleAt) {
				oldest = s
			}
		})
		if oldest == nil {
			f.pressed = i == 0
			return
		}
		oldest.forget()
		oldest.conn.Close()
	}
}

func (s *session) between() bool { return !s.busy && !s.gone && s.in == nil }

// Stop begins a planned restart: it goes on accepting, but no longer says that it is ready.
func (f *Front) Stop() { f.stopping = true }

// Close ends all sessions between requests, now and from now on.
func (f *Front) Close() {
	f.closing = true
	f.sessions.All(func(_ uint64, s *session) {
		if s.between() {
			s.end()
		}
	})
}

// Sessions is the number of sessions open.
func (f *Front) Sessions() int { return f.sessions.Len() }

// expire ends a session that has waited too long for a request, or for the rest of one.
func (s *session) expire() {
	if !s.busy {
		s.end()
	}
}

// end ends a session on which nothing is owed.
func (s *session) end() {
	s.forget()
	s.conn.End()
}

// forget gives back all that a session holds.
func (s *session) forget() {
	s.front.sessions.Drop(s.token)
	s.front.core.Loop.Clear(&s.idle)
	s.front.engine.Pool.Put(s.in)
	s.in, s.gone = nil, true
}

// Closed is told that the client has gone away.
func (s *session) Closed(*net.Conn, error) {
	busy, req := s.busy, s.req
	s.forget()
	if busy {
		s.front.core.HangUp(req)
	}
}

// Data takes in what the client sent.
func (s *session) Data(_ *net.Conn, b *net.Buffer) {
	if s.gone {
		s.front.engine.Pool.Put(b)
		return
	}
	if s.in == nil && !s.busy {
		s.since = s.front.core.Loop.Now()
		s.front.core.Loop.Set(&s.idle, s.since+requestTime)
	}
	if !collect(&s.front.engine.Pool, &s.in, b) {
		// More than one request's worth at once: none that is owed an answer is given up for it.
		s.last = true
		if !s.busy {
			s.reject(errBody)
		}
		return
	}
	s.read()
}

// read takes requests out of the buffer until one must be waited for.
func (s *session) read() {
	for s.in != nil && !s.busy && !s.gone {
		var m message
		ok, early, err := parseRequest(s.in.Bytes(), &m)
		if err != nil {
			s.reject(err)
			return
		}
		if !ok {
			if early && !s.told {
				s.told = true
				s.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			return
		}
		s.told = false
		s.last = s.last || s.front.closing || m.has("Connection", "close") ||
			bytes.Equal(m.c, []byte("HTTP/1.0")) && !m.has("Connection", "keep-alive")
		s.request(&m)
	}
}

// reject answers what cannot be understood, and ends the session, whose next bytes mean nothing.
func (s *session) reject(err error) {
	status := 400
	switch {
	case errors.Is(err, errBody):
		status = 413
	case errors.Is(err, errHead):
		status = 431
	}
	s.last = true
	s.write(status, []byte(err.Error()+"\n"), 0, "")
}

// request handles one whole request.
func (s *session) request(m *message) {
	path, _, _ := bytes.Cut(m.b, []byte("?"))
	status, text, fields := 0, "", ""
	job := core.Job{Since: s.since}
	class, known := s.front.class(path)
	switch {
	case bytes.Equal(path, []byte("/healthz")):
		status, text = 503, "not ready\n"
		if !bytes.Equal(m.a, []byte("GET")) && !bytes.Equal(m.a, []byte("HEAD")) {
			status, text, fields = 405, "GET only\n", "Allow: GET\r\n"
		} else if s.front.ready() && !s.front.stopping {
			status, text = 200, "ready\n"
		}
	case !known:
		status, text = 404, "no such class\n"
	case !bytes.Equal(m.a, []byte("POST")):
		status, text, fields = 405, "POST only\n", "Allow: POST\r\n"
	default:
		if err := readJob(m, &job); err != nil {
			status, text = 400, err.Error()+"\n"
		} else if s.front.core.Named(job.ID) { // guards the req of that name, which may be another client's
			status, text = 409, "X-Correlation-Id names another request\n"
		}
	}
	if status != 0 {
		s.cut(m.size)
		if bytes.Equal(m.a, []byte("HEAD")) { // its answer has no body, so the length would mislead
			s.last, text = true, ""
		}
		s.write(status, []byte(text), 0, fields)
		return
	}
	job.Class = class
	s.take(m, job)
}

// class finds the class that a path names: its first part.
func (f *Front) class(path []byte) (int, bool) {
	if len(path) < 2 || path[0] != '/' {
		return 0, false
	}
	name, _, _ := bytes.Cut(path[1:], []byte("/"))
	class, ok := f.classes[string(name)]
	return class, ok
}

// readJob reads what the request's line and fields say.
func readJob(m *message, job *core.Job) error {
	id := m.get("X-Correlation-Id")
	if len(id) == 0 {
		return errors.New("no X-Correlation-Id")
	}
	if !isID(id) {
		return errors.New("X-Correlation-Id is not of 1 to 128 letters, digits or -._:~+/=@")
	}
	job.ID, job.Target = string(id), string(m.b)
	path, _, _ := bytes.Cut(m.b, []byte("?"))
	if i := bytes.LastIndexByte(path, '/'); i > 0 {
		job.Key = string(path[i+1:])
	}
	if m.count("X-Time-Left-Ms") > 0 { // an empty one is no number either
		ms, ok := number(m.get("X-Time-Left-Ms"))
		if !ok {
			return errors.New("X-Time-Left-Ms is not a whole number")
		}
		job.Left = max(time.Duration(ms)*time.Millisecond, time.Nanosecond)
	}
	if us, err := strconv.ParseFloat(string(m.get("X-Weight-Hint")), 64); err == nil && us > 0 && us < 1e12 {
		job.Work = time.Duration(us * float64(time.Microsecond))
	}
	job.Retry = bytes.Equal(m.get("X-Repeat"), []byte("1"))
	for fact := range bytes.SplitSeq(m.get("X-Facts"), []byte(",")) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(fact), []byte("="))
		if x, err := strconv.ParseFloat(string(value), 64); err == nil && (string(name) == "slots" || string(name) == "needs") {
			job.Slots = x
		}
	}
	return nil
}

// take hands a request to the core. The buffer goes with it, and what came behind it moves to a new one.
func (s *session) take(m *message, job core.Job) {
	pool, held := &s.front.engine.Pool, s.in
	s.in = nil
	if rest := held.Bytes()[m.size:]; len(rest) > 0 {
		s.in = pool.Get()
		s.in.Add(rest)
	}
	job.Body = m.body
	job.Release = func() { pool.Put(held) }
	s.busy, s.req = true, 0
	s.front.core.Loop.Clear(&s.idle)
	req := s.front.core.Take(s.front, s.token, job)
	if s.busy {
		s.req = req
	}
}

func (s *session) cut(n int) {
	if s.in.Cut(n); len(s.in.Bytes()) == 0 {
		s.front.engine.Pool.Put(s.in)
		s.in = nil
	}
}

// Answer writes the final answer of a session's req.
func (f *Front) Answer(token uint64, a core.Answer) {
	s := f.sessions.Get(token)
	if s == nil || !s.busy {
		return
	}
	s.busy = false
	s.last = s.last || f.closing
	switch a.Verdict {
	case core.Served:
		s.write(200, a.Result, 0, "")
	case core.Refused:
		s.write(503, nil, a.RetryAfter, "")
	default:
		s.write(502, nil, 0, "")
	}
	if s.in != nil && !s.gone {
		f.core.Loop.Post(s.read) // a request that came early; not from inside the core
	}
}

// write writes an answer and makes the session ready for the next request, or ends it.
func (s *session) write(status int, body []byte, retryAfter time.Duration, fields string) {
	f := s.front
	s.used = true
	s.last = s.last || f.pressed
	f.out = appendAnswer(f.out[:0], status, body, retryAfter, s.last, fields)
	s.conn.Write(f.out)
	if s.last {
		s.end()
		return
	}
	now := f.core.Loop.Now()
	s.since, s.idleAt = now, now
	f.core.Loop.Set(&s.idle, now+idleTime)
}
