package faktory

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/transport"
)

const (
	helloTimeout   = 5 * time.Second  // a new connection must say HELLO in this time
	idleTimeout    = 60 * time.Second // a connection without a command is closed; workers BEAT every 15 s
	hashIterations = 1545             // that the greeting asks for with a password
	saltBytes      = 8
	maxWidLength   = 128
	maxVerbShown   = 40 // characters of an unknown command that its answer quotes
)

// connection is a connection of a producer or a worker.
type connection struct {
	server            *Server
	token             uint64
	admissionID       connlimit.ID
	conn              *transport.Conn
	input             input
	awaitsProxyHeader bool   // from a trusted proxy that names the client first
	salt              string // of the greeting
	authenticated     bool   // HELLO has been accepted
	lastPushServed    bool
	worker            *registeredWorker // nil: a producer's
	busy              bool              // a command awaits its answer; no other is read
	closed            bool
	deadline          eventloop.Deadline // of a parked FETCH, or of an idle connection

	// The PUSH of a direct queue that awaits its answer.
	pendingRequest uint64 // 0: none, or its handle is not known yet
	pendingJid     string
	pendingClass   int

	// The FETCH that waits for a job.
	parked         bool
	classMask      int    // the classes that it fetches
	durableClasses []int  // of them the durable ones, in the order it names them
	parkSequence   uint64 // orders parked FETCHes by age
	reservedFor    string // the durable job that it is reserved for; empty: it is free
}

// sendGreeting sends the server's first line.
func (c *connection) sendGreeting() {
	message := greeting{Version: protocolVersion}
	if c.server.password != "" {
		var salt [saltBytes]byte
		rand.Read(salt[:])
		c.salt = hex.EncodeToString(salt[:])
		message.Salt = c.salt
		message.Iterations = hashIterations
	}
	raw, _ := json.Marshal(message) // strings and numbers always marshal
	c.writeLine("+" + greetingPrefix + string(raw))
}

func (c *connection) writeLine(line string) { c.conn.Write([]byte(line + "\r\n")) }

func (c *connection) writeBulk(text []byte) { c.conn.Write(appendBulk(nil, text)) }

// setDeadline calls onDeadline after a span of time.
func (c *connection) setDeadline(span time.Duration) {
	loop := c.server.dispatcher.Loop
	loop.Set(&c.deadline, loop.Now()+span)
}

// onDeadline answers a FETCH for which no job came, or closes an idle connection.
func (c *connection) onDeadline() {
	switch {
	case c.parked:
		c.unpark()
		c.writeLine(nullBulk)
		c.resume()
	case !c.busy:
		c.closeGracefully()
	}
}

// resume continues with the next command after an answer.
func (c *connection) resume() {
	c.busy = false
	loop := c.server.dispatcher.Loop
	if c.worker == nil {
		c.server.gate.Limiter.BecameIdle(loop.Now(), c.admissionID, c.lastPushServed)
		c.lastPushServed = false
	}
	c.setDeadline(idleTimeout)
	if !c.input.empty() {
		loop.Post(c.processInput) // a pipelined command; not from inside the dispatcher
	}
}

func (c *connection) closeGracefully() {
	c.detach()
	c.conn.CloseGracefully()
}

// detach removes the connection from the server, once.
func (c *connection) detach() {
	if c.closed {
		return
	}
	c.closed = true
	c.server.gate.Limiter.Closed(c.admissionID)
	c.server.connections.Remove(c.token)
	c.server.dispatcher.Loop.Clear(&c.deadline)
	c.input.discard()
	c.unpark()
	if worker := c.worker; worker != nil {
		c.worker = nil
		worker.connectionClosed(c.server)
	}
}

// OnClosed handles the end of the connection by the peer or by a fault.
func (c *connection) OnClosed(*transport.Conn, error) {
	c.detach()
	c.cancelPending()
}

// OnData handles received bytes, whose buffer it takes over.
func (c *connection) OnData(_ *transport.Conn, received *transport.Buffer) {
	if c.closed {
		c.server.engine.Pool.Put(received)
		return
	}
	if !c.input.add(received) {
		c.rejectOverflow()
		return
	}
	if c.awaitsProxyHeader && !c.readProxyHeader() {
		return
	}
	c.processInput()
}

// rejectOverflow closes a connection that sends more than a command, or more
// commands ahead than fit, even while an answer is pending.
func (c *connection) rejectOverflow() {
	if !c.busy {
		c.writeLine(replyMalformed + "command " + errTooLong.Error())
	}
	c.server.gate.Limiter.ReportAbuse(c.server.dispatcher.Loop.Now(), c.admissionID, connlimit.Greedy)
	c.detach()
	c.cancelPending()
	c.conn.CloseGracefully()
}

// readProxyHeader reads the PROXY header of a trusted proxy, which names the
// client's address. It returns false if the header is incomplete or the client
// is rejected.
func (c *connection) readProxyHeader() bool {
	gate := c.server.gate
	header, err := listener.ParseProxyHeader(c.input.bytes())
	if err == nil && !header.Complete() {
		return false
	}
	reason := connlimit.Allowed
	switch {
	case err != nil:
		reason = connlimit.BadHeader
	case header.Client.IsValid():
		reason = gate.Limiter.Identify(c.server.dispatcher.Loop.Now(), c.admissionID, header.Client)
	}
	if reason != connlimit.Allowed {
		gate.LogRejection(reason, header.Client)
		c.detach()
		c.conn.Close()
		return false
	}
	c.awaitsProxyHeader = false
	c.input.skip(header.Length)
	c.sendGreeting()
	return true
}

// processInput handles received commands until one has to wait for its answer.
func (c *connection) processInput() {
	for !c.input.empty() && !c.busy && !c.closed {
		line, used, err := parseLine(c.input.bytes())
		if err != nil {
			c.writeLine(replyMalformed + "command " + err.Error())
			c.closeGracefully()
			return
		}
		if used == 0 {
			return
		}
		verb, rest := parseCommand(line)
		// line, and with it rest, lies in this buffer; a PUSH keeps it for as long as its job is in progress.
		buffer := c.input.take(used)
		c.setDeadline(idleTimeout)
		c.server.commandCount++
		pool := c.input.pool
		if verb == commandPush && c.authenticated {
			c.handlePush(rest, func() { pool.Put(buffer) })
			continue
		}
		c.handleCommand(verb, rest)
		pool.Put(buffer)
	}
}

// handleCommand handles all commands but PUSH.
func (c *connection) handleCommand(verb string, rest []byte) {
	if !c.authenticated && verb != commandHello && verb != commandEnd {
		c.writeLine(replyError + "HELLO is needed first")
		c.closeGracefully()
		return
	}
	switch verb {
	case commandHello:
		c.handleHello(rest)
	case commandFetch:
		c.handleFetch(rest)
	case commandAck, commandFail:
		c.handleCompletion(verb, rest)
	case commandBeat:
		c.handleBeat(rest)
	case commandStart, commandPushBulk, commandQueue, commandMutate, commandFlush, commandTrack:
		c.handleDurableCommand(verb, rest)
	case commandInfo:
		c.writeBulk(c.server.infoDocument())
	case commandEnd:
		c.writeLine(replyOK)
		c.closeGracefully()
	default:
		c.writeLine(replyError + "Unknown command " + singleLine(fmt.Sprintf("%.*s", maxVerbShown, verb)))
	}
}

// handleHello authenticates the peer, and registers the worker that it names.
func (c *connection) handleHello(rest []byte) {
	if c.authenticated {
		c.writeLine(replyError + "HELLO was said before")
		return
	}
	var message hello
	err := json.Unmarshal(rest, &message)
	if err != nil {
		c.rejectHello("MALFORMED HELLO: " + singleLine(err.Error()))
		return
	}
	if message.Version != protocolVersion {
		c.rejectHello("version: this server speaks 2")
		return
	}
	if !c.passwordMatches(message.Hash) {
		c.rejectHello("Invalid password")
		return
	}
	if len(message.Wid) > maxWidLength || !hasOnlyGraphicASCII(message.Wid) {
		c.rejectHello("wid: 128 characters without spaces at most")
		return
	}
	c.authenticated = true
	now := c.server.dispatcher.Loop.Now()
	if message.Wid != "" {
		c.worker = c.server.registerWorker(message)
		c.server.gate.Limiter.RequestComplete(now, c.admissionID)
	} else {
		c.server.gate.Limiter.BecameIdle(now, c.admissionID, false)
	}
	c.writeLine(replyOK)
}

func (c *connection) rejectHello(text string) {
	c.writeLine(replyError + text)
	c.closeGracefully()
}

// passwordMatches checks a client's hash in constant time.
func (c *connection) passwordMatches(hash string) bool {
	if c.server.password == "" {
		return true
	}
	want := hashPassword(c.server.password, c.salt, hashIterations)
	return subtle.ConstantTimeCompare([]byte(hash), []byte(want)) == 1
}
