package faktory

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/listener"
)

const (
	helloTimeout   = 5 * time.Second // within which a new connection must send HELLO
	hashIterations = 1545            // of the password hash, sent in the greeting
	saltBytes      = 8
	maxWidLength   = 128
)

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

// readProxyHeader reads the PROXY header of a trusted proxy, which contains the
// client's address, and sends the greeting. It returns false if the header is
// incomplete, or if the header or the client is rejected.
func (c *connection) readProxyHeader() bool {
	gate := c.server.gate
	header, err := listener.ParseProxyHeader(c.input.bytes())
	if err == nil && !header.Complete() {
		return false
	}
	reason := connlimit.Allowed
	rejected := header.Client
	switch {
	case err != nil:
		reason = connlimit.BadHeader
		rejected = c.conn.Peer()
		gate.Limiter.CountReason(reason)
	case header.Client.IsValid():
		reason = gate.Limiter.Identify(c.server.dispatcher.Loop.Now(), c.admissionID, header.Client)
	}
	if reason != connlimit.Allowed {
		gate.LogRejection(reason, rejected)
		c.detach()
		c.conn.Close()
		return false
	}
	c.awaitsProxyHeader = false
	c.input.skip(header.Length)
	c.sendGreeting()
	return true
}

// handleHello authenticates the peer, and registers its worker if it sends a wid.
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
	if c.workRefused && message.Wid == "" {
		c.writeLine(shuttingDownReply)
		c.closeGracefully()
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

// rejectHello answers HELLO with an error and closes the connection.
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
