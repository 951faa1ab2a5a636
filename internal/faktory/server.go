package faktory

import (
	"net"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/slotmap"
	"hollyyoke.example/hollyyoke/internal/transport"
)

const (
	// frontEndNumber identifies this front end to the gate, which admits connections.
	frontEndNumber = 1

	// evictionBatch is the maximum number of connections that one call of
	// shedConnections closes.
	evictionBatch = 16

	// shedInterval is how long shedConnections waits after it could not close a connection.
	shedInterval = 10 * time.Millisecond
)

// Server is the server role: the PUSH of a producer becomes a request to the
// dispatcher, and a parked FETCH is a free slot of a worker. Each command is
// answered exactly once, in the order of the commands on its connection. A Server is a front end and a worker client
// of the dispatcher; its methods must be called on the loop's goroutine.
type Server struct {
	dispatcher     *dispatch.Dispatcher
	engine         *transport.Engine
	password       string         // empty if none is required
	classIndexes   map[string]int // by class name
	firstClassKind int            // firstClassKind+set is the worker kind for the classSet set; see AddWorkerKinds

	gate        *listener.Gate
	acceptor    *transport.Acceptor
	connections slotmap.Map[connection] // by the token that the dispatcher and the gate use
	shedTimer   eventloop.Deadline      // set after shedConnections could not close a connection
	intake      intakeState
	bulkTurns   bulkTurns
	bufferLimit int // bytes that buffers may take up before incomplete commands are refused

	workers    map[string]*registeredWorker // by name
	deliveries map[uint64]*jobDelivery      // by the handle of their attempt
	jids       *jidMemory                   // of direct jobs
	durable    *durableQueues               // nil if all queues are direct

	startedAt    time.Duration
	commandCount uint64 // commands received, for INFO
	writeBuffer  []byte // reused by handOut
}

// The interfaces that the dispatcher, the gate and the transport use. The
// dispatcher checks at run time whether a front end is a ClientWatcher.
var (
	_ dispatch.FrontEnd      = (*Server)(nil)
	_ dispatch.ClientWatcher = (*Server)(nil)
	_ dispatch.WorkerClient  = (*Server)(nil)
	_ listener.FrontEnd      = (*Server)(nil)
	_ transport.Handler      = (*connection)(nil)
	_ transport.Handler      = (*lane)(nil)
	_ dispatch.FrontEnd      = (*Source)(nil)
)

// NewServer returns a server without workers. Listen opens its address.
func NewServer(dispatcher *dispatch.Dispatcher, engine *transport.Engine, password string, jids *jidMemory) *Server {
	server := &Server{
		dispatcher:     dispatcher,
		engine:         engine,
		password:       password,
		classIndexes:   durable.ClassIndexes(&dispatcher.Settings),
		firstClassKind: len(dispatcher.Settings.KindNames),
		gate:           listener.NewUnlimited(dispatcher.Loop),
		workers:        map[string]*registeredWorker{},
		deliveries:     map[uint64]*jobDelivery{},
		jids:           jids,
		bufferLimit:    unlimitedBuffers,
		startedAt:      dispatcher.Loop.Now(),
	}
	server.shedTimer.Fire = server.shedConnections
	dispatcher.AddSource(server)
	return server
}

// SetGate sets the gate that decides which connections are admitted. It must be
// called before Listen.
func (s *Server) SetGate(gate *listener.Gate) { s.gate = gate }

// Listen accepts connections of producers and workers at address and returns the
// address that was bound. At most maxConnections are open at a time, unless the
// gate has limits of its own.
func (s *Server) Listen(address string, maxConnections int) (string, error) {
	s.gate.AddFrontEnd(frontEndNumber, s)
	options := transport.AcceptOptions{NewHandler: s.accept, Limit: maxConnections, OnFull: s.shedConnections}
	if s.gate.Enabled() {
		socket, err := net.Listen("tcp", address)
		if err != nil {
			return "", err
		}
		s.acceptor = s.engine.ServeWithAdmission(socket, options)
		return s.acceptor.String(), nil
	}
	acceptor, err := s.engine.Listen(address, options)
	if err != nil {
		return "", err
	}
	s.acceptor = acceptor
	return acceptor.String(), nil
}

func (s *Server) accept(conn *transport.Conn) transport.Handler {
	s.dispatcher.Loop.Clear(&s.shedTimer)
	accepted := &connection{server: s, conn: conn}
	accepted.input.pool = &s.engine.Pool
	accepted.token = s.connections.Insert(accepted)
	accepted.admissionID = s.gate.RegisterConnection(frontEndNumber, accepted.token, conn.AdmissionToken)
	accepted.deadline.Fire = accepted.onDeadline
	accepted.setDeadline(helloTimeout)
	accepted.workRefused = s.intake.stopped
	accepted.awaitsProxyHeader = s.gate.Limiter.TrustOf(accepted.admissionID) == connlimit.TrustedProxy
	if !accepted.awaitsProxyHeader {
		accepted.sendGreeting()
	}
	return accepted
}

// shedConnections closes idle connections when the limit is reached, because a new
// connection may be waiting. If it cannot close any, it tries again after
// shedInterval: connections may become eligible later, and the acceptor calls
// shedConnections only once.
func (s *Server) shedConnections() {
	for evicted := range evictionBatch {
		if s.gate.EvictOne(connlimit.ForUnknown) {
			continue
		}
		if evicted == 0 {
			loop := s.dispatcher.Loop
			loop.Set(&s.shedTimer, loop.Now()+shedInterval)
		}
		return
	}
}

// Evict closes a connection that the gate has chosen, unless it belongs to a
// worker or has a command pending.
func (s *Server) Evict(token uint64) {
	c := s.connections.Get(token)
	if c == nil || c.busy || c.worker != nil {
		return
	}
	c.detach()
	c.conn.Close()
}

// ConnectionCount returns the number of open connections.
func (s *Server) ConnectionCount() int { return s.connections.Len() }

// Respond replies to the pending PUSH of a connection to a direct queue.
func (s *Server) Respond(token uint64, response dispatch.Response) {
	c := s.connections.Get(token)
	if c == nil || c.push == nil {
		return
	}
	c.respond(response)
}

// ClientDisconnected reports whether the producer of a PUSH has closed its connection.
func (s *Server) ClientDisconnected(token uint64) bool {
	c := s.connections.Get(token)
	return c == nil || c.conn.PeerClosed()
}

// RequestCancelled records that the dispatcher has cancelled the request of a
// PUSH because its producer has closed the connection. The dispatcher may notice that
// before OnClosed is called.
func (s *Server) RequestCancelled(token uint64, mayHaveRun bool) {
	c := s.connections.Get(token)
	if c == nil || c.push == nil {
		return
	}
	s.finishJid(c.push, dispatch.Response{Outcome: dispatch.Failed, MayHaveRun: mayHaveRun})
	c.push = nil
}

// finishJid records the final result of a PUSH under its jid.
func (s *Server) finishJid(push *pendingPush, response dispatch.Response) {
	idempotency := s.dispatcher.Settings.Classes[push.class].Idempotency
	s.jids.finish(push.jid, response, idempotency, s.dispatcher.Loop.Now())
}
