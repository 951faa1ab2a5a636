package rehearsal

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	stdnet "net"
	"net/url"
	"slices"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/core"
	"hollyyoke.example/hollyyoke/internal/faktory"
	"hollyyoke.example/hollyyoke/internal/net"
	"hollyyoke.example/hollyyoke/internal/platform"
)

// This file owns the replay: it sends each entry at its time, on connections
// that are kept, and books what comes back. It must never send an entry twice,
// but where a kept connection was closed with nothing on it answered or owed.

// Options says where a recording is replayed to.
type Options struct {
	To       string // host:port on a loopback address
	Faktory  bool   // by the Faktory front; else by the platform's
	Password string // for the Faktory front
}

// Tally tells what became of the entries of a class.
type Tally struct {
	Sent    int `json:"sent"`
	Served  int `json:"served"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Lost    int `json:"lost"`  // no final answer before the client gave up
	Twice   int `json:"twice"` // more than one answer
	Unsent  int `json:"unsent"`
}

// Report tells what became of a replay.
type Report struct {
	Classes  map[string]*Tally `json:"classes"`
	Unmapped []int             `json:"unmapped"` // the numbers of entries that no rule fits
	Lost     []int             `json:"lost"`     // the numbers of those lost
	Twice    []int             `json:"twice"`
	Stray    int               `json:"stray"` // answers to nothing at all
}

// Broken tells whether a rule was broken: each entry has one final answer, in time.
func (r *Report) Broken() bool {
	return len(r.Lost) > 0 || len(r.Twice) > 0 || r.Stray > 0
}

// Unsent is the number of entries that could not be sent.
func (r *Report) Unsent() (n int) {
	for _, t := range r.Classes {
		n += t.Unsent
	}
	return n
}

// Write writes the report for people.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%-20s %7s %7s %7s %7s %7s %7s %7s\n", "class", "sent", "served", "refused", "failed", "lost", "twice", "unsent")
	var names []string
	for name := range r.Classes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t := r.Classes[name]
		fmt.Fprintf(w, "%-20s %7d %7d %7d %7d %7d %7d %7d\n", name, t.Sent, t.Served, t.Refused, t.Failed, t.Lost, t.Twice, t.Unsent)
	}
	for _, x := range []struct {
		what    string
		numbers []int
	}{{"no rule fits", r.Unmapped}, {"lost", r.Lost}, {"answered twice", r.Twice}} {
		if len(x.numbers) > 0 {
			fmt.Fprintf(w, "%s: entries %s\n", x.what, strings.Trim(fmt.Sprint(x.numbers), "[]"))
		}
	}
	if r.Stray > 0 {
		fmt.Fprintf(w, "answers to nothing: %d\n", r.Stray)
	}
}

// Loopback checks that an address is a loopback one.
func Loopback(addr string) error {
	host, _, err := stdnet.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is no host:port", addr)
	}
	if ip := stdnet.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%s is not a loopback address", host)
	}
	return nil
}

const (
	connectTime = time.Second
	slack       = 50 * time.Millisecond  // an answer so late is in time
	settleTime  = 300 * time.Millisecond // after the last answer, for second ones
	descriptors = 1000
)

// replay is one run. It belongs to the loop's goroutine.
type replay struct {
	loop    *core.Loop
	engine  *net.Engine
	options Options
	report  *Report
	idle    []*link // the one used last at the end
	left    int     // entries without a fate
	prefix  string
}

// shot is one entry on its way.
type shot struct {
	entry  *Entry
	rule   *Rule
	key    string
	id     string
	due    core.Deadline // when the client gives up
	link   *link
	again  bool // it has been sent once on a kept connection that was closing
	over   bool
	number int
}

// link is one connection to the dispatcher.
type link struct {
	r     *replay
	conn  *net.Conn
	in    *net.Buffer
	shot  *shot
	last  *shot // the one answered last here
	ready bool  // the Faktory front has taken HELLO
	hail  bool  // HELLO has been sent
	kept  bool  // it has been idle
}

// Replay sends a recording and returns what became of it. It takes as long as the recording.
func Replay(entries []Entry, rules *Rules, o Options) (*Report, error) {
	if err := Loopback(o.To); err != nil {
		return nil, err
	}
	loop := core.NewLoop()
	engine, err := net.NewEngine(loop, descriptors)
	if err != nil {
		return nil, err
	}
	var salt [6]byte
	rand.Read(salt[:])
	r := &replay{
		loop: loop, engine: engine, options: o, prefix: hex.EncodeToString(salt[:]),
		report: &Report{Classes: map[string]*Tally{}},
	}
	var shots []*shot
	for i := range entries {
		rule, key := rules.Map(&entries[i])
		if rule == nil {
			r.report.Unmapped = append(r.report.Unmapped, entries[i].Number)
			continue
		}
		if r.report.Classes[rule.Name] == nil {
			r.report.Classes[rule.Name] = &Tally{}
		}
		// An id of the form that clients use: 16 hexadecimal digits.
		s := &shot{entry: &entries[i], rule: rule, key: key, id: fmt.Sprintf("%s%04x", r.prefix, len(shots)&0xffff), number: entries[i].Number}
		shots = append(shots, s)
	}
	if len(shots) == 0 {
		return r.report, nil
	}
	r.left = len(shots)
	start := loop.Now()
	for _, s := range shots {
		s.due.Fire = func() { r.fire(s) }
		loop.Set(&s.due, start+s.entry.At)
	}
	loop.Run()
	return r.report, nil
}

func (r *replay) tally(s *shot) *Tally { return r.report.Classes[s.rule.Name] }

// fire sends an entry at its time, on the connection used last or on a new one.
func (r *replay) fire(s *shot) {
	r.tally(s).Sent++
	s.due.Fire = func() { r.lost(s) }
	r.loop.Set(&s.due, r.loop.Now()+time.Duration(s.rule.LeftMs)*time.Millisecond+slack)
	r.place(s)
}

func (r *replay) place(s *shot) {
	if n := len(r.idle); n > 0 {
		l := r.idle[n-1]
		r.idle = r.idle[:n-1]
		l.shot, s.link = s, l
		l.send()
		return
	}
	l := &link{r: r, shot: s}
	s.link = l
	r.engine.Dial(r.options.To, connectTime, l, func(c *net.Conn, err error) {
		if err != nil {
			if l.shot != nil {
				t := r.tally(s)
				t.Sent--
				t.Unsent++
				r.over(s)
			}
			return
		}
		l.conn = c
		if l.shot == nil { // given up meanwhile
			c.Close()
			return
		}
		if !r.options.Faktory {
			l.send()
		}
	})
}

// send writes the entry of a link.
func (l *link) send() {
	s, o := l.shot, &l.r.options
	left := time.Duration(s.rule.LeftMs) * time.Millisecond
	var text string
	if o.Faktory {
		var err error
		if text, err = faktory.Push(s.id, s.rule.Name, s.key, s.entry.Body, left); err != nil {
			text = ""
		}
	} else {
		text = fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
			s.rule.Name, url.PathEscape(s.key), o.To, s.id, s.rule.LeftMs, len(s.entry.Body), s.entry.Body)
	}
	if !l.conn.Write([]byte(text)) {
		l.Closed(l.conn, nil)
	}
}

// over books that an entry has its fate, and ends the run after the last.
func (r *replay) over(s *shot) {
	s.over = true
	r.loop.Clear(&s.due)
	if r.left--; r.left == 0 {
		r.loop.After(settleTime, r.loop.Stop)
	}
}

// lost books that the client has given up.
func (r *replay) lost(s *shot) {
	r.tally(s).Lost++
	r.report.Lost = append(r.report.Lost, s.number)
	if l := s.link; l != nil {
		l.shot = nil
		if l.conn != nil {
			l.drop()
			l.conn.Close()
		}
	}
	r.over(s)
}

func (l *link) drop() {
	l.r.engine.Pool.Put(l.in)
	l.in = nil
	l.r.idle = slices.DeleteFunc(l.r.idle, func(o *link) bool { return o == l })
}

// Closed is told that the dispatcher has closed. If that crossed an entry on a
// kept connection, the entry is sent once more, as clients do; else it is lost.
func (l *link) Closed(*net.Conn, error) {
	partial := l.in != nil
	l.drop()
	s := l.shot
	if l.shot = nil; s == nil || s.over {
		return
	}
	if s.link = nil; l.kept && !s.again && !partial {
		s.again = true
		l.r.place(s)
		return
	}
	l.r.loop.Clear(&s.due)
	l.r.lost(s)
}

// Data takes in what the dispatcher sent.
func (l *link) Data(_ *net.Conn, b *net.Buffer) {
	pool := &l.r.engine.Pool
	if l.in == nil {
		l.in = b
	} else {
		ok := l.in.Add(b.Bytes())
		if pool.Put(b); !ok {
			l.broken()
			return
		}
	}
	for l.in != nil && l.conn.Handle != 0 {
		more, err := l.step()
		if err != nil {
			l.broken()
			return
		}
		if !more {
			return
		}
	}
}

// broken gives up a connection whose bytes make no sense: no answer can be told from them.
func (l *link) broken() {
	if l.shot == nil {
		l.r.report.Stray++
	}
	l.conn.Close()
	l.kept = false
	l.Closed(l.conn, nil)
}

// step takes one answer out of the input; false: more must come first.
func (l *link) step() (bool, error) {
	if l.r.options.Faktory {
		line, used, err := faktory.ParseAnswer(l.in.Bytes())
		if err != nil || used == 0 {
			return false, err
		}
		l.cut(used)
		switch {
		case !l.hail:
			text, err := faktory.Greet(line, l.r.options.Password)
			if err != nil {
				return false, err
			}
			l.hail = true
			l.conn.Write([]byte(text))
		case !l.ready:
			if l.ready = strings.HasPrefix(line, "+OK"); !l.ready {
				return false, errors.New(line)
			}
			if l.shot != nil {
				l.send()
			}
		default:
			l.answer(faktory.Verdict(line), false)
		}
		return true, nil
	}
	status, _, used, last, err := platform.ParseAnswer(l.in.Bytes())
	if err != nil || used == 0 {
		return false, err
	}
	l.cut(used)
	switch status {
	case 200:
		l.answer(core.Served, last)
	case 429, 503:
		l.answer(core.Refused, last)
	default:
		l.answer(core.Failed, last)
	}
	return true, nil
}

func (l *link) cut(n int) {
	if l.in.Cut(n); len(l.in.Bytes()) == 0 {
		l.r.engine.Pool.Put(l.in)
		l.in = nil
	}
}

// answer books a final answer.
func (l *link) answer(v core.Verdict, last bool) {
	s := l.shot
	if s == nil { // a second answer, to the entry answered last here
		if l.last == nil {
			l.r.report.Stray++
			return
		}
		l.r.tally(l.last).Twice++
		l.r.report.Twice = append(l.r.report.Twice, l.last.number)
		return
	}
	t := l.r.tally(s)
	switch v {
	case core.Served:
		t.Served++
	case core.Refused:
		t.Refused++
	default:
		t.Failed++
	}
	l.shot, l.last, s.link = nil, s, nil
	l.r.over(s)
	if last {
		return // the dispatcher ends the connection; a second answer would still be seen
	}
	l.kept = true
	l.r.idle = append(l.r.idle, l)
}
