package dispatch

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/invariant"
	"hollyyoke.example/hollyyoke/internal/settings"
	"hollyyoke.example/hollyyoke/internal/slotmap"
)

// This file owns reqs and their attempts: it turns what fronts and carriers
// report into the module's events, and carries out the module's actions. It
// must never decide by itself where a req goes, nor answer one twice.

// Request is what a req asks for, in no wire's words.
type Request struct {
	ID             string // the client's name for it
	Class          int
	Key            string // what it concerns; may be empty
	Target         string // path and query as the client wrote them; empty where its wire has none
	IdempotencyKey string // the client's idempotency key, by which backends know a repeat; may be empty
	Body           []byte // valid until Release
	Slots          float64
	Work           time.Duration // hinted run time; 0: no hint
	TimeLeft       time.Duration // how long the client waits, from Since on; 0: as long as the class says
	ReceivedAt     time.Duration // clock time from which Left runs
	ClientRetry    bool          // marked as a client's repeat

	Release func() // called once, when the job's bytes are needed no more; may be nil
	Leaser  Leaser // asked before each attempt of a job that is leased; nil: it is not
}

// Leaser is who leases a job to the backends that its attempts go to. Such a
// req is over with its first attempt that may have run: what comes next is its
// front's to say.
type Leaser interface {
	// Acquire asks for a lease. told is called once, later or at once, with its fence,
	// or 0 if there is none; it returns false if nobody wants the lease any more.
	Acquire(job *Request, backend string, told func(fence uint64) bool)
	// Ended tells how the attempt under a fence ended.
	Ended(job *Request, fence uint64, o decision.AttemptOutcome, neverRan bool, result []byte)
}

// Outcome is the kind of a final answer.
type Outcome uint8

// The verdicts. Rejected is a rejection, which promises that nothing has run.
const (
	Served Outcome = iota
	Rejected
	Failed
)

func (v Outcome) String() string { return [...]string{"served", "refused", "failed"}[v] }

// Response is a final answer.
type Response struct {
	Outcome    Outcome
	Body       []byte        // what the backend made; valid during the call only
	RetryAfter time.Duration // for Refused: when to come back; 0: not told
	MayHaveRun bool          // some attempt of the req may have had an effect
}

// FrontEnd is what hands in reqs. Answer is called once for each req it handed
// in, unless it hung up first.
type FrontEnd interface {
	Respond(token uint64, a Response)
}

// ClientWatcher is a Front that can see that a client has left before the event of
// it has come: the loop may be busy, or the end lie behind bytes nobody has read.
type ClientWatcher interface {
	// ClientLeft tells whether the client of a request has left.
	ClientLeft(token uint64) bool
	// RequestCancelled tells that the core has hung up a request for that reason.
	RequestCancelled(token uint64, mayHaveRun bool)
}

// Attempt is one attempt, as a carrier sees it.
type Attempt struct {
	Handle       uint64
	Worker       string
	Request      *Request
	Deadline     time.Duration // when the client gives up
	RepeatBy     time.Duration // a repeat that may run twice from then on must have left whole by then; 0: no bound
	RepeatUnsafe bool          // an answer to another request, taken for this one's, could make it run twice
	Number       int           // how many attempts came before
	Fence        uint64        // of its lease; 0: it has none
}

// WorkerClient takes attempts to backends. It reports how each ended by Ended, once,
// unless Stop came first.
type WorkerClient interface {
	Start(f Attempt)
	Cancel(handle uint64) (neverRan bool) // give it up
	CloseIdle(backend string)             // close idle connections
	CheckHealth(backend string)           // answer with Probed
	Subscribe()                           // ask for list changes from now on
}

// Refresher is a Carrier whose list of backends may be too old to act on. Refresh is
// called before each event that may make the module send; it suspends and resumes
// backends by what is known at that moment.
type Refresher interface {
	Refresh()
}

// answerMargin is by how much the final answer leaves before the client gives
// up. It covers the way there and a late timer on a shared core.
const answerMargin = 12 * time.Millisecond

// Dispatcher is one dispatcher. All its methods belong to the loop's goroutine.
type Dispatcher struct {
	Loop     *eventloop.Loop
	Settings decision.Settings
	Seed     uint64 // of the process, for what carriers draw at random
	Log      func(text string)

	// Trace tells each step of each req by the client's name for it; nil: nobody follows them.
	Trace func(id, step string, more ...any)

	// What a second process of the same dispatcher must know; nil while there is none.
	OnAccepted func(name uint64)                    // a req of that name has come
	OnReserved func(backend string, charge float64) // a cold backend got an attempt

	// Guard is passed by each start, send, repeat and close.
	Guard invariant.Guard

	// ClientOverride takes all attempts, in place of the sources that list their
	// backends; nil: those do. It is for measurements without backends.
	ClientOverride WorkerClient

	module      *decision.Machine
	reqs        slotmap.Map[req]
	outstanding slotmap.Map[outstanding]
	sources     []WorkerClient // those that list backends
	listed      map[string]listing
	left        map[string]time.Duration // when backends that drain or have gone were notified to
	ready       int                      // those listed that take new work
	pending     []decision.Event
	actions     []decision.Action
	handling    bool
	owed        int
	counts      Counts
	tallies     []ClassCounts // by class
	ids         ids
}

// ids are the names of reqs, hashed: those that are open, and the latest that
// were. Each is a client's own for good, so a second req of that name is none.
// The key, which no client knows, is the same in a process and its successor.
type ids struct {
	key  [16]byte
	open map[uint64]int
	past map[uint64]struct{}
	ring []uint64 // the past ones, in the order in which they ended
	next int
}

const pastIDs = 8192

func (s *ids) hash(id string) uint64 {
	var text [16 + 128]byte // longer names are cut by no front
	sum := sha256.Sum256(append(append(text[:0], s.key[:]...), id...))
	return binary.LittleEndian.Uint64(sum[:])
}

func (s *ids) drop(h uint64) {
	if s.open[h]--; s.open[h] <= 0 {
		delete(s.open, h)
	}
	s.bar(h)
}

// bar lets no req of a name in any more.
func (s *ids) bar(h uint64) {
	if _, ok := s.past[h]; ok {
		return
	}
	s.past[h] = struct{}{}
	if len(s.ring) < pastIDs {
		s.ring = append(s.ring, h)
		return
	}
	delete(s.past, s.ring[s.next])
	s.ring[s.next], s.next = h, (s.next+1)%pastIDs
}

// Counts tells what became of the reqs taken so far. Attempts are those assigned,
// Sent those of which the last byte left for a backend that its carrier reports.
type Counts struct{ Accepted, Served, Rejected, Failed, Cancelled, Attempts, Sent uint64 }

// ClassCounts counts the final answers to requests of one class, those of the fronts too.
type ClassCounts struct{ Served, Rejected, Failed uint64 }

type req struct {
	handle   uint64
	name     uint64 // its name, hashed
	front    FrontEnd
	token    uint64
	job      Request
	deadline time.Duration
	attempts []attempt
	out      int
	answered bool
	timer    eventloop.Deadline // the module's own, of the req's number
	due      eventloop.Deadline // its last moment
}

type attempt struct {
	handle   uint64        // 0: never started
	at       time.Duration // when it was assigned; its request leaves later
	neverRan bool
}

type outstanding struct {
	req     uint64
	attempt int
	backend string
	carrier WorkerClient
	sent    bool   // its last byte has left
	left    bool   // so its carrier says, or its backend has begun with it
	leasing bool   // it waits for its lease, and no carrier knows of it
	fence   uint64 // of its lease
}

type listing struct {
	entry  decision.Endpoint
	source WorkerClient
}

// New returns a core that knows no backend yet.
func New(loop *eventloop.Loop, s decision.Settings, seed uint64) (*Dispatcher, error) {
	m, err := decision.New(s, seed)
	if err != nil {
		return nil, err
	}
	var key [16]byte
	_, _ = rand.Read(key[:]) // never fails
	return &Dispatcher{
		Loop: loop, Settings: s, Seed: seed, Log: func(string) {}, module: m, listed: map[string]listing{}, left: map[string]time.Duration{},
		tallies: make([]ClassCounts, len(s.Classes)),
		ids:     ids{key: key, open: map[uint64]int{}, past: map[uint64]struct{}{}},
	}, nil
}

// TraceStep traces a step of the request of that id, or of none, where someone follows them.
func (c *Dispatcher) TraceStep(id, step string, more ...any) {
	if c.Trace != nil {
		c.Trace(id, step, more...)
	}
}

// RequestIDs tells the key of the names of reqs, and the names that are open or were
// lately, for a successor.
func (c *Dispatcher) RequestIDs() (key []byte, names []uint64) {
	for h := range c.ids.open {
		names = append(names, h)
	}
	return c.ids.key[:], append(names, c.ids.ring...)
}

// AdoptIDKey takes over the key of the names. No req may have come yet.
func (c *Dispatcher) AdoptIDKey(key []byte) { copy(c.ids.key[:], key) }

// BlockIDs lets no req of these names in: the other process has or had them.
func (c *Dispatcher) BlockIDs(names []uint64) {
	for _, h := range names {
		c.ids.bar(h)
	}
}

// ReservedElsewhere tells what the other process sent to a cold backend.
func (c *Dispatcher) ReservedElsewhere(backend string, charge float64) {
	c.handle(decision.Event{Kind: decision.ReservedElsewhere, Worker: backend, Reservation: charge})
}

// ExpireAll gives all reqs that are still open their last moment now.
func (c *Dispatcher) ExpireAll() {
	c.reqs.ForEach(func(_ uint64, r *req) { c.lastMoment(r) })
}

// IsKnownID tells whether a req of that name is open, or was lately. A front that
// lets another in would have two jobs pass for one: the backends turn it away,
// and the answer of either could be taken for the other's.
func (c *Dispatcher) IsKnownID(id string) bool {
	h := c.ids.hash(id)
	_, past := c.ids.past[h]
	return past || c.ids.open[h] > 0
}

// Unanswered is the number of reqs taken that have no final answer yet.
func (c *Dispatcher) Unanswered() int { return c.owed }

// Counts tells what became of the reqs taken so far.
func (c *Dispatcher) Counts() Counts { return c.counts }

// ClassCounts counts the final answers to requests of a class.
func (c *Dispatcher) ClassCounts(class int) ClassCounts { return c.tallies[class] }

// CountResponse counts a final answer that a front gave by itself, without a req.
func (c *Dispatcher) CountResponse(class int, v Outcome) {
	switch t := &c.tallies[class]; v {
	case Served:
		t.Served++
	case Rejected:
		t.Rejected++
	default:
		t.Failed++
	}
}

// WorkerCount is the number of backends that a source has listed, draining ones too.
func (c *Dispatcher) WorkerCount(source WorkerClient) (n int) {
	for _, l := range c.listed {
		if l.source == source {
			n++
		}
	}
	return n
}

// EjectedCount is the number of those that the module avoids as failing.
func (c *Dispatcher) EjectedCount(source WorkerClient) (n int) {
	for _, name := range c.module.Ejected() {
		if l, ok := c.listed[name]; ok && l.source == source {
			n++
		}
	}
	return n
}

// ReadyWorkers is the number of backends listed that take new work.
func (c *Dispatcher) ReadyWorkers() (ready int) { return c.ready }

// Accept takes a req. From now on a final answer is owed to front under token.
// It returns the req's handle, for HangUp; the answer may come before it returns.
func (c *Dispatcher) Accept(front FrontEnd, token uint64, job Request) uint64 {
	now := c.Loop.Now()
	r := &req{front: front, token: token, job: job}
	left := c.Settings.Classes[job.Class].Deadline
	if job.TimeLeft > 0 {
		left = min(left, job.TimeLeft)
	}
	if job.ReceivedAt == 0 {
		job.ReceivedAt = now
	}
	r.deadline = max(job.ReceivedAt+left-answerMargin, now)
	r.handle = c.reqs.Insert(r)
	r.name = c.ids.hash(job.ID)
	c.ids.open[r.name]++
	if c.OnAccepted != nil {
		c.OnAccepted(r.name)
	}
	r.due.Fire = func() { c.lastMoment(r) }
	r.timer.Fire = func() { c.handle(decision.Event{Kind: decision.TimerFired, Timer: r.handle}) }
	c.Loop.Set(&r.due, r.deadline)
	c.owed++
	c.counts.Accepted++
	if c.Trace != nil {
		c.Trace(job.ID, "taken", "class", c.Settings.Classes[job.Class].Name, "left", r.deadline-now, "work", job.Work, "owed", c.owed)
	}
	c.handle(decision.Event{
		Kind: decision.RequestArrived, Request: r.handle, Class: job.Class, Slots: job.Slots, Work: job.Work,
		TimeLeft: max(r.deadline-now, 0), ClientRetry: job.ClientRetry, Key: job.Key,
	})
	return r.handle
}

// Cancel tells that the client of a req wants no answer any more. It returns
// whether the req may have run by then.
func (c *Dispatcher) Cancel(handle uint64) (mayHaveRun bool) {
	r := c.reqs.Get(handle)
	if r == nil || r.answered {
		return false
	}
	defer func() { mayHaveRun = r.mayHaveRun() }() // calling an attempt off may show that it never ran
	c.counts.Cancelled++
	if c.Trace != nil {
		c.Trace(r.job.ID, "hung up", "attempts", len(r.attempts))
	}
	c.settle(r)
	c.handle(decision.Event{Kind: decision.ClientDisconnected, Request: handle})
	c.tidy(r)
	return false
}

// ClientGone tells whether the client of an attempt's request has left. If so, the
// request has been hung up and the attempt stopped. A carrier asks it right
// before the bytes that let the attempt begin.
func (c *Dispatcher) ClientGone(handle uint64) bool {
	f := c.outstanding.Get(handle)
	if f == nil {
		return true
	}
	r := c.reqs.Get(f.req)
	return !r.answered && c.abandoned(r)
}

// abandoned hangs up a request whose client has left. A leased job is wanted whoever waits.
func (c *Dispatcher) abandoned(r *req) bool {
	front, ok := r.front.(ClientWatcher)
	if !ok || r.job.Leaser != nil || !front.ClientLeft(r.token) {
		return false
	}
	front.RequestCancelled(r.token, c.Cancel(r.handle))
	return true
}

func (r *req) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverRan })
}

// lastMoment guards against a lost req: what is still out is overdue, and if
// the module has no word even then, the req has failed.
func (c *Dispatcher) lastMoment(r *req) {
	for i := 0; i < len(r.attempts) && c.reqs.Get(r.handle) == r; i++ {
		if h := r.attempts[i].handle; c.outstanding.Get(h) != nil {
			c.stop(h, decision.TimedOut)
		}
	}
	if !r.answered {
		c.answer(r, Response{Outcome: Failed})
		c.handle(decision.Event{Kind: decision.ClientDisconnected, Request: r.handle})
		c.tidy(r)
	}
}

// answer gives the one final answer.
func (c *Dispatcher) answer(r *req, a Response) {
	if r.answered {
		return
	}
	a.MayHaveRun = r.mayHaveRun()
	c.CountResponse(r.job.Class, a.Outcome)
	switch a.Outcome {
	case Served:
		c.counts.Served++
	case Rejected:
		c.counts.Rejected++
	default:
		c.counts.Failed++
	}
	if c.Trace != nil {
		c.Trace(r.job.ID, a.Outcome.String(), "attempts", len(r.attempts), "may_have_run", a.MayHaveRun, "left", r.deadline-c.Loop.Now(),
			"retry_after", a.RetryAfter)
	}
	c.settle(r)
	r.front.Respond(r.token, a)
}

func (c *Dispatcher) settle(r *req) {
	r.answered = true
	c.owed--
	c.Loop.Clear(&r.timer)
}

// tidy drops a req that is over. What has not left for its backend by then never
// does, also where the settings let nothing be called off; but for an attempt
// that has its lease, which is wanted whoever waits, and is its front's to end. The last moment
// stands until then: an attempt that goes on after the answer ends there too.
func (c *Dispatcher) tidy(r *req) {
	for i := 0; r.answered && i < len(r.attempts); i++ {
		if f := c.outstanding.Get(r.attempts[i].handle); f != nil && !f.left && (f.leasing || r.job.Leaser == nil) {
			c.stop(r.attempts[i].handle, decision.Cancelled)
		}
	}
	if r.answered && r.out == 0 && c.reqs.Get(r.handle) == r {
		c.Loop.Clear(&r.due)
		c.reqs.Remove(r.handle)
		c.ids.drop(r.name)
		if r.job.Release != nil {
			r.job.Release()
		}
	}
}

// ---- What carriers report.

// AttemptEnded tells how an attempt ended. For Completed, result is the body of the answer.
func (c *Dispatcher) AttemptEnded(handle uint64, o decision.AttemptOutcome, load decision.LoadReport, result []byte) {
	f := c.outstanding.Get(handle)
	if f == nil {
		return
	}
	r := c.reqs.Get(f.req)
	if c.Trace != nil {
		c.Trace(r.job.ID, "attempt ended", "number", f.attempt, "backend", f.backend, "outcome", o, "sent", f.sent, "load", load)
	}
	c.outstanding.Remove(handle)
	r.out--
	r.attempts[f.attempt].neverRan = o == decision.Saturated && !c.Settings.SaturatedMayHaveRun ||
		o == decision.ConnectionRefused || o == decision.NotSent
	if f.fence != 0 {
		r.job.Leaser.Ended(&r.job, f.fence, o, r.attempts[f.attempt].neverRan, result)
	}
	switch {
	case o == decision.Completed:
		c.answer(r, Response{Outcome: Served, Body: result})
	case f.fence != 0 && !r.attempts[f.attempt].neverRan:
		c.answer(r, Response{Outcome: Failed})
	}
	c.handle(decision.Event{
		Kind: decision.AttemptEnded, Request: f.req, Attempt: f.attempt, Worker: f.backend,
		Outcome: o, Answered: r.answered, Load: load,
	})
	c.tidy(r)
}

// AttemptSent tells that the last byte of an attempt has left; told again, it counts once.
func (c *Dispatcher) AttemptSent(handle uint64) {
	if f := c.outstanding.Get(handle); f != nil && !f.sent {
		f.sent, f.left = true, true
		c.counts.Sent++
		c.checkSent(f)
		if r := c.reqs.Get(f.req); c.Trace != nil && r != nil {
			c.Trace(r.job.ID, "sent", "number", f.attempt, "backend", f.backend)
		}
	}
}

// AttemptStarted tells that a backend has begun with an attempt.
func (c *Dispatcher) AttemptStarted(handle uint64) {
	if f := c.outstanding.Get(handle); f != nil {
		f.left = true
		if r := c.reqs.Get(f.req); c.Trace != nil && r != nil {
			c.Trace(r.job.ID, "started", "number", f.attempt, "backend", f.backend)
		}
		c.handle(decision.Event{
			Kind: decision.AttemptStarted, Request: f.req, Attempt: f.attempt, Worker: f.backend,
		})
	}
}

// AttemptProgressed tells what share of an attempt is done.
func (c *Dispatcher) AttemptProgressed(handle uint64, share float64) {
	if f := c.outstanding.Get(handle); f != nil {
		c.handle(decision.Event{
			Kind: decision.AttemptProgressed, Request: f.req, Attempt: f.attempt, Worker: f.backend, Fraction: share,
		})
	}
}

// HealthChecked tells a backend's load, asked for or not.
func (c *Dispatcher) HealthChecked(backend string, o decision.AttemptOutcome, load decision.LoadReport) {
	c.handle(decision.Event{Kind: decision.HealthChecked, Worker: backend, Outcome: o, Load: load})
}

// Reconfigure makes changes of the settings, all or none: an error names the key that is refused.
// Requests that are open go on with what was decided for them.
func (c *Dispatcher) Reconfigure(changes []settings.Change) error {
	next := c.Settings
	if err := settings.Apply(&next, changes); err != nil {
		return err
	}
	c.Settings = next
	c.handle(decision.Event{Kind: decision.SettingsChanged, Settings: &next})
	return nil
}

// AddSource makes a carrier a source of backends.
func (c *Dispatcher) AddSource(source WorkerClient) { c.sources = append(c.sources, source) }

// UpdateWorkers takes in what a source says of its backends. What another source lists
// stays: a complete list is complete for its own source alone.
func (c *Dispatcher) UpdateWorkers(source WorkerClient, kind decision.ListKind, entries []decision.Endpoint) {
	ev := decision.Event{Kind: decision.ListUpdated, ListKind: kind, Endpoints: entries}
	if kind == decision.ListSnapshot || kind == decision.ListCached {
		for name, l := range c.listed {
			if l.source == source {
				c.unlist(name)
				c.noteLeft(decision.Endpoint{Name: name, State: decision.Removed})
			}
		}
		var others []decision.Endpoint
		for _, l := range c.listed {
			others = append(others, l.entry)
		}
		slices.SortFunc(others, func(a, b decision.Endpoint) int { // a map's order would make runs differ
			if a.Name < b.Name {
				return -1
			}
			return 1
		})
		ev.Endpoints = append(slices.Clone(entries), others...)
	}
	if c.Trace != nil {
		c.Trace("", "list", "kind", kind, "entries", len(entries))
	}
	for _, e := range entries {
		c.unlist(e.Name)
		c.noteLeft(e)
		if e.State != decision.Removed {
			c.listed[e.Name] = listing{e, source}
		}
		if e.State == decision.Running {
			c.ready++
		}
	}
	c.handle(ev)
}

// noteLeft books when a backend was notified to drain or to have gone.
func (c *Dispatcher) noteLeft(e decision.Endpoint) {
	now := c.Loop.Now()
	if e.State == decision.Running {
		delete(c.left, e.Name)
	} else if _, known := c.left[e.Name]; !known {
		c.left[e.Name] = now
	}
	if len(c.left) > mostLeft { // only what lately left can still be sent to by mistake
		for name, at := range c.left {
			if now-at > leftKept {
				delete(c.left, name)
			}
		}
	}
}

const (
	mostLeft = 4096 // backends that have left and are remembered, before old ones are forgotten
	leftKept = time.Minute
)

// SuspendWorkers tells that a source cannot answer for backends of its list for now: they
// get nothing until Resume. What is out at them goes on.
func (c *Dispatcher) SuspendWorkers(source WorkerClient, backends []string) {
	c.suspension(decision.WorkersSuspended, source, backends)
}

// ResumeWorkers takes a suspension back.
func (c *Dispatcher) ResumeWorkers(source WorkerClient, backends []string) {
	c.suspension(decision.WorkersResumed, source, backends)
}

func (c *Dispatcher) suspension(kind decision.EventKind, source WorkerClient, backends []string) {
	var entries []decision.Endpoint
	for _, name := range backends {
		if l, ok := c.listed[name]; ok && l.source == source {
			entries = append(entries, l.entry)
		}
	}
	if len(entries) > 0 {
		c.handle(decision.Event{Kind: kind, Endpoints: entries})
	}
}

// refresh brings up to date what the sources know of the age of their lists.
func (c *Dispatcher) refresh() {
	for _, s := range c.sources {
		if aging, ok := s.(Refresher); ok {
			aging.Refresh()
		}
	}
}

// unlist forgets a backend, if it is listed.
func (c *Dispatcher) unlist(name string) {
	l, ok := c.listed[name]
	if ok && l.entry.State == decision.Running {
		c.ready--
	}
	delete(c.listed, name)
}

// ---- What the module wants done.

// handle feeds the module. What an action brings about at once waits its turn.
func (c *Dispatcher) handle(ev decision.Event) {
	outermost := !c.handling
	if outermost {
		c.handling = true
		c.refresh() // what that tells the module comes first
	}
	c.pending = append(c.pending, ev)
	if !outermost {
		return
	}
	for len(c.pending) > 0 {
		ev := c.pending[0]
		c.pending = append(c.pending[:0], c.pending[1:]...)
		c.actions = c.module.Handle(c.Loop.Now(), ev, c.actions[:0])
		for i := range c.actions {
			c.act(&c.actions[i])
		}
	}
	c.handling = false
}

func (c *Dispatcher) act(a *decision.Action) {
	switch a.Kind {
	case decision.Assign:
		c.assign(a.Request, a.Worker, a.Reservation)
	case decision.Reject, decision.Fail:
		if r := c.reqs.Get(a.Request); r != nil {
			answer := Response{Outcome: Failed}
			if a.Kind == decision.Reject {
				answer = Response{Outcome: Rejected, RetryAfter: a.Delay}
			}
			c.answer(r, answer)
			c.tidy(r)
		}
	case decision.CancelAttempt:
		if r := c.reqs.Get(a.Request); r != nil && a.Attempt < len(r.attempts) {
			c.stop(r.attempts[a.Attempt].handle, decision.Cancelled)
		}
	case decision.SetTimer:
		c.setTimer(a.Timer, c.Loop.Now()+a.Delay)
	case decision.CheckHealth:
		if l, ok := c.listed[a.Worker]; ok {
			c.carrier(l).CheckHealth(a.Worker)
		}
	case decision.CloseIdle:
		if l, ok := c.listed[a.Worker]; ok {
			c.carrier(l).CloseIdle(a.Worker)
		}
	case decision.Subscribe:
		for _, s := range c.sources {
			s.Subscribe()
		}
	case decision.Log:
		c.Log(a.Text)
	}
}

func (c *Dispatcher) setTimer(number uint64, at time.Duration) {
	if r := c.reqs.Get(number); r != nil {
		if !r.answered {
			c.Loop.Set(&r.timer, at)
		}
		return
	}
	c.Loop.Set(&eventloop.Deadline{Fire: func() {
		c.handle(decision.Event{Kind: decision.TimerFired, Timer: number})
	}}, at)
}

// carrier is who takes attempts to a backend.
func (c *Dispatcher) carrier(l listing) WorkerClient {
	if c.ClientOverride != nil {
		return c.ClientOverride
	}
	return l.source
}

// start is what the guard must know of an attempt of a request, the nth from 0 on.
func (c *Dispatcher) start(r *req, n int) invariant.Start {
	return invariant.Start{
		Now: c.Loop.Now(), Deadline: r.deadline, Answered: r.answered,
		NonIdempotent: c.Settings.Classes[r.job.Class].Idempotency == decision.NonIdempotent,
		MayHaveRun:    slices.ContainsFunc(r.attempts[:n], func(a attempt) bool { return !a.neverRan }),
	}
}

// checkSent checks an attempt whose last byte has left.
func (c *Dispatcher) checkSent(f *outstanding) {
	r := c.reqs.Get(f.req)
	if r == nil {
		return
	}
	at, left := c.left[f.backend]
	start := c.start(r, f.attempt)
	c.Guard.CheckSent(start, invariant.Send{
		Now: start.Now, Deadline: r.deadline, Leaving: left, LeavingSince: at, Grace: c.Settings.DrainGrace,
	}, "request "+r.job.ID+" to "+f.backend)
}

// assign starts the next attempt of a req.
func (c *Dispatcher) assign(handle uint64, backend string, charge float64) {
	r := c.reqs.Get(handle)
	if r == nil {
		c.Log("the module assigned a req that is over")
		return
	}
	n := len(r.attempts)
	l, ok := c.listed[backend]
	if !r.answered {
		c.abandoned(r) // guards against an attempt for a client whose end has not been told yet
	}
	_, may := c.Guard.MayStart(c.start(r, n))
	if !may || !ok || n >= max(c.Settings.MaxAttempts, 1) {
		r.attempts = append(r.attempts, attempt{neverRan: true})
		c.handle(decision.Event{
			Kind: decision.AttemptEnded, Request: handle, Attempt: n, Worker: backend,
			Outcome: decision.NotSent, Answered: r.answered,
		})
		return
	}
	h := c.outstanding.Insert(&outstanding{req: handle, attempt: n, backend: backend, carrier: c.carrier(l)})
	until := c.until(r)
	r.attempts = append(r.attempts, attempt{handle: h, at: c.Loop.Now()})
	r.out++
	c.counts.Attempts++
	if charge > 0 && c.OnReserved != nil {
		c.OnReserved(backend, charge)
	}
	if c.Trace != nil {
		c.Trace(r.job.ID, "attempt", "number", n, "backend", backend, "charge", charge)
	}
	start := Attempt{
		Handle: h, Worker: backend, Request: &r.job, Deadline: r.deadline, RepeatBy: until, Number: n,
		RepeatUnsafe: c.Settings.Classes[r.job.Class].Idempotency != decision.Idempotent,
	}
	if r.job.Leaser == nil {
		c.carrier(l).Start(start)
		return
	}
	f := c.outstanding.Get(h)
	f.leasing = true
	r.job.Leaser.Acquire(&r.job, backend, func(fence uint64) bool {
		if c.outstanding.Get(h) != f {
			return false
		}
		if f.leasing, f.fence = false, fence; fence == 0 {
			c.AttemptEnded(h, decision.NotSent, decision.LoadReport{}, nil)
			return true
		}
		start.Fence = fence
		c.carrier(l).Start(start)
		return true
	})
}

// until is the last moment for a repeat of a req to leave, 0 where nothing binds
// it: backends drop a repeat that arrives within the window of the first attempt
// that may have run. It counts from before that one left, and half of the time
// allowed for a connect, which goes there and back, is left to the way.
func (c *Dispatcher) until(r *req) (until time.Duration) {
	class := &c.Settings.Classes[r.job.Class]
	for _, a := range r.attempts {
		if end := a.at + class.DedupWindow - c.Settings.ConnectTimeout/2; class.Idempotency == decision.Deduplicated && !a.neverRan && (until == 0 || end < until) {
			until = end
		}
	}
	return until
}

// stop gives an attempt up. If it is known never to have run, that is what is told.
func (c *Dispatcher) stop(handle uint64, o decision.AttemptOutcome) {
	f := c.outstanding.Get(handle)
	if f == nil {
		return
	}
	if f.leasing || f.carrier.Cancel(handle) {
		o = decision.NotSent
	}
	c.AttemptEnded(handle, o, decision.LoadReport{}, nil)
}
