package daemon

import (
	"net"
	"time"

	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/faktory"
	"hollyyoke.example/hollyyoke/internal/handover"
	"hollyyoke.example/hollyyoke/internal/httpfront"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/transport"
	"hollyyoke.example/hollyyoke/internal/workerclient"
)

// process is the running dispatcher. After the start it belongs to the loop's
// goroutine.
type process struct {
	// Set at the start and not changed afterwards.
	files  Files
	loaded loadedFiles

	// config is the configuration in force. A reload or the peer process may change its
	// discovery address, and nothing else.
	config config

	// Components, created by newProcess.
	dispatcher *dispatch.Dispatcher
	engine     *transport.Engine
	registry   *discovery.Registry
	workers    *workerclient.Client
	gate       *listener.Gate // admits connections; nil if all are admitted

	frontEnds   frontEnds
	phase       phase
	limitsInUse handover.Limits // what this process may use at present
	replacement replacement
}

// phase is a phase of a process's life cycle. The phases follow each other in the order of
// the constants. A drain is not a phase: it may begin and end in any phase but stopping.
type phase int

const (
	starting phase = iota // clients are not accepted yet; if there is a predecessor, it serves them
	serving               // clients are accepted
	stopping              // the graceful shutdown has begun
)

// frontEnds are the front ends that are on.
type frontEnds struct {
	http         *httpfront.FrontEnd // nil if the HTTP front end is off
	httpListener net.Listener        // nil if the HTTP front end is off
	faktory      faktory.FrontEnd
	maxClients   int // client connections that each front end may have open
}

// beginShutdown makes the health check fail. No more durable jobs are offered to workers,
// and no more jobs are fetched from an upstream server. Clients are still accepted.
func (f *frontEnds) beginShutdown() {
	if f.http != nil {
		f.http.BeginShutdown()
	}
	f.faktory.Stop()
}

// stopAccepting closes the listener for HTTP clients once the connections in its queue have
// been accepted. Later connections wait in the backlog if a successor shares the socket;
// otherwise the kernel refuses them.
func (f *frontEnds) stopAccepting() {
	if f.http != nil {
		f.http.DrainListener()
	}
}

// stopReading stops reading from clients. Requests that arrived by the loop time due are still
// read.
func (f *frontEnds) stopReading(due time.Duration) {
	if f.http != nil {
		f.http.StopReadingAt(due)
	}
	f.faktory.StopReadingAt(due)
}

// closeIdle closes the connections on which no request is open, and reports whether none
// is left.
func (f *frontEnds) closeIdle() bool {
	idle := f.faktory.CloseIdle()
	if f.http != nil {
		f.http.CloseIdle()
		idle = idle && f.http.ConnectionCount() == 0
	}
	return idle
}
