package relay

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// This file owns the client of discovery, or of another relay. It must never
// hand on a part of an object, nor follow an upstream that is older than the state.

const (
	connectTimeout  = time.Second
	answerTimeout   = 2500 * time.Millisecond // up to the head of an answer: discovery takes calls in turn
	silenceTimeout  = 3 * time.Second         // between bytes; a watch has a line every 2 s at the latest
	acknowledgeTime = time.Second             // between acknowledgements, where something has changed
	repairTime      = 5 * time.Second         // between calls for what a refused change left out
	backfillSpan    = 2000                    // versions before its first snapshot that a relay learns of: an hour's and a half
	mostRelays      = 8                       // between the origin and this one
	mostObject      = 64 << 20                // bytes of one object, uncompressed
)

// errBehind says that an upstream has an older version than this relay.
var errBehind = errors.New("has an older version")

// errRefusedSnapshot says that a snapshot, or what cannot be passed over, was refused.
var errRefusedSnapshot = errors.New("its state was refused")

// errLoop says that an upstream follows this relay, if over others.
var errLoop = errors.New("it follows this relay")

// errDoesNotFit says that a delta continues from another state than this relay's.
var errDoesNotFit = errors.New("its delta does not fit")

// follower follows the first upstream that works.
type follower struct {
	state    *state
	name     string
	log      *slog.Logger
	client   *http.Client
	failover *membership.Failover
	servers  chan []string   // a new list
	working  chan struct{}   // the present upstream brings changes
	plain    map[string]bool // servers that answer a plain call with the whole list, whatever it asks for
}

func newFollower(s *state, config Config, log *slog.Logger) *follower {
	seed := fnv.New64a()
	io.WriteString(seed, config.Name)
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: connectTimeout}).DialContext,
		ResponseHeaderTimeout: answerTimeout,
		DisableCompression:    true, // asked for where it helps
		MaxIdleConnsPerHost:   2,
		IdleConnTimeout:       time.Minute,
	}
	return &follower{
		state: s, name: config.Name, log: log, client: &http.Client{Transport: transport, CheckRedirect: noRedirect},
		failover: membership.NewFailover(config.Upstreams, seed.Sum64()), servers: make(chan []string),
		working: make(chan struct{}), plain: map[string]bool{},
	}
}

// noRedirect takes a redirect for what it is: not an answer.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// run follows until the context ends.
func (f *follower) run(ctx context.Context) {
	defer f.client.CloseIdleConnections()
	for ctx.Err() == nil {
		server, wait := f.failover.Next(f.state.now())
		if !f.pause(ctx, wait) {
			continue // the context has ended, or the list has changed
		}
		err := f.followOne(ctx, server)
		f.state.send(upstreamMessage{})
		if ctx.Err() != nil {
			return
		}
		f.failed(server, err)
	}
}

// failed notes why an upstream is given up.
func (f *follower) failed(server string, err error) {
	now := f.state.now()
	switch {
	case errors.Is(err, errReplaced):
		return
	case errors.Is(err, errBehind):
		f.failover.Behind(now)
	default:
		f.failover.Failed(now)
	}
	f.log.Debug("upstream given up", "upstream", server, "reason", err)
	if f.failover.AllBehind(now) {
		f.log.Error("all upstreams have had older versions than this relay for over a minute")
	}
}

// pause waits, and tells whether the time is up and the list still the same.
func (f *follower) pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case servers := <-f.servers:
		f.failover.Replace(servers)
		return false
	case <-ctx.Done():
		return false
	}
}

// errReplaced says that the upstream is no longer listed.
var errReplaced = errors.New("no longer listed")

// followOne follows an upstream until it fails, or is no longer listed.
func (f *follower) followOne(parent context.Context, server string) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	failed := make(chan error, 1)
	go func() { failed <- f.follow(ctx, server) }()
	for {
		select {
		case err := <-failed:
			return err
		case <-f.working:
			f.failover.Working(f.state.now())
		case servers := <-f.servers:
			if !f.failover.Replace(servers) {
				cancel(errReplaced)
				f.drain(failed)
				return errReplaced
			}
		}
	}
}

// drain waits for a call that was cancelled.
func (f *follower) drain(failed <-chan error) {
	for {
		select {
		case <-failed:
			return
		case <-f.working:
		}
	}
}

// works tells that the present upstream brings changes, by way of other relays.
func (f *follower) works(server string, path []string) {
	f.working <- struct{}{}
	f.state.send(upstreamMessage{server, path})
}

// follow gets up to date with an upstream and watches it.
func (f *follower) follow(ctx context.Context, server string) error {
	at, ok := f.position()
	if !ok {
		return net.ErrClosed
	}
	switch {
	case at.version == 0:
		if err := f.begin(ctx, server, at); err != nil {
			return err
		}
	case !f.plain[server]:
		whole, err := f.catchUp(ctx, server, at, at.version)
		if err != nil {
			return err
		}
		f.plain[server] = whole
	}
	return f.watch(ctx, server)
}

// begin takes in the first snapshot, and what had changed in the versions before
// it, so that subscribers of those versions need none. An upstream that does not
// tell those, as one that answers with all of its list, costs no more than that.
func (f *follower) begin(ctx context.Context, server string, at position) error {
	answer, err := f.ask(ctx, server, at, 0)
	if err != nil {
		return err
	}
	change, err := f.parsed(server, answer)
	if err != nil {
		return err
	}
	backfill := membership.Change{}
	if base := max(change.Version-backfillSpan, 1); change.Snapshot && base < change.Version {
		backfill = f.before(ctx, server, at, base)
	}
	reply := make(chan changeReply, 1)
	if !f.state.send(beginMessage{change, backfill, server, reply}) {
		return net.ErrClosed
	}
	return (<-reply).err
}

// before asks what has changed since a version. No records: that is not to be had.
func (f *follower) before(ctx context.Context, server string, at position, base membership.Version) membership.Change {
	answer, err := f.ask(ctx, server, at, base)
	if err != nil {
		return membership.Change{}
	}
	change, err := membership.Parse(answer)
	if err != nil || change.Snapshot {
		return membership.Change{}
	}
	change.Base = base
	return change
}

func (f *follower) position() (position, bool) {
	reply := make(chan position, 1)
	if !f.state.send(positionMessage{reply}) {
		return position{}, false
	}
	return <-reply, true
}

// catchUp makes the plain call and applies its answer. It also acknowledges
// what the fleet below has. whole: the answer was a snapshot.
func (f *follower) catchUp(ctx context.Context, server string, at position, after membership.Version) (whole bool, err error) {
	answer, err := f.ask(ctx, server, at, after)
	if err != nil {
		return false, err
	}
	return f.caughtUp(server, after, answer)
}

// ask makes the plain call and returns its answer's text.
func (f *follower) ask(ctx context.Context, server string, at position, after membership.Version) ([]byte, error) {
	query := url.Values{"name": {f.name}, "after": {formatVersion(after)},
		"acked": {formatVersion(min(at.acked, at.resume))}, "fleet": {strconv.Itoa(at.fleet)}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := f.get(ctx, server, query, "gzip")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	alive := newWatchdog(response.Body, cancel)
	defer alive.stop()
	var text io.Reader = alive
	if response.Header.Get("Content-Encoding") == "gzip" {
		if text, err = gzip.NewReader(alive); err != nil {
			return nil, err
		}
	}
	answer, err := io.ReadAll(io.LimitReader(text, mostObject+1))
	if err == nil && len(answer) > mostObject {
		err = errTooLong
	}
	return answer, err
}

// parsed reads a plain call's answer. One that is wrong is refused whole.
func (f *follower) parsed(server string, answer []byte) (membership.Change, error) {
	change, err := membership.Parse(answer)
	if err != nil {
		f.state.send(refusedMessage{version: change.Version, whole: true, upstream: server, reason: err})
		return change, errRefusedSnapshot
	}
	return change, nil
}

// caughtUp applies a plain call's answer.
func (f *follower) caughtUp(server string, after membership.Version, answer []byte) (whole bool, err error) {
	change, err := f.parsed(server, answer)
	if err != nil {
		return false, err
	}
	if change.Version < after {
		return false, errBehind
	}
	if !change.Snapshot {
		change.Base = after
	}
	_, err = f.apply(server, change)
	return change.Snapshot, err
}

// apply hands a change to the state.
func (f *follower) apply(server string, change membership.Change) (changeReply, error) {
	reply := make(chan changeReply, 1)
	if !f.state.send(changeMessage{change, server, reply}) {
		return changeReply{}, net.ErrClosed
	}
	answer := <-reply
	return answer, answer.err
}

// get calls an upstream.
func (f *follower) get(ctx context.Context, server string, query url.Values, encoding string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server+"/v1/servers?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Accept-Encoding", encoding)
	response, err := f.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return response, nil
}

// watch follows the changes from the state's version on.
func (f *follower) watch(parent context.Context, server string) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	at, ok := f.position()
	if !ok {
		return net.ErrClosed
	}
	query := url.Values{"watch": {"1"}, "name": {f.name}, "after": {formatVersion(at.version)}, "fleet": {strconv.Itoa(at.fleet)}}
	response, err := f.get(ctx, server, query, "identity")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	path := parseVia(response.Header.Values("Via"))
	if slices.Contains(path, f.name) || len(path) > mostRelays {
		return errLoop
	}
	alive := newWatchdog(response.Body, cancel)
	defer alive.stop()
	if !f.plain[server] { // else its version is known from its first line
		f.works(server, path)
	}
	var acknowledging sync.WaitGroup
	defer acknowledging.Wait()
	defer cancel()
	acknowledging.Go(func() { f.acknowledge(ctx, server) })
	return f.lines(server, path, at, alive)
}

// lines applies the objects of a watch. An object that is refused whole is
// passed over; one that cannot be read ends the watch.
func (f *follower) lines(server string, path []string, at position, in *watchdog) error {
	objects := json.NewDecoder(in)
	base := at.version
	first := true
	for {
		var object json.RawMessage
		in.budget = mostObject
		if err := objects.Decode(&object); err != nil {
			return f.unreadable(server, err)
		}
		change, err := membership.Parse(object)
		if err != nil {
			f.state.send(refusedMessage{version: change.Version, whole: change.Snapshot, upstream: server, reason: err})
			if change.Snapshot || change.Version == 0 {
				return errRefusedSnapshot
			}
			base, first = max(base, change.Version), false
			continue
		}
		if first && change.Version < at.version {
			return errBehind
		}
		if !change.Snapshot {
			change.Base = base
		}
		applied, err := f.apply(server, change)
		if err != nil {
			return err
		}
		if applied.version < change.Version {
			return errDoesNotFit
		}
		if first {
			f.works(server, path)
		}
		base, first = max(base, change.Version), false
	}
}

// unreadable tells of text that is no JSON object. A connection that was cut is
// none of that.
func (f *follower) unreadable(server string, err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		f.state.send(refusedMessage{upstream: server, reason: err})
	}
	return err
}

// acknowledge tells the upstream what is in force here and below, by plain
// calls while the watch is open. What they bring is applied as well. Now and
// then it asks for what a refused change left out.
func (f *follower) acknowledge(ctx context.Context, server string) {
	refresh := time.Duration(f.state.config.AckExpiryS) * time.Second / 3
	ticker := time.NewTicker(acknowledgeTime)
	defer ticker.Stop()
	var told position
	var toldAt, repairedAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		at, ok := f.position()
		now := f.state.now()
		if !ok {
			return
		}
		if at.resume < at.version && now-repairedAt >= repairTime {
			f.call(ctx, server, at, at.resume)
			repairedAt = now
		}
		if f.plain[server] || at == told && now-toldAt < refresh {
			continue
		}
		whole, ok := f.call(ctx, server, at, at.version)
		if ok {
			told, toldAt = at, now
		}
		f.plain[server] = whole && at.version > 0 // once is enough
	}
}

// call catches up beside an open watch.
func (f *follower) call(ctx context.Context, server string, at position, after membership.Version) (whole, ok bool) {
	whole, err := f.catchUp(ctx, server, at, after)
	if err != nil {
		f.log.Debug("plain call failed", "upstream", server, "reason", err)
	}
	return whole, err == nil
}

func formatVersion(v membership.Version) string { return strconv.FormatInt(int64(v), 10) }

var errTooLong = fmt.Errorf("an object is longer than %d bytes", mostObject)

// watchdog reads an answer's body, cancels its call when no byte comes for too
// long, and bounds the bytes of an object.
type watchdog struct {
	in     io.Reader
	timer  *time.Timer
	budget int
}

func newWatchdog(in io.Reader, cancel func()) *watchdog {
	return &watchdog{in: in, timer: time.AfterFunc(silenceTimeout, cancel), budget: mostObject}
}

func (w *watchdog) Read(p []byte) (int, error) {
	n, err := w.in.Read(p)
	w.timer.Reset(silenceTimeout)
	if w.budget -= n; w.budget < 0 {
		return n, errTooLong
	}
	return n, err
}

func (w *watchdog) stop() { w.timer.Stop() }
