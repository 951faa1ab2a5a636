package daemon

import (
	"net"

	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/faktory"
	"hollyyoke.example/hollyyoke/internal/httpfront"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/transport"
	"hollyyoke.example/hollyyoke/internal/workerclient"
)

// process is the running dispatcher. After the start it belongs to the loop's
// goroutine.
type process struct {
	// What the start has read. It does not change.
	files  Files
	loaded loadedFiles

	// config is in force. A reload or the peer process may move its discovery address.
	config config

	// Components that newProcess makes.
	dispatcher *dispatch.Dispatcher
	engine     *transport.Engine
	registry   *discovery.Registry
	workers    *workerclient.Client
	gate       *listener.Gate // admits connections; nil: all are admitted

	frontEnds   frontEnds
	phase       phase
	replacement replacement
}

// phase is a part of a process's life. The phases follow in the order of the constants.
// A drain is not a phase: it may begin and end in any of them but stopping.
type phase int

const (
	starting phase = iota // clients are not accepted yet; a predecessor may serve them
	serving               // clients are accepted
	stopping              // the graceful shutdown has begun
)

// frontEnds are those that are on.
type frontEnds struct {
	http         *httpfront.FrontEnd // nil: off
	httpListener net.Listener        // nil: the HTTP front end is off
	faktory      faktory.FrontEnd
	maxClients   int // connections of clients at a time, for each front end
}

// beginShutdown makes the health check fail and stops the supply of stored and upstream
// jobs. Clients are still accepted.
func (f *frontEnds) beginShutdown() {
	if f.http != nil {
		f.http.BeginShutdown()
	}
	f.faktory.Stop()
}

// stopAccepting closes the listener for HTTP clients: what arrives later waits in the
// backlog, which a successor shares, or is rejected by the system.
func (f *frontEnds) stopAccepting() {
	if f.http != nil {
		f.http.StopAccepting()
	}
}

// closeIdle closes the connections on which nothing is owed, and reports whether
// none is left.
func (f *frontEnds) closeIdle() bool {
	idle := f.faktory.CloseIdle()
	if f.http != nil {
		f.http.CloseIdle()
		idle = idle && f.http.ConnectionCount() == 0
	}
	return idle
}
