package daemon

import (
	"net"

	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
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
	files  Files
	loaded loadedFiles

	dispatcher *dispatch.Dispatcher
	engine     *transport.Engine
	registry   *discovery.Registry
	workers    *workerclient.Client
	frontEnds  frontEnds
	gate       *listener.Gate // admits connections; nil: all are admitted

	config            config       // in force
	followsMembership bool         // versioned changes are followed in place of the discovery watch
	listener          net.Listener // for HTTP clients; nil: the HTTP front end is off
	maxClients        int          // connections of clients at a time, for each front end

	serving  bool // the HTTP front end accepts clients
	stopping bool // a graceful shutdown has begun

	handover handoverState
}

// handoverState is the replacement of one process by another, seen from either.
type handoverState struct {
	enabled       bool   // the listener is the platform's, and other processes have it
	socketPath    string // of the handover socket
	acceptor      *transport.Acceptor
	link          *handover.Link // to the peer process; nil: there is none
	greetingDone  bool           // the predecessor has sent its greeting, or its time is over
	peerServing   bool           // the successor accepts clients
	storeReleased bool           // the successor may open the store of durable jobs
	openFaktory   func() error   // opens the Faktory front end that the predecessor has; nil: nothing to open
	limitsTimer   eventloop.Deadline
}

// frontEnds are those that are on.
type frontEnds struct {
	http    *httpfront.FrontEnd // nil: off
	faktory faktory.FrontEnd
}

// closeIdle closes the connections on which nothing is owed, and reports whether
// none is left.
func (f frontEnds) closeIdle() bool {
	idle := f.faktory.CloseIdle()
	if f.http != nil {
		f.http.CloseIdle()
		idle = idle && f.http.ConnectionCount() == 0
	}
	return idle
}
