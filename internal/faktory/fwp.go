// Package faktory speaks the Faktory work protocol: as a server to producers
// and workers, and as a consumer of an upstream server. Jobs become reqs of the
// same core that the platform's front feeds. It must never decide where a job
// goes or whether it is repeated, nor hand out again a job that may have run
// where its class forbids that.
package faktory

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/BurntSushi/toml"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// This file owns the operator's file, the protocol's parser, what a job says,
// and the memory of jids. It must never panic on any input, nor forget a jid
// before its time while there is room.

// Config is the operator's file.
type Config struct {
	Listen   string `toml:"listen"`   // where producers and workers connect; empty: no server role
	Password string `toml:"password"` // asked of them; empty: none
	Source   struct {
		Address  string   `toml:"address"` // the upstream server; empty: no source role
		Password string   `toml:"password"`
		Queues   []string `toml:"queues"` // fetched in this order
		Lanes    int      `toml:"lanes"`  // jobs in work at once, each on a connection of its own
		Wid      string   `toml:"wid"`
	} `toml:"source"`
	Durable Durable `toml:"durable"`
}

const maxLanes = 64

// ReadConfig reads the operator's file; every error names the field.
func ReadConfig(path string, s *decision.Settings) (c Config, err error) {
	c = Default()
	meta, err := toml.DecodeFile(path, &c)
	if err != nil {
		// A parse error of the library takes several lines; its first says it.
		line, _, _ := strings.Cut(err.Error(), "\n")
		return c, errors.New(line)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return c, fmt.Errorf("%s: unknown key", unknown[0])
	}
	return c, c.Check(s)
}

// Default is a configuration before its file or table is read.
func Default() (c Config) {
	c.Source.Lanes = 8
	return c
}

// Check checks a configuration and fills in what it leaves out; every error names the field.
func (c *Config) Check(s *decision.Settings) error {
	if c.Listen == "" && c.Source.Address == "" {
		return errors.New("listen: missing, and source.address too, so there is nothing to do")
	}
	for _, a := range []struct{ field, addr string }{{"listen", c.Listen}, {"source.address", c.Source.Address}} {
		if _, _, err := net.SplitHostPort(a.addr); a.addr != "" && err != nil {
			return fmt.Errorf("%s: %q is no host:port", a.field, a.addr)
		}
	}
	if err := c.Durable.check(s, c.Listen != ""); err != nil {
		return err
	}
	if c.Source.Lanes < 1 || c.Source.Lanes > maxLanes {
		return fmt.Errorf("source.lanes: %d is not between 1 and %d", c.Source.Lanes, maxLanes)
	}
	if len(c.Source.Queues) == 0 {
		for _, class := range s.Classes {
			c.Source.Queues = append(c.Source.Queues, class.Name)
		}
	}
	for i, q := range c.Source.Queues {
		if q == "" || strings.ContainsAny(q, " \r\n") {
			return fmt.Errorf("source.queues[%d]: %q is no queue name", i, q)
		}
	}
	return nil
}

const maxClasses = 8

// Prepare makes room in the settings for kinds of worker that fetch some
// classes only: kind number base+mask runs the classes whose bits mask has, so
// that it is the module that keeps a job from a worker that does not want it.
func Prepare(s *decision.Settings) error {
	if len(s.Classes) > maxClasses {
		return fmt.Errorf("settings: classes: the Faktory front takes %d at most", maxClasses)
	}
	base := len(s.KindNames)
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.Kinds == nil {
			for k := range base {
				c.Kinds = append(c.Kinds, k)
			}
		}
		for mask := range 1 << len(s.Classes) {
			if mask>>i&1 == 1 {
				c.Kinds = append(c.Kinds, base+mask)
			}
		}
	}
	return nil
}

// Front is what the operator's file turns on: either role, or both, on one memory of jids.
type Front struct {
	Server *Server
	Source *Source
}

// Open starts the roles that the operator's file names. in, which may be nil,
// decides who may connect.
func Open(dispatcher *dispatch.Dispatcher, engine *transport.Engine, config Config, maxConnections int, gate *listener.Gate) (front Front, err error) {
	jids := newJidMemory()
	if config.Listen != "" {
		front.Server = NewServer(dispatcher, engine, config.Password, jids)
		if gate != nil {
			front.Server.SetGate(gate)
		}
		if config.Durable.Path != "" {
			if err := front.Server.EnableDurable(config.Durable); err != nil {
				return front, err
			}
		}
		addr, err := front.Server.Listen(config.Listen, maxConnections)
		if err != nil {
			front.End() // its file is free again
			return front, fmt.Errorf("listen: %w", err)
		}
		dispatcher.Log("faktory: listening on " + addr)
	}
	if config.Source.Address != "" {
		front.Source = NewSource(dispatcher, engine, config, jids)
		front.Source.Start()
	}
	return front, nil
}

// Stop begins a planned end: nothing more is fetched from upstream.
func (f Front) Stop() {
	if f.Source != nil {
		f.Source.Stop()
	}
	if k := f.durableQueues(); k != nil {
		k.scheduler.Stop()
	}
}

// Jobs is the service of durable jobs; nil: no queue is durable.
func (f Front) Jobs() *durable.Service {
	if k := f.durableQueues(); k != nil {
		return k.Service
	}
	return nil
}

func (f Front) durableQueues() *durableQueues {
	if f.Server == nil {
		return nil
	}
	return f.Server.durable
}

// Movable tells why a process with this front cannot be handed over to a
// successor; empty: it can, since all that it knows is in the store.
func (c *Config) Movable(s *decision.Settings) string {
	if c.Source.Address != "" {
		return "it fetches from upstream, whose jids are in memory only"
	}
	for i := range s.Classes {
		if !slices.Contains(c.Durable.Queues, s.Classes[i].Name) {
			return fmt.Sprintf("queue %q is direct, and its jids are in memory only", s.Classes[i].Name)
		}
	}
	return ""
}

// Classes tells which classes are durable, by number.
func (c *Durable) Classes(s *decision.Settings) []bool {
	classes := make([]bool, len(s.Classes))
	for i := range s.Classes {
		classes[i] = slices.Contains(c.Queues, s.Classes[i].Name)
	}
	return classes
}

// Release lets go of the address and of all that is kept, for a successor; done
// is called once it may take both.
func (f Front) Release(done func()) {
	if f.durableQueues() != nil {
		f.Server.release(done)
		return
	}
	done()
}

// End lets go of what is kept. Nothing may be asked of the front after that.
func (f Front) End() error {
	if k := f.durableQueues(); k != nil {
		return k.Service.Close()
	}
	return nil
}

// Busy tells whether a delivery from upstream is not closed yet.
func (f Front) Busy() bool { return f.Source != nil && f.Source.Busy() > 0 }

// Idle ends sessions and lanes on which nothing is owed, and tells whether none is left that owes anything.
func (f Front) Idle() bool {
	if f.Busy() {
		return false
	}
	if f.Source != nil {
		f.Source.Close()
	}
	if f.Server != nil {
		f.Server.Close()
		return f.Server.ConnectionCount() == 0
	}
	return true
}

// ---- The parser.

const maxCommandBytes = 70 << 10 // longest command line, and longest bulk string

var (
	errTooLong     = errors.New("longer than 70 KiB")
	errProtocol = errors.New("protocol violation")
)

// parseLine takes a line off b; used 0 without an error: it is not all there yet.
func parseLine(b []byte) (line []byte, used int, err error) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		if len(b) > maxCommandBytes {
			return nil, 0, errTooLong
		}
		return nil, 0, nil
	}
	if end > maxCommandBytes {
		return nil, 0, errTooLong
	}
	return bytes.TrimSuffix(b[:end], []byte("\r")), end + 1, nil
}

// parseCommand splits a command line into its verb and the rest.
func parseCommand(line []byte) (verb string, rest []byte) {
	v, rest, _ := bytes.Cut(bytes.TrimSpace(line), []byte(" "))
	return strings.ToUpper(string(v)), bytes.TrimSpace(rest)
}

// reply is one reply of a server.
type reply struct {
	kind byte // '+', '-', '$' or ':'
	text []byte
	null bool // a null bulk string
}

// parseReply takes a reply off b; used 0 without an error: it is not all there yet.
func parseReply(b []byte) (r reply, used int, err error) {
	line, used, err := parseLine(b)
	if err != nil || used == 0 {
		return r, 0, err
	}
	if len(line) == 0 {
		return r, 0, errProtocol
	}
	r.kind, r.text = line[0], line[1:]
	switch r.kind {
	case '+', '-', ':':
		return r, used, nil
	case '$':
	default:
		return r, 0, errProtocol
	}
	n, err := strconv.Atoi(string(r.text))
	switch {
	case err != nil || n < -1:
		return r, 0, errProtocol
	case n == -1:
		r.text, r.null = nil, true
		return r, used, nil
	case n > maxCommandBytes:
		return r, 0, errTooLong
	case len(b) < used+n+2:
		return r, 0, nil
	case b[used+n] != '\r' || b[used+n+1] != '\n':
		return r, 0, errProtocol
	}
	r.text = b[used : used+n]
	return r, used + n + 2, nil
}

// appendBulk appends a bulk string.
func appendBulk(out, text []byte) []byte {
	out = append(out, '$')
	out = strconv.AppendInt(out, int64(len(text)), 10)
	out = append(out, "\r\n"...)
	out = append(out, text...)
	return append(out, "\r\n"...)
}

// singleLine makes a text fit for a line of the protocol.
func singleLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, text)
}

// greeting is what a server says first, behind "HI ".
type greeting struct {
	V          int    `json:"v"`
	Salt       string `json:"s,omitempty"`
	Iterations int    `json:"i,omitempty"`
}

// hello is what a client says first.
type hello struct {
	Hostname string   `json:"hostname,omitempty"`
	Wid      string   `json:"wid,omitempty"`
	Pid      int      `json:"pid,omitempty"`
	Labels   []string `json:"labels,omitempty"`
	V        int      `json:"v"`
	Hash     string   `json:"pwdhash,omitempty"`
}

const maxHashIterations = 100_000 // more would let a server keep us busy

// hashPassword is the protocol's answer to a salt.
func hashPassword(password, salt string, iterations int) string {
	sum := sha256.Sum256([]byte(password + salt))
	for range min(iterations, maxHashIterations) - 1 {
		sum = sha256.Sum256(sum[:])
	}
	return hex.EncodeToString(sum[:])
}

// ---- Jobs.

// work is what we read of a job; the rest of it passes through untouched.
type work struct {
	Jid     string            `json:"jid"`
	Queue   string            `json:"queue"`
	Jobtype string            `json:"jobtype"`
	Args    []json.RawMessage `json:"args"`
	At      string            `json:"at"`
	Retry   *int              `json:"retry"`
	ReserveForSeconds float64           `json:"reserve_for"`
	scheduledAt      time.Duration     // when that is; 0: now
	Custom  struct {
		LeftMs   float64 `json:"time_left_ms"`
		EffortUs float64 `json:"effort_us"`
		Slots    float64 `json:"slots"`
		Key      string  `json:"key"`
		Repeat   bool    `json:"repeat"`
	} `json:"custom"`
}

var (
	errScheduledOnDirectQueue   = errors.New("at: its queue is direct, and keeps no jobs for later")
	errInvalidJid     = errors.New("jid: 8 to 256 characters without spaces are needed")
	errMissingArgs    = errors.New("args: an array is needed")
	errUnknownClass = errors.New("queue and jobtype: neither is a class served here")
	errAmbiguousClass     = errors.New("queue and jobtype: they name two classes")
)

// parseJob reads a job and finds its class; w is what it says beside that.
func parseJob(raw []byte, classes map[string]int, now time.Duration) (j dispatch.Request, w work, err error) {
	if err := json.Unmarshal(raw, &w); err != nil {
		return j, w, err
	}
	if len(w.Jid) < 8 || len(w.Jid) > 256 || strings.ContainsFunc(w.Jid, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
		return j, w, errInvalidJid
	}
	j = dispatch.Request{ID: w.Jid, Key: w.Custom.Key, Body: raw, Slots: w.Custom.Slots, ReceivedAt: now, ClientRetry: w.Custom.Repeat}
	if w.Args == nil {
		return j, w, errMissingArgs
	}
	byQueue, ok1 := classes[w.Queue]
	byType, ok2 := classes[w.Jobtype]
	switch {
	case !ok1 && !ok2:
		return j, w, errUnknownClass
	case ok1 && ok2 && byQueue != byType:
		return j, w, errAmbiguousClass
	case ok1:
		j.Class = byQueue
	default:
		j.Class = byType
	}
	if w.At != "" {
		when, err := time.Parse(time.RFC3339Nano, w.At)
		if err != nil {
			return j, w, errors.New("at: no time")
		}
		if when.After(time.Unix(0, int64(now))) {
			const latest = 9_000_000_000 // Unix seconds that nanoseconds hold
			w.scheduledAt = time.Duration(time.Unix(min(when.Unix(), latest), int64(when.Nanosecond())).UnixNano())
		}
	}
	const most = 1e12 // keeps the products below in range
	if ms := w.Custom.LeftMs; ms > 0 {
		j.TimeLeft = time.Duration(min(ms*1e6, most))
	}
	if us := w.Custom.EffortUs; us > 0 {
		j.Work = time.Duration(min(us*1e3, most))
	}
	return j, w, nil
}

// encodeJob words a job that came by another wire, for a worker: its key and its
// body are the args. A body that is no text goes as base64, and custom says so.
func encodeJob(j *dispatch.Request, class string) []byte {
	body, custom := string(j.Body), map[string]string(nil)
	if !utf8.Valid(j.Body) {
		body, custom = base64.StdEncoding.EncodeToString(j.Body), map[string]string{"encoding": "base64"}
	}
	raw, _ := json.Marshal(struct { // strings and slices of them always marshal
		Jid     string            `json:"jid"`
		Queue   string            `json:"queue"`
		Jobtype string            `json:"jobtype"`
		Args    []string          `json:"args"`
		Custom  map[string]string `json:"custom,omitempty"`
	}{j.ID, class, class, []string{j.Key, body}, custom})
	return raw
}

// ---- The memory of jids.

// A jid is remembered while its job is in work and, if it was served or may
// have run and must not again, for jidRetention after that: longer than the half
// hour for which an upstream server reserves a job unless told otherwise. Of
// those over, the maxCompletedJids newest are kept. A restart forgets all.
const (
	jidRetention   = 2 * time.Hour
	maxCompletedJids = 50_000
)

// jidStatus is what became of a jid.
type jidStatus uint8

const (
	jidUnknown jidStatus = iota // never seen, or free to run again
	jidInProgress
	jidServed
	jidMayHaveRun
)

type jidEntry struct {
	status  jidStatus
	since time.Duration
	onResponse  []func(dispatch.Response) // told of the answer while it is in work
}

// jidMemory remembers jids, for both roles.
type jidMemory struct {
	entries map[string]*jidEntry
	completed []completedJid // those over, the oldest first; some may have gone on since
}

type completedJid struct {
	id    string
	since time.Duration
}

func newJidMemory() *jidMemory { return &jidMemory{entries: map[string]*jidEntry{}} }

func (m *jidMemory) status(id string) jidStatus {
	if j := m.entries[id]; j != nil {
		return j.status
	}
	return jidUnknown
}

// begin books that a job goes to work.
func (m *jidMemory) begin(id string, now time.Duration) {
	m.expire(now)
	m.entries[id] = &jidEntry{status: jidInProgress, since: now}
}

// finish books what became of a job, and tells those who waited for that.
func (m *jidMemory) finish(id string, a dispatch.Response, repeat decision.Idempotency, now time.Duration) {
	j := m.entries[id]
	if j == nil || j.status != jidInProgress {
		return
	}
	waiting := j.onResponse
	switch {
	case a.Outcome == dispatch.Served:
		m.complete(id, jidServed, now)
	case a.MayHaveRun && repeat != decision.Idempotent:
		m.complete(id, jidMayHaveRun, now)
	default:
		delete(m.entries, id)
	}
	for _, f := range waiting {
		f(a)
	}
}

// confirm books a late acknowledgement: what may have run has run.
func (m *jidMemory) confirm(id string, now time.Duration) {
	if j := m.entries[id]; j != nil && j.status == jidMayHaveRun {
		m.complete(id, jidServed, now)
	}
}

func (m *jidMemory) complete(id string, f jidStatus, now time.Duration) {
	m.entries[id] = &jidEntry{status: f, since: now}
	m.completed = append(m.completed, completedJid{id, now})
	m.expire(now)
}

func (m *jidMemory) expire(now time.Duration) {
	for len(m.completed) > 0 {
		e := m.completed[0]
		j := m.entries[e.id]
		stale := j == nil || j.status == jidInProgress || j.since != e.since
		if !stale && len(m.completed) <= maxCompletedJids && now-j.since < jidRetention {
			return
		}
		if !stale {
			delete(m.entries, e.id)
		}
		m.completed = m.completed[1:]
	}
}
