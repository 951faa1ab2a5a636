package faktory

import "fmt"

// maxQuotedLength is how many characters of an unknown command or queue are quoted
// in the answer.
const maxQuotedLength = 40

// processInput handles received commands until one has to wait for its answer, or commandsPerTurn have been handled.
func (c *connection) processInput() {
	if c.turn.posted {
		return
	}
	for count := 0; !c.input.empty() && !c.busy && !c.closed; count++ {
		if c.closeIfUnread() {
			return
		}
		if count == commandsPerTurn {
			c.postTurn()
			return
		}
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
		// line and rest are slices of this buffer; a PUSH keeps it while its job is in progress.
		buffer := c.input.take(used)
		c.setDeadline(idleTimeout)
		c.server.commandCount++
		pool := c.input.pool
		if c.refuses(verb) {
			c.writeLine(shuttingDownReply)
			pool.Put(buffer)
			continue
		}
		if verb == commandPush && c.authenticated {
			c.handlePush(rest, buffer.ArrivedAt(), func() { pool.Put(buffer) })
			continue
		}
		c.handleCommand(verb, rest)
		pool.Put(buffer)
	}
}

// handleCommand handles all commands except PUSH after HELLO. rest is valid only
// during the call.
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
		c.writeLine(replyError + "Unknown command " + singleLine(fmt.Sprintf("%.*s", maxQuotedLength, verb)))
	}
}

// handleDurableCommand handles the commands that require durable queues.
func (c *connection) handleDurableCommand(verb string, rest []byte) {
	if c.server.durable == nil {
		c.writeLine(replyError + "Unknown command " + verb + ": no queue is durable here")
		return
	}
	switch verb {
	case commandStart:
		c.handleStart(rest)
	case commandPushBulk:
		c.handlePushBulk(rest)
	case commandQueue:
		c.handleQueue(rest)
	case commandMutate:
		c.handleMutate(rest)
	case commandFlush:
		c.handleFlush()
	case commandTrack:
		c.handleTrack(rest)
	}
}
