// Package relay is a relay of versioned membership and configuration: a client
// of discovery, or of another relay, upstream, and discovery's snapshot and
// watch downstream. One for each zone stands between the origin and the zone's
// dispatchers, so that the origin's load does not grow with the fleet.
//
// What replaces what, what a subscriber lacks and when it is sent is decided by
// package membership; this package owns sockets, files and the one goroutine
// that owns the state. It must never change a version, show a part of a change,
// or keep a queue for a subscriber.
package relay

import (
	"context"
	"errors"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

// endTimeout is how long open answers may take after Close has been called.
const endTimeout = 5 * time.Second

// Relay is a running relay. Its methods are safe for concurrent use.
type Relay struct {
	state    *state
	follower *follower
	servers  []*http.Server
	addr     net.Addr
	admin    net.Addr

	cancel    context.CancelFunc // ends the follower
	followed  chan struct{}      // closed when it has ended
	stopState chan struct{}
	closing   sync.Once
	closed    error
}

// Start listens and starts to follow the first upstream. Until it has a first
// snapshot, calls are answered 503.
func Start(config Config, log *slog.Logger) (*Relay, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{state: newState(config, log), addr: listener.Addr(), followed: make(chan struct{}), stopState: make(chan struct{})}
	if config.AdminAddr != "" {
		adminListener, err := net.Listen("tcp", config.AdminAddr)
		if err != nil {
			listener.Close()
			return nil, err
		}
		r.admin = adminListener.Addr()
		r.serve(&boundedListener{Listener: adminListener, limit: otherCalls}, admin{r.state})
	}
	connections := int64(2*config.MaxSubscribers + otherCalls)
	r.serve(&boundedListener{Listener: listener, limit: connections}, &handler{r.state, milliseconds(config.WriteTimeoutMs)})
	r.follower = newFollower(r.state, config, log)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.state.run(r.stopState)
	go func() {
		defer close(r.followed)
		r.follower.run(ctx)
	}()
	return r, nil
}

func (r *Relay) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: mostHeader,
		ErrorLog: log.New(io.Discard, "", 0), // what peers do wrong is not this relay's fault
	}
	r.servers = append(r.servers, server)
	go server.Serve(listener)
}

// Addr is where subscribers are served.
func (r *Relay) Addr() net.Addr { return r.addr }

// AdminAddr is where the admin API is served; nil: it is off.
func (r *Relay) AdminAddr() net.Addr { return r.admin }

// Status is what the admin API tells.
func (r *Relay) Status() Status {
	ask := statusMessage{make(chan Status, 1)}
	if !r.state.send(ask) {
		return Status{}
	}
	return <-ask.reply
}

// SetUpstreams replaces the list of upstreams. The present one is kept if it is
// still listed. An error changes nothing.
func (r *Relay) SetUpstreams(upstreams []string) error {
	if err := checkUpstreams(upstreams); err != nil {
		return err
	}
	select {
	case r.follower.servers <- upstreams:
	case <-r.followed:
	}
	return nil
}

// Close ends watches in order, refuses further calls and waits until all is
// answered, for a bounded time.
func (r *Relay) Close() error {
	r.closing.Do(func() { r.closed = r.close() })
	return r.closed
}

func (r *Relay) close() error {
	r.cancel()
	<-r.followed
	r.state.send(endMessage{})
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	var failed error
	for _, server := range r.servers {
		if err := server.Shutdown(ctx); err != nil {
			failed = errors.Join(failed, err, server.Close())
		}
	}
	close(r.stopState)
	<-r.state.stopped
	return failed
}
