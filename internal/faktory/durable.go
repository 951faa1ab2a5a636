package faktory

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// This file owns the protocol's words for durable queues: what a job says of its
// repeats and its lease, whose word about a lease it is, and the commands that
// only make sense where something is kept. It must never say +OK to a change
// that is not on the disk, nor take one worker's word for another's lease.

// Durable is the operator's table of durable queues.
type Durable struct {
	Path       string   `toml:"path"`          // the file that keeps the jobs; empty: off
	Queues     []string `toml:"queues"`        // the durable ones, by class; the others stay direct
	LeaseS     float64  `toml:"lease_s"`       // without a heartbeat, where a job does not say reserve_for
	GraceS     float64  `toml:"grace_s"`       // after a start, for workers to come back with what they hold
	Attempts   int      `toml:"attempts"`      // of a job that may be repeated and does not say retry
	BackoffS   float64  `toml:"backoff_s"`     // before the second attempt, doubled for each more
	RetainS    float64  `toml:"retain_s"`      // for which a job that is over is known
	RetainDead float64  `toml:"retain_dead_s"` // for which a dead one is
	DelayMs    float64  `toml:"delay_ms"`      // for which a change waits for others before its fsync
	Flush      bool     `toml:"flush"`         // whether FLUSH is obeyed

	Log *slog.Logger `toml:"-"` // where the audit goes; nil: nowhere
}

func (c *Durable) check(s *decision.Settings, listens bool) error {
	if c.Path == "" {
		if len(c.Queues) > 0 {
			return errors.New("durable.path: missing, so the queues cannot be kept")
		}
		return nil
	}
	if !listens {
		return errors.New("durable.path: the server role is off: listen is missing")
	}
	for i, q := range c.Queues {
		if !slices.ContainsFunc(s.Classes, func(c decision.Class) bool { return c.Name == q }) {
			return fmt.Errorf("durable.queues[%d]: no class %q is served here", i, q)
		}
	}
	for key, v := range map[string]float64{"lease_s": c.LeaseS, "grace_s": c.GraceS, "backoff_s": c.BackoffS, "retain_s": c.RetainS,
		"retain_dead_s": c.RetainDead, "delay_ms": c.DelayMs, "attempts": float64(c.Attempts)} {
		if v < 0 || v > 1e9 {
			return fmt.Errorf("durable.%s: %g is not between 0 and 1e9", key, v)
		}
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// config is what the service is opened with.
func (c *Durable) config() durable.Config {
	return durable.Config{
		Path:  c.Path,
		Jobs:  jobs.Config{LeaseDuration: seconds(c.LeaseS), RecoveryGrace: seconds(c.GraceS), MaxAttempts: c.Attempts, InitialBackoff: seconds(c.BackoffS), Retention: seconds(c.RetainS), DeadRetention: seconds(c.RetainDead)},
		Store: store.Options{GroupCommitDelay: seconds(c.DelayMs / 1000)},
	}
}

// keep is the durable side of the server; nil where all queues are direct.
type keep struct {
	*durable.Service
	desk    *durable.Scheduler
	classes []bool // the durable ones
	flush   bool
	tracks  map[string]track
	parks   uint64
}

// track is how far a worker says it is with a job; a restart forgets it.
type track struct {
	Percent int    `json:"percent"`
	Desc    string `json:"desc"`
	At      string `json:"updated_at"`
}

const mostTracks = 10_000

// Keep makes some queues durable. It must come before Listen.
func (s *Server) Keep(c Durable) error {
	log := c.Log
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	service, err := durable.Open(s.core.Loop, c.config(), log)
	if err != nil {
		return fmt.Errorf("durable.path: %w", err)
	}
	s.kept = &keep{
		Service: service, desk: durable.NewScheduler(service, s.core, s), classes: c.Classes(&s.core.Settings),
		flush: c.Flush, tracks: map[string]track{},
	}
	service.OnLeaseExpired = func(j jobs.Job) { s.through(j.ID, j.Fence, decision.TimedOut) }
	s.core.Loop.Post(service.Start)
	return nil
}

// Request words a stored job for the core.
func (s *Server) Request(j jobs.Job) (dispatch.Request, error) {
	if r, is := durable.ReadRequest(j); is {
		class, known := s.classes[j.Class]
		if !known {
			return dispatch.Request{}, errUnknown
		}
		return dispatch.Request{ID: j.ID, Class: class, Target: r.Target, Key: r.Key, IdempotencyKey: r.IdempotencyKey, Body: r.Body, Slots: r.Slots, Work: r.Work}, nil
	}
	job, _, err := readJob(j.Payload, s.classes, s.core.Loop.Now())
	return job, err
}

// others is how many jobs are offered at a time where backends of other wires run, whose slots nobody tells here.
const others = 16

// Guarantee is what a worker has promised; those of other wires promise nothing.
func (s *Server) Guarantee(backend string) jobs.Guarantee {
	if w := s.workers[backend]; w != nil {
		return w.honours
	}
	return jobs.NoGuarantee
}

// FreeSlots lists the durable classes that each parked FETCH wants, in its order.
func (s *Server) FreeSlots() (slots [][]int) {
	var parked []*session
	running := 0
	for _, w := range s.workers {
		if w.listed && w.entry.State == decision.Running {
			running++
			parked = append(parked, w.parked[min(len(w.held), len(w.parked)):]...)
		}
	}
	slices.SortFunc(parked, func(a, b *session) int { return cmp.Compare(a.since, b.since) })
	for _, n := range parked {
		if len(n.wants) > 0 {
			slots = append(slots, n.wants)
		}
	}
	if s.core.ReadyWorkers() > running {
		var all []int
		for class, kept := range s.kept.classes {
			if kept {
				all = append(all, class)
			}
		}
		for range others {
			slots = append(slots, all)
		}
	}
	return slots
}

// wait is a job that waits for a slot of a worker.
type wait struct {
	id    string
	class int
	then  func(free bool)
	due   eventloop.Deadline
}

// Reserve keeps a parked FETCH of a worker for a job, now or when one comes in time.
func (s *Server) Reserve(backend string, class int, id string, then func(free bool)) {
	w := s.workers[backend]
	switch {
	case w == nil: // another wire's
		then(true)
		return
	case w.entry.State != decision.Running || len(w.waits) >= max(w.slots, 1):
		then(false)
		return
	}
	x := &wait{id: id, class: class, then: then}
	x.due.Fire = func() { w.through(s, x, false) }
	w.waits = append(w.waits, x)
	s.core.Loop.Set(&x.due, s.core.Loop.Now()+holdTime)
	w.serveWaits(s)
}

// SendsHeartbeats tells whether a backend renews its leases itself: those of this wire do.
func (s *Server) SendsHeartbeats(backend string) bool { return s.workers[backend] != nil }

// through ends a wait.
func (w *worker) through(s *Server, x *wait, free bool) {
	w.waits = slices.DeleteFunc(w.waits, func(o *wait) bool { return o == x })
	s.core.Loop.Clear(&x.due)
	x.then(free)
}

// serveWaits keeps the slots that are free for those who wait for one.
func (w *worker) serveWaits(s *Server) {
	for _, x := range slices.Clone(w.waits) {
		if n := w.slotFor(x.class, ""); n != nil && slices.Contains(w.waits, x) {
			n.reserved = x.id
			w.through(s, x, true)
		}
	}
}

// Unreserve lets go of a slot that was kept for a job.
func (s *Server) Unreserve(backend, id string) {
	w := s.workers[backend]
	if w == nil {
		return
	}
	for _, n := range w.parked {
		if n.reserved == id {
			n.reserved = ""
		}
	}
	s.core.Loop.Post(func() { w.serveHeld(s); w.serveWaits(s) })
}

// wants lists the durable classes of a FETCH, in its order.
func (s *Server) wants(queues string) (classes []int) {
	for q := range strings.FieldsSeq(queues) {
		if class, ok := s.classes[q]; ok && s.kept.classes[class] && !slices.Contains(classes, class) {
			classes = append(classes, class)
		}
	}
	return classes
}

const mostLease = 24 * time.Hour

// durableJob words a job for the service.
func (s *Server) durableJob(raw []byte, job dispatch.Request, w *work) (j jobs.Job) {
	class := s.core.Settings.Classes[job.Class]
	j = jobs.Job{ID: job.ID, Class: class.Name, NonIdempotent: class.Idempotency != decision.Idempotent, Payload: bytes.Clone(raw)}
	// What makes a job another one; times and the like may differ from one PUSH to its repeat.
	h := xxhash.New()
	h.WriteString(class.Name + "\x00" + w.Jobtype)
	for _, arg := range w.Args {
		var text bytes.Buffer
		json.Compact(&text, arg) // it has been read
		h.Write(append(text.Bytes(), 0))
	}
	j.PayloadHash = h.Sum64()
	if w.Retry != nil {
		j.MaxAttempts, j.DiscardWhenExhausted = max(min(*w.Retry, 1000), 0)+1, *w.Retry < 0
	}
	if w.Reserve > 0 {
		j.LeaseDuration = min(seconds(min(w.Reserve, 1e9)), mostLease)
	}
	return j
}

// keep takes a job on durably: its producer hears once the disk has it.
func (n *session) keep(job dispatch.Request, raw []byte, w *work, told func(why string)) {
	n.srv.kept.Push(n.srv.durableJob(raw, job, w), w.at, func(err error) {
		switch {
		case errors.Is(err, jobs.ErrIDConflict):
			told("NOTUNIQUE " + err.Error())
		case err != nil:
			told("REFUSED " + err.Error() + "; pushing it again is harmless")
		default:
			told("")
		}
	})
}

// owe makes the session wait until what it asked for is on the disk.
func (n *session) owe() (told func(line string)) {
	n.busy = true
	n.srv.core.Loop.Clear(&n.due)
	return func(line string) {
		if n.gone {
			return
		}
		n.say(line)
		n.ready()
	}
}

// okOr is the line of an answer: +OK, or why not.
func okOr(why string) string {
	if why == "" {
		return "+OK"
	}
	return "-ERR " + oneLine(why)
}

// okOrError is okOr for an error.
func okOrError(err error) string {
	if err == nil {
		return okOr("")
	}
	return okOr(err.Error())
}

// pushBulk takes many jobs at once, and tells those that were not taken on by jid.
func (n *session) pushBulk(rest []byte) {
	var list []json.RawMessage
	if err := json.Unmarshal(rest, &list); err != nil {
		n.say("-ERR MALFORMED PUSHB: " + oneLine(err.Error()))
		return
	}
	no := map[string]string{}
	told, open := n.owe(), 1
	done := func() {
		if open--; open == 0 {
			raw, _ := json.Marshal(no) // strings always marshal
			told(strings.TrimSuffix(string(appendBulk(nil, raw)), "\r\n"))
		}
	}
	srv := n.srv
	for i, raw := range list {
		job, w, err := readJob(raw, srv.classes, srv.core.Loop.Now())
		id := cmp.Or(job.ID, fmt.Sprintf("[%d]", i))
		if err == nil && !srv.kept.classes[job.Class] {
			err = errors.New("its queue is direct, and is answered job by job: PUSH it")
		}
		if err != nil {
			no[id] = err.Error()
			continue
		}
		open++
		n.keep(job, raw, &w, func(why string) {
			if why != "" {
				no[id] = why
			}
			done()
		})
	}
	done()
}

// word is a worker's word about a job.
type word struct {
	Jid     string `json:"jid"`
	Fence   uint64 `json:"fence"`   // of the lease that it is about; 0: of the one that the worker holds
	Started *bool  `json:"started"` // in FAIL: false says that it never began
	Type    string `json:"errtype"`
	Message string `json:"message"`
	Percent int    `json:"percent"`
	Desc    string `json:"desc"`
	Until   string `json:"reserve_until"`
}

// fence is the lease that a word is about. Without a fence it is the one that
// the session's worker holds, or held last; nobody's word is about another's.
func (n *session) fence(j jobs.Job, w word) uint64 {
	if w.Fence == 0 && n.worker != nil && n.worker.name == j.Worker {
		return j.Fence
	}
	return w.Fence
}

// closeKept takes an ACK or a FAIL of a durable job, or START, by which a worker
// that honours fences asks whether it may begin.
func (n *session) closeKept(verb string, j jobs.Job, w word) {
	srv, k := n.srv, n.srv.kept
	fence := n.fence(j, w)
	say := n.owe()
	told := func(err error) {
		if err != nil {
			err = fmt.Errorf("VOID %w", err)
		}
		say(okOrError(err))
	}
	o := decision.Completed
	switch verb {
	case "START":
		k.StartJob(w.Jid, fence, func(err error) {
			if err != nil { // it will not run it
				srv.through(w.Jid, fence, decision.NotSent)
			}
			told(err)
		})
		return
	case "ACK":
		k.Ack(w.Jid, fence, nil, told)
	case "FAIL":
		o = decision.Failed
		started := w.Started == nil || *w.Started
		k.Fail(w.Jid, fence, jobs.Reason(cmp.Or(strings.TrimPrefix(w.Type+": "+w.Message, ": "), "failed")), started, told)
	}
	delete(k.tracks, w.Jid)
	srv.through(w.Jid, fence, o)
}

// through ends the delivery that went out under a lease: its worker is through
// with it, or its word no longer counts.
func (s *Server) through(id string, fence uint64, o decision.AttemptOutcome) {
	for _, d := range s.deliveries {
		if d.given && d.attempt.Request.ID == id && d.attempt.Fence == fence {
			s.drop(d)
			s.core.AttemptEnded(d.attempt.Handle, o, decision.LoadReport{}, nil)
			return
		}
	}
}

// withFence tells a worker the fence of its lease, in the job's custom object.
func withFence(raw []byte, fence uint64) []byte {
	var job, custom map[string]json.RawMessage
	if json.Unmarshal(raw, &job) != nil {
		return raw // it was readable when it was taken on
	}
	if json.Unmarshal(job["custom"], &custom) != nil || custom == nil {
		custom = map[string]json.RawMessage{}
	}
	custom["fence"] = strconv.AppendUint(nil, fence, 10)
	job["custom"], _ = json.Marshal(custom) // raw messages that have been read marshal
	out, err := json.Marshal(job)
	if err != nil {
		return raw
	}
	return out
}

// kept obeys the commands that only make sense where something is kept.
func (n *session) kept(verb string, rest []byte) {
	if n.srv.kept == nil {
		n.say("-ERR Unknown command " + verb + ": no queue is durable here")
		return
	}
	switch verb {
	case "START":
		var w word
		if err := json.Unmarshal(rest, &w); err != nil || w.Jid == "" {
			n.say("-ERR MALFORMED START: a jid is needed")
			return
		}
		j, known := n.srv.kept.Get(w.Jid)
		if !known {
			n.say("-ERR VOID no such job")
			return
		}
		n.closeKept(verb, j, w)
	case "PUSHB":
		n.pushBulk(rest)
	case "QUEUE":
		n.queue(rest)
	case "MUTATE":
		n.mutate(rest)
	case "FLUSH":
		n.flushAll()
	case "TRACK":
		n.tracked(rest)
	}
}

// queue obeys QUEUE PAUSE, RESUME and REMOVE; * is all durable queues.
func (n *session) queue(rest []byte) {
	srv, k := n.srv, n.srv.kept
	fields := strings.Fields(string(rest))
	if len(fields) < 2 {
		n.say("-ERR MALFORMED QUEUE: PAUSE, RESUME or REMOVE, and queues")
		return
	}
	var names []string
	for _, q := range fields[1:] {
		class, known := srv.classes[q]
		switch {
		case q == "*":
			for name, class := range srv.classes {
				if k.classes[class] {
					names = append(names, name)
				}
			}
			slices.Sort(names)
		case !known || !k.classes[class]:
			n.say("-ERR UNKNOWN queue " + oneLine(fmt.Sprintf("%.40s", q)) + ": no durable one")
			return
		default:
			names = append(names, q)
		}
	}
	told := n.owe()
	switch op := strings.ToUpper(fields[0]); op {
	case "PAUSE", "RESUME":
		for i, name := range names {
			k.desk.Pause(name, op == "PAUSE", func(err error) {
				if i == len(names)-1 { // the last one's word holds all
					told(okOrError(err))
				}
			})
		}
		if len(names) == 0 {
			told("+OK")
		}
	case "REMOVE":
		k.move(jobs.Discard, "QUEUE REMOVE", func(j jobs.Job) bool { return j.State == jobs.Ready && slices.Contains(names, j.Class) })
		k.AfterSync(func(err error) { told(okOrError(err)) })
	default:
		told("-ERR MALFORMED QUEUE: PAUSE, RESUME or REMOVE")
	}
}

// move moves all jobs that are chosen, and tells why some are not.
func (k *keep) move(to jobs.Move, why jobs.Reason, chosen func(jobs.Job) bool) (last error) {
	var ids []string
	k.Each(func(j jobs.Job) {
		if chosen(j) {
			ids = append(ids, j.ID)
		}
	})
	for _, id := range ids {
		if err := k.Move(id, to, why, false); err != nil {
			last = err
		}
	}
	return last
}

// mutate obeys MUTATE.
func (n *session) mutate(rest []byte) {
	var m struct {
		Cmd    string `json:"cmd"`
		Target string `json:"target"`
		Filter struct {
			Jobtype string   `json:"jobtype"`
			Jids    []string `json:"jids"`
			Regexp  string   `json:"regexp"`
		} `json:"filter"`
	}
	if err := json.Unmarshal(rest, &m); err != nil {
		n.say("-ERR MALFORMED MUTATE: " + oneLine(err.Error()))
		return
	}
	state, known := map[string]jobs.State{"scheduled": jobs.Scheduled, "retries": jobs.Waiting, "dead": jobs.Dead}[m.Target]
	to, able := map[string]jobs.Move{"clear": jobs.Discard, "discard": jobs.Discard, "kill": jobs.Kill, "requeue": jobs.Requeue}[m.Cmd]
	if _, err := path.Match(m.Filter.Regexp, ""); !known || !able || err != nil {
		n.say("-ERR MALFORMED MUTATE: cmd is clear, discard, kill or requeue, target is scheduled, retries or dead, regexp has * for any text")
		return
	}
	told := n.owe()
	last := n.srv.kept.move(to, jobs.Reason("MUTATE "+m.Cmd), func(j jobs.Job) bool {
		if j.State != state || m.Cmd == "clear" {
			return j.State == state
		}
		var w work
		json.Unmarshal(j.Payload, &w)
		text, _ := path.Match(m.Filter.Regexp, strings.ReplaceAll(string(j.Payload), "/", " "))
		return (m.Filter.Jobtype == "" || m.Filter.Jobtype == cmp.Or(w.Jobtype, j.Class)) &&
			(m.Filter.Jids == nil || slices.Contains(m.Filter.Jids, j.ID)) && (m.Filter.Regexp == "" || text)
	})
	n.srv.kept.AfterSync(func(err error) {
		if err == nil && last != nil {
			err = fmt.Errorf("REFUSED %w", last)
		}
		told(okOrError(err))
	})
}

// flushAll obeys FLUSH where the operator lets it: all that waits is discarded.
// What is leased or in doubt stays.
func (n *session) flushAll() {
	k := n.srv.kept
	if !k.flush {
		n.say("-ERR REFUSED FLUSH is off here: durable.flush in the operator's file")
		return
	}
	told := n.owe()
	k.move(jobs.Discard, "FLUSH", func(j jobs.Job) bool {
		return j.State == jobs.Ready || j.State == jobs.Scheduled || j.State == jobs.Waiting || j.State == jobs.Dead
	})
	k.AfterSync(func(err error) { told(okOrError(err)) })
}

// trackStates are the protocol's names of states.
var trackStates = map[jobs.State]string{
	jobs.Accepted: "enqueued", jobs.Scheduled: "scheduled", jobs.Ready: "enqueued", jobs.Leased: "working", jobs.Started: "working",
	jobs.Waiting: "failed", jobs.Done: "success", jobs.Dead: "dead", jobs.Discarded: "discarded", jobs.InDoubt: "in doubt",
}

// tracked obeys TRACK GET and TRACK SET.
func (n *session) tracked(rest []byte) {
	k := n.srv.kept
	verb, rest := parseCommand(rest)
	switch verb {
	case "GET":
		id := string(rest)
		j, known := k.Get(id)
		state := "unknown"
		if known {
			state = trackStates[j.State]
		}
		raw, _ := json.Marshal(struct { // strings and numbers always marshal
			Jid   string      `json:"jid"`
			State string      `json:"state"`
			Why   jobs.Reason `json:"why,omitempty"`
			track
		}{id, state, j.Reason, k.tracks[id]})
		n.conn.Write(appendBulk(nil, raw))
	case "SET":
		var w word
		if err := json.Unmarshal(rest, &w); err != nil {
			n.say("-ERR MALFORMED TRACK: " + oneLine(err.Error()))
			return
		}
		j, known := k.Get(w.Jid)
		if !known || j.State != jobs.Leased && j.State != jobs.Started {
			n.say("-ERR UNKNOWN jid: no such job is in work")
			return
		}
		now := n.srv.core.Loop.Now()
		if until, err := time.Parse(time.RFC3339Nano, w.Until); err == nil {
			k.Extend(w.Jid, n.fence(j, w), min(time.Duration(until.UnixNano()), now+mostLease))
		}
		if len(k.tracks) >= mostTracks {
			clear(k.tracks) // of jobs whose workers never closed them
		}
		k.tracks[w.Jid] = track{w.Percent, w.Desc, time.Unix(0, int64(now)).UTC().Format(time.RFC3339)}
		n.say("+OK")
	default:
		n.say("-ERR MALFORMED TRACK: GET and a jid, or SET")
	}
}

// keptInfo adds what is kept to INFO.
func (s *Server) keptInfo(faktory map[string]any) {
	counts := s.kept.Counts()
	queues := map[string]int{}
	for name, class := range s.classes {
		if s.kept.classes[class] {
			queues[name] = s.kept.desk.Waiting(class)
		}
	}
	faktory["queues"], faktory["paused"] = queues, s.kept.desk.Paused()
	faktory["total_enqueued"] = counts[jobs.Ready] + counts[jobs.Accepted]
	tasks := faktory["tasks"].(map[string]any)
	for name, n := range map[string]int{"Scheduled": counts[jobs.Scheduled], "Retries": counts[jobs.Waiting], "Dead": counts[jobs.Dead],
		"InDoubt": counts[jobs.InDoubt], "Leased": counts[jobs.Leased] + counts[jobs.Started], "Done": counts[jobs.Done]} {
		tasks[name] = map[string]any{"size": n}
	}
}

// releaseTime is how long sessions may wait for the disk before they are cut off.
const releaseTime = time.Second

// release ends all sessions, each once what it asked for is on the disk, and
// closes the store: workers come back to the successor with what they hold.
func (s *Server) release(done func()) {
	loop, k := s.core.Loop, s.kept
	s.acceptor.Close()
	k.desk.Release()
	limit := loop.Now() + releaseTime
	var step func()
	step = func() {
		late := loop.Now() >= limit
		s.sessions.ForEach(func(_ uint64, n *session) {
			switch {
			case n.parked:
				n.conn.Write([]byte("$-1\r\n"))
				n.end()
			case !n.busy, late:
				n.end()
			}
		})
		if s.sessions.Len() > 0 {
			loop.After(5*time.Millisecond, step)
			return
		}
		if err := k.Service.Close(); err != nil {
			s.core.Log(fmt.Sprintf("the store: %v", err))
		}
		done()
	}
	step()
}
