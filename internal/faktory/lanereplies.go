package faktory

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// handleReply handles a reply. It returns true if the reply's buffer is kept; it
// is then freed later by release.
func (l *lane) handleReply(answer reply, release func()) (retained bool) {
	switch l.state {
	case laneAwaitingGreeting:
		l.handleGreeting(answer)
	case laneAwaitingHello:
		if answer.kind != kindSimple {
			l.reconnect(fmt.Errorf("HELLO: %s", answer.text))
			return false
		}
		l.backoff = 0
		l.advance()
	case laneFetching:
		return l.handleFetchReply(answer, release)
	case laneClosing:
		if answer.kind == kindError { // upstream rejects the ACK or FAIL, and would reject it again
			l.source.dispatcher.Log("upstream: closing " + singleLine(l.delivery.closeCommand) + ": " + singleLine(string(answer.text)))
		}
		l.delivery = upstreamDelivery{}
		l.advance()
	case laneBeating:
		l.handleBeatReply(answer)
	default:
		l.reconnect(errUnexpectedReply)
	}
	return false
}

// handleGreeting answers the server's greeting with HELLO.
func (l *lane) handleGreeting(answer reply) {
	var message greeting
	text, hasPrefix := strings.CutPrefix(string(answer.text), greetingPrefix)
	if answer.kind != kindSimple || !hasPrefix {
		l.reconnect(errGreetingVersion)
		return
	}
	err := json.Unmarshal([]byte(text), &message)
	if err != nil || message.Version != protocolVersion {
		l.reconnect(errGreetingVersion)
		return
	}
	host, _ := os.Hostname()
	identity := hello{
		Hostname: host,
		Wid:      l.source.wid,
		Pid:      os.Getpid(),
		Labels:   []string{"hollyyoke"},
		Version:  protocolVersion,
	}
	if message.Salt != "" {
		if message.Iterations > maxHashIterations {
			l.reconnect(errTooManyIterations)
			return
		}
		identity.Hash = hashPassword(l.source.config.Source.Password, message.Salt, max(message.Iterations, 1))
	}
	raw, _ := json.Marshal(identity) // strings and numbers always marshal
	l.send(laneAwaitingHello, commandHello+" "+string(raw), replyTimeout)
}

// handleFetchReply handles the answer to FETCH, as handleReply does.
func (l *lane) handleFetchReply(answer reply, release func()) (retained bool) {
	if answer.kind == kindBulk && !answer.null && len(answer.text) > 0 {
		return l.handleJob(answer.text, release)
	}
	if answer.kind == kindError {
		l.reconnect(fmt.Errorf("FETCH: %s", answer.text))
		return false
	}
	l.advance()
	return false
}

// handleBeatReply handles the answer to BEAT. With any state in it, upstream asks
// the source to fetch no more jobs.
func (l *lane) handleBeatReply(answer reply) {
	source := l.source
	var message beatReply
	if answer.kind != kindError && !source.draining {
		err := json.Unmarshal(answer.text, &message)
		if err == nil && message.State != "" {
			source.dispatcher.Log("upstream says " + singleLine(message.State) + ": fetching no more")
			source.draining = true
		}
	}
	l.state = laneIdle
	l.setDeadline(beatInterval)
}
