// Package control is the admin API: a thin front that answers one call a
// connection, tells the core's figures and passes on what operators want done.
// It words and carries; it must never count, decide when the dispatcher may
// leave service, share descriptors with the clients' front, nor let a caller
// that says nothing keep out one that speaks.
package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/invariant"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/slotmap"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// MaxCalls is how many connections the API holds at a time. Their descriptors are
// its own: no number of clients takes one of them.
const MaxCalls = 16

const (
	callTime  = 3 * time.Second        // for a call to arrive whole, from its accept on
	youngTime = 300 * time.Millisecond // within which a caller is about to speak
)

// Operations is what the API speaks for.
type Operations struct {
	Ready           func() bool             // whether this process takes clients
	SetOutOfService func(out bool) error    // out of service or back in; an error is a no, worded for the caller
	Gate            *listener.Gate          // who decides on connections; nil: nobody
	Jobs            func() *durable.Service // the durable jobs; nil: there are none here

	// Membership tells how the dispatcher hears of workers and settings; nil: not told.
	Membership func() discovery.Stats
}

// API is the admin API. It belongs to the loop's goroutine.
type API struct {
	core    *dispatch.Dispatcher
	engine  *transport.Engine
	members dispatch.WorkerClient // whose backends are the membership workers
	desk    Operations
	calls   slotmap.Map[call]
	admit   *connlimit.Limiter // who goes when there is no room
	ended   []*call            // answered, on their way out
}

// call is one connection until its call has been answered.
type call struct {
	api   *API
	token uint64
	id    connlimit.ID
	conn  *transport.Conn
	in    *transport.Buffer
	read  httpwire.CallReader
	due   eventloop.Deadline
}

// New returns an API; members is the carrier whose backends the figures are about.
func New(c *dispatch.Dispatcher, e *transport.Engine, members dispatch.WorkerClient, desk Operations) *API {
	a, err := connlimit.New(connlimit.Config{Capacity: MaxCalls, Grace: youngTime, Anonymous: true})
	if err != nil {
		panic(err) // the figures are constants
	}
	return &API{core: c, engine: e, members: members, desk: desk, admit: a}
}

// Listen opens the API at an address, which it returns.
func (d *API) Listen(addr string) (string, error) {
	a, err := d.engine.Listen(addr, MaxCalls, true, d.accept, d.room)
	if err != nil {
		return "", err
	}
	return a.FixLimit().String(), nil
}

func (d *API) accept(c *transport.Conn) transport.Handler {
	k := &call{api: d, conn: c}
	k.token = d.calls.Insert(k)
	k.id = d.admit.Adopt(d.core.Loop.Now(), k.token)
	k.due.Fire = k.expire
	d.core.Loop.Set(&k.due, d.core.Loop.Now()+callTime)
	return k
}

// room makes room for the next caller: the oldest that has said nothing goes,
// else the oldest that has its answer, else the oldest half call. Guards the
// callers that speak against those that only hold the line. One that has just
// come counts as no silent one, for its call is on the way: among half calls it
// was the only one that had not spoken, and was closed.
func (d *API) room() {
	d.prune()
	if d.calls.Len()+len(d.ended) < MaxCalls { // some have gone since it was full
		return
	}
	now := d.core.Loop.Now()
	token, _, ok := d.admit.EvictionCandidate(now, connlimit.ForUnknown, false, nil)
	if !ok {
		token, _, ok = d.admit.EvictionCandidate(now, connlimit.ForMemory, false, nil)
	}
	if !ok { // all have just come
		token, _, ok = d.admit.EvictionCandidate(now+youngTime, connlimit.ForUnknown, false, nil)
	}
	if !ok {
		return
	}
	if k := d.calls.Get(token); k != nil {
		k.forget()
		k.conn.Close()
		return
	}
	for _, k := range d.ended {
		if k.token == token {
			k.conn.Close()
		}
	}
	d.prune()
}

// prune forgets the answered ones that have gone.
func (d *API) prune() {
	d.ended = slices.DeleteFunc(d.ended, func(k *call) bool {
		if k.conn.Handle == 0 {
			d.admit.Closed(k.id)
		}
		return k.conn.Handle == 0
	})
}

// OnData takes in what the caller sent.
func (k *call) OnData(_ *transport.Conn, b *transport.Buffer) {
	if k.in == nil {
		k.in = b
		k.api.admit.RequestStarted(k.api.core.Loop.Now(), k.id)
	} else {
		fits := k.in.Append(b.Bytes())
		k.api.engine.Pool.Put(b)
		if !fits {
			k.answer(413, "the call is too long\n", "")
			return
		}
	}
	c, whole, err := k.read.Read(k.in.Bytes())
	switch {
	case err != nil:
		k.answer(httpwire.StatusOf(err), err.Error()+"\n", "")
	case whole:
		k.serve(c)
	}
}

// OnClosed is told that the caller has gone.
func (k *call) OnClosed(*transport.Conn, error) { k.forget() }

// expire ends a call that has not come whole in time.
func (k *call) expire() {
	if k.in == nil {
		k.forget()
		k.conn.Close()
		return
	}
	k.answer(408, "the call did not come in time\n", "")
}

func (k *call) forget() {
	k.api.admit.Closed(k.id)
	k.api.calls.Remove(k.token)
	k.api.core.Loop.Clear(&k.due)
	k.api.engine.Pool.Put(k.in)
	k.in = nil
}

// serve answers one whole call.
func (k *call) serve(c httpwire.Call) {
	d := k.api
	method := "GET"
	var act func()
	switch c.Path {
	case "/control/ready":
		act = func() {
			if !d.desk.Ready() {
				k.answer(503, "not ready\n", "")
				return
			}
			k.answer(200, "ready\n", "")
		}
	case "/control/counters":
		act = func() { k.figures() }
	case "/control/invariants":
		act = func() { k.invariants() }
	case "/control/out-of-service":
		method, act = "PUT", func() { k.service(true) }
	case "/control/in-service":
		method, act = "PUT", func() { k.service(false) }
	case "/control/membership":
		act = k.membership
	case "/control/connections":
		act = k.connections
	case "/control/connections/bar":
		method, act = "PUT", func() { k.bar(c.Query, true) }
	case "/control/connections/unbar":
		method, act = "PUT", func() { k.bar(c.Query, false) }
	case "/control/jobs":
		act = func() { k.jobs(c.Query) }
	case "/control/jobs/show":
		act = func() { k.show(c.Query) }
	case "/control/jobs/snapshot":
		method, act = "PUT", func() { k.snapshot(c.Query) }
	case "/control/jobs/settle", "/control/jobs/retry", "/control/jobs/discard":
		method, act = "PUT", func() { k.decide(strings.TrimPrefix(c.Path, "/control/jobs/"), c.Query) }
	default:
		k.answer(404, "no such call\n", "")
		return
	}
	if c.Method != method {
		k.answer(405, method+" only\n", "Allow: "+method+"\r\n")
		return
	}
	if strings.HasPrefix(c.Path, "/control/jobs") && (d.desk.Jobs == nil || d.desk.Jobs() == nil) {
		k.answer(409, "no queue is durable here: no operator's file says so\n", "")
		return
	}
	act()
}

// Bounds of one page of jobs: what is answered, and what is looked at for it, so
// that a million jobs hold nobody up.
const (
	pageJobs = 100
	pageLook = 20_000
)

// jobs lists durable jobs, a page at a time.
func (k *call) jobs(query string) {
	values, err := url.ParseQuery(query)
	var after uint64
	if text := values.Get("after"); err == nil && text != "" {
		after, err = strconv.ParseUint(text, 10, 64)
	}
	chosen, bad := durable.Filter(values.Get("state"), values.Get("class"))
	if err = errors.Join(err, bad); err != nil {
		k.answer(400, err.Error()+"\n", "")
		return
	}
	page := struct {
		Jobs []durable.View `json:"jobs"`
		Next uint64         `json:"next,omitempty"` // go on with after=; 0: there are no more
	}{Jobs: []durable.View{}}
	list, next := k.api.desk.Jobs().Page(after, pageJobs, pageLook, chosen)
	for _, j := range list {
		page.Jobs = append(page.Jobs, durable.NewView(j, values.Get("full") == "true"))
	}
	page.Next = next
	k.tell(page)
}

// show tells all that is known of a job.
func (k *call) show(query string) {
	values, _ := url.ParseQuery(query)
	j, known := k.api.desk.Jobs().Get(values.Get("id"))
	if !known {
		k.answer(404, "no such job\n", "")
		return
	}
	k.tell(durable.NewView(j, true))
}

// tell answers with JSON.
func (k *call) tell(what any) {
	text, err := json.Marshal(what)
	if err != nil {
		k.answer(500, err.Error()+"\n", "")
		return
	}
	k.answer(200, string(text)+"\n", "Content-Type: application/json\r\n")
}

// decide carries out an operator's word about a job; the answer comes once the disk has it.
func (k *call) decide(act, query string) {
	s := k.api.desk.Jobs()
	values, err := url.ParseQuery(query)
	id, reason := values.Get("id"), values.Get("reason")
	ran := values.Get("ran")
	switch {
	case err != nil || id == "" || reason == "":
		k.answer(400, "id and reason are needed\n", "")
		return
	case act == "settle" && ran != "true" && ran != "false":
		k.answer(400, "ran: true or false is needed\n", "")
		return
	case act == "settle":
		err = s.Resolve(id, ran == "true", jobs.Reason(reason))
	case act == "retry":
		err = s.Move(id, jobs.Requeue, jobs.Reason(reason), true)
	default:
		err = s.Move(id, jobs.Discard, jobs.Reason(reason), true)
	}
	if err != nil {
		k.answer(409, err.Error()+"\n", "")
		return
	}
	s.AfterSync(k.done)
}

// done answers a call whose work has been done elsewhere.
func (k *call) done(err error) {
	switch {
	case k.api.calls.Get(k.token) != k: // the caller has gone
	case err != nil:
		k.answer(500, err.Error()+"\n", "")
	default:
		k.answer(200, "done\n", "")
	}
}

// snapshot writes a copy of the store; a call that it outlasts ends, the copy does not.
func (k *call) snapshot(query string) {
	values, _ := url.ParseQuery(query)
	k.api.core.Loop.Clear(&k.due)
	k.api.desk.Jobs().Snapshot(values.Get("name"), k.done)
}

// membership tells which version of the list is in force, and what it took to hear of it.
func (k *call) membership() {
	if k.api.desk.Membership == nil {
		k.answer(409, "membership is not told here\n", "")
		return
	}
	k.tell(k.api.desk.Membership())
}

const undecided = "connections are not decided on: no operator's file says so\n"

// connections tells who is there and who was refused.
func (k *call) connections() {
	e := k.api.desk.Gate
	if e == nil {
		k.answer(409, undecided, "")
		return
	}
	used, floor, total := e.Budget.Usage()
	d := struct {
		connlimit.View
		Descriptors map[string]map[string]int `json:"descriptors"`
		Total       int                       `json:"descriptors_total"`
	}{e.Limiter.Snapshot(k.api.core.Loop.Now()), map[string]map[string]int{}, total}
	for kind := range connlimit.DescriptorKinds {
		d.Descriptors[kind.String()] = map[string]int{"used": used[kind], "floor": floor[kind]}
	}
	k.tell(d)
}

const longestBar = 7 * 24 * time.Hour

// bar keeps a prefix out for a time, or lets it in again. Its sessions on which
// nothing is owed end.
func (k *call) bar(query string, out bool) {
	e := k.api.desk.Gate
	if e == nil {
		k.answer(409, undecided, "")
		return
	}
	values, err := url.ParseQuery(query)
	text := values.Get("prefix")
	prefix, bad := netip.ParsePrefix(text)
	if addr, one := netip.ParseAddr(text); one == nil {
		prefix, bad = netip.PrefixFrom(addr, addr.BitLen()), nil
	}
	if err != nil || bad != nil {
		k.answer(400, "prefix: not an address or a prefix such as 10.1.2.0/24\n", "")
		return
	}
	if !out {
		if !e.Limiter.Unblock(prefix) {
			k.answer(409, prefix.Masked().String()+" is not barred\n", "")
			return
		}
		k.api.core.Log("let in again: " + prefix.Masked().String())
		k.answer(200, "let in again\n", "")
		return
	}
	span, err := time.ParseDuration(values.Get("for"))
	if err != nil || span <= 0 || span > longestBar {
		k.answer(400, "for: not a time such as 15m, up to 168h\n", "")
		return
	}
	now := k.api.core.Loop.Now()
	if err := e.Limiter.Block(now, prefix, now+span); err != nil {
		k.answer(409, err.Error()+"\n", "")
		return
	}
	ended := e.EvictPrefix(prefix.Masked())
	k.api.core.Log(fmt.Sprintf("barred for %v: %s, %d sessions ended", span, prefix.Masked(), ended))
	k.answer(200, fmt.Sprintf("barred, %d sessions ended\n", ended), "")
}

func (k *call) service(out bool) {
	if err := k.api.desk.SetOutOfService(out); err != nil {
		k.answer(409, err.Error()+"\n", "")
		return
	}
	text := "in service\n"
	if out {
		text = "out of service\n"
	}
	k.answer(200, text, "")
}

// invariants tells, by rule, what the guard kept from happening, and what happened
// all the same.
func (k *call) invariants() {
	guard := &k.api.core.Guard
	k.tell(struct {
		Prevented invariant.Counts `json:"prevented"`
		Violated  invariant.Counts `json:"violated"`
	}{guard.Prevented(), guard.Violated()})
}

// figures words what the core has counted.
func (k *call) figures() {
	c, members := k.api.core, k.api.members
	f := struct {
		Succeeded   map[string]uint64 `json:"succeeded"`
		Declined    map[string]uint64 `json:"declined"`
		Aborted     map[string]uint64 `json:"aborted"`
		Forwards    uint64            `json:"forwards"`
		Outstanding int               `json:"outstanding"`
		Discovered  int               `json:"discovered"`
		Ejected     int               `json:"ejected"`
	}{
		map[string]uint64{}, map[string]uint64{}, map[string]uint64{}, c.Counts().Sent,
		c.Unanswered(), c.WorkerCount(members), c.EjectedCount(members),
	}
	for i, class := range c.Settings.Classes {
		t := c.ClassCounts(i)
		f.Succeeded[class.Name], f.Declined[class.Name], f.Aborted[class.Name] = t.Served, t.Rejected, t.Failed
	}
	k.tell(f)
}

// answer gives the one answer and ends the connection.
func (k *call) answer(status int, text, fields string) {
	d := k.api
	k.forget()
	k.conn.Write(httpwire.AppendResponse(nil, status, []byte(text), 0, true, fields))
	k.conn.CloseGracefully()
	d.prune()
	now := d.core.Loop.Now()
	k.id = d.admit.Adopt(now, k.token) // as one that has what it came for
	d.admit.BecameIdle(now, k.id, true)
	d.ended = append(d.ended, k)
}
