package relay

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

const (
	connectTimeout  = time.Second
	responseTimeout = 2500 * time.Millisecond // until the head of a response; discovery answers calls one at a time
	idleConnections = 2                       // idle connections that are kept open to an upstream

	idleConnectionTimeout = time.Minute
)

// Reasons for leaving an upstream.
var (
	errBehind           = errors.New("upstream has an older version")
	errSnapshotRejected = errors.New("upstream's snapshot was rejected")
	errLoop             = errors.New("upstream follows this relay")
	errDeltaDoesNotFit  = errors.New("upstream's delta continues from another state")
	errNoLongerListed   = errors.New("upstream is no longer listed")
)

// follower follows the first upstream that works.
type follower struct {
	state         *state
	name          string
	log           *slog.Logger
	client        *http.Client
	failover      *membership.Failover // only run's goroutine accesses it
	servers       chan []string        // passes a new list of upstreams to run
	workingSignal chan struct{}        // tells run that the current upstream delivers changes

	// snapshotOnly contains the upstreams that answer a single call with their
	// complete list, whatever version it continues from. While a watch is open, only
	// the goroutine of acknowledge accesses it, otherwise only that of follow.
	snapshotOnly map[string]bool
}

// newFollower returns a follower that does not run yet.
func newFollower(owner *state, config Config, log *slog.Logger) *follower {
	seed := fnv.New64a()
	io.WriteString(seed, config.Name)
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: connectTimeout}).DialContext,
		ResponseHeaderTimeout: responseTimeout,
		DisableCompression:    true, // fetch requests compression itself
		MaxIdleConnsPerHost:   idleConnections,
		IdleConnTimeout:       idleConnectionTimeout,
	}
	return &follower{
		state:         owner,
		name:          config.Name,
		log:           log,
		client:        &http.Client{Transport: transport, CheckRedirect: noRedirect},
		failover:      membership.NewFailover(config.Upstreams, seed.Sum64()),
		servers:       make(chan []string),
		workingSignal: make(chan struct{}),
		snapshotOnly:  map[string]bool{},
	}
}

// noRedirect makes the client return a redirect as the response.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// run follows upstreams until the context ends.
func (f *follower) run(ctx context.Context) {
	defer f.client.CloseIdleConnections()
	for ctx.Err() == nil {
		server, wait := f.failover.Next(f.state.now())
		if !f.pause(ctx, wait) {
			continue // the context has ended, or the list has changed
		}
		err := f.followOne(ctx, server)
		f.state.send(upstreamChangedMessage{})
		if ctx.Err() != nil {
			return
		}
		f.recordFailure(server, err)
	}
}

// recordFailure records why an upstream was left.
func (f *follower) recordFailure(server string, err error) {
	now := f.state.now()
	switch {
	case errors.Is(err, errNoLongerListed):
		return
	case errors.Is(err, errBehind):
		f.failover.MarkBehind(now)
	default:
		f.failover.MarkFailed(now)
	}
	f.log.Debug("upstream failed", "upstream", server, "reason", err)
	if f.failover.AllBehind(now) {
		f.log.Error("all upstreams have been behind this relay for over a minute")
	}
}

// pause waits. It returns false if the context ended or the list of upstreams was
// replaced before the time was up.
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
		case <-f.workingSignal:
			f.failover.MarkActive(f.state.now())
		case servers := <-f.servers:
			if !f.failover.Replace(servers) {
				cancel(errNoLongerListed)
				f.awaitCancelled(failed)
				return errNoLongerListed
			}
		}
	}
}

// awaitCancelled waits for a cancelled call of follow to return.
func (f *follower) awaitCancelled(failed <-chan error) {
	for {
		select {
		case <-failed:
			return
		case <-f.workingSignal:
		}
	}
}

// reportWorking reports that the current upstream delivers changes, which pass
// through the relays in path.
func (f *follower) reportWorking(server string, path []string) {
	f.workingSignal <- struct{}{}
	f.state.send(upstreamChangedMessage{server, path})
}

// follow catches up with an upstream and then watches it.
func (f *follower) follow(ctx context.Context, server string) error {
	current, ok := f.position()
	if !ok {
		return net.ErrClosed
	}
	switch {
	case current.version == 0:
		if err := f.bootstrap(ctx, server, current); err != nil {
			return err
		}
	case !f.snapshotOnly[server]:
		isSnapshot, err := f.catchUp(ctx, server, current, current.version)
		if err != nil {
			return err
		}
		f.snapshotOnly[server] = isSnapshot
	}
	return f.watch(ctx, server)
}

// position returns the versions of this relay and of the subscribers below it. It
// returns false if the relay has been closed.
func (f *follower) position() (position, bool) {
	reply := make(chan position, 1)
	if !f.state.send(positionMessage{reply}) {
		return position{}, false
	}
	return <-reply, true
}

// apply passes a change to the state's goroutine, which applies it.
func (f *follower) apply(server string, change membership.Change) (applyReply, error) {
	reply := make(chan applyReply, 1)
	if !f.state.send(applyMessage{change, server, reply}) {
		return applyReply{}, net.ErrClosed
	}
	answer := <-reply
	return answer, answer.err
}
