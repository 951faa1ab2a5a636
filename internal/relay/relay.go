// Package relay implements a relay of versioned membership and configuration.
// Upstream, it is a client of discovery or of another relay; downstream, it serves
// discovery's snapshot and watch protocol. Each zone has one relay between the
// origin and the zone's dispatchers, so that the origin's load does not grow with
// the number of dispatchers.
//
// Package membership decides which changes are applied, what a subscriber lacks and
// when that is sent. This package contains the sockets, the options file and the
// goroutine that owns the state; all other goroutines send messages to that one.
//
// A relay passes versions on unchanged, applies and forwards changes completely
// or not at all, and keeps no queue for a subscriber.
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

// shutdownTimeout is how long open responses may take after Close has been called.
const shutdownTimeout = 5 * time.Second

// Relay is a running relay. Its methods are safe for concurrent use.
type Relay struct {
	state        *state
	follower     *follower
	servers      []*http.Server
	address      net.Addr
	adminAddress net.Addr // nil if the admin API is off

	cancel       context.CancelFunc // ends the follower
	followerDone chan struct{}      // closed when the follower has returned
	stopState    chan struct{}
	closeOnce    sync.Once
	closeErr     error
}

// Start listens and starts to follow the first upstream. Until the relay has a
// first snapshot it answers calls with status 503.
func Start(config Config, log *slog.Logger) (*Relay, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	started := &Relay{
		state:        newState(config, log),
		address:      listener.Addr(),
		followerDone: make(chan struct{}),
		stopState:    make(chan struct{}),
	}
	if config.AdminAddr != "" {
		adminListener, err := net.Listen("tcp", config.AdminAddr)
		if err != nil {
			listener.Close()
			return nil, err
		}
		started.adminAddress = adminListener.Addr()
		started.serve(&boundedListener{Listener: adminListener, limit: extraConnections}, adminHandler{started.state})
	}
	maxConnections := int64(2*config.MaxSubscribers + extraConnections)
	subscriberHandler := &handler{started.state, milliseconds(config.WriteTimeoutMs)}
	started.serve(&boundedListener{Listener: listener, limit: maxConnections}, subscriberHandler)
	started.follower = newFollower(started.state, config, log)
	ctx, cancel := context.WithCancel(context.Background())
	started.cancel = cancel
	go started.state.run(started.stopState)
	go func() {
		defer close(started.followerDone)
		started.follower.run(ctx)
	}()
	return started, nil
}

// serve starts to serve HTTP on a listener, until Close.
func (r *Relay) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0), // errors caused by clients are not logged
	}
	r.servers = append(r.servers, server)
	go server.Serve(listener)
}

// Addr returns the address where subscribers are served.
func (r *Relay) Addr() net.Addr { return r.address }

// AdminAddr returns the address of the admin API, or nil if it is off.
func (r *Relay) AdminAddr() net.Addr { return r.adminAddress }

// Status returns the status that the admin API reports. It is the zero value after
// Close.
func (r *Relay) Status() Status {
	request := statusMessage{make(chan Status, 1)}
	if !r.state.send(request) {
		return Status{}
	}
	return <-request.reply
}

// SetUpstreams replaces the list of upstreams. The current one is kept if it is
// still listed. If the list is invalid, SetUpstreams returns an error and changes
// nothing.
func (r *Relay) SetUpstreams(upstreams []string) error {
	if err := checkUpstreams(upstreams); err != nil {
		return err
	}
	select {
	case r.follower.servers <- upstreams:
	case <-r.followerDone:
	}
	return nil
}

// Close ends the watches, rejects further calls and waits, for a bounded time,
// until all responses have been written.
func (r *Relay) Close() error {
	r.closeOnce.Do(func() { r.closeErr = r.close() })
	return r.closeErr
}

// close ends the follower, the watches, the servers and the state, in that order.
func (r *Relay) close() error {
	r.cancel()
	<-r.followerDone
	r.state.send(closeMessage{})
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
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
