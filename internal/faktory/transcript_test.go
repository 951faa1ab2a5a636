package faktory

import (
	"fmt"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"
)

// volatileFields matches the parts of replies that differ from run to run, such as
// times, salts and fences.
var volatileFields = regexp.MustCompile(`"(now|updated_at|s)":"[^"]*"|"(uptime|connections|command_count|fence)":\d+|retry after \d+\.\d{3} s`)

func maskVolatile(text string) string {
	return volatileFields.ReplaceAllStringFunc(text, func(field string) string {
		if key, _, isField := strings.Cut(field, ":"); isField {
			return key + ":MASKED"
		}
		return "retry after MASKED s"
	})
}

// transcript sends commands on several connections, one after the other, and
// records the commands and the replies byte by byte, except for volatile fields.
type transcript struct {
	t           *testing.T
	address     string
	text        strings.Builder
	connections map[string]*recordedConnection
}

// recordedConnection is a connection of a transcript.
type recordedConnection struct {
	conn     net.Conn
	received []byte
}

func newTranscript(t *testing.T, address string) *transcript {
	return &transcript{t: t, address: address, connections: map[string]*recordedConnection{}}
}

// open opens a connection and records the greeting.
func (s *transcript) open(name string) {
	s.t.Helper()
	s.connections[name] = &recordedConnection{conn: connect(s.t, s.address).conn}
	s.answer(name)
}

// hello opens a connection and sends HELLO.
func (s *transcript) hello(name, fields string) {
	s.t.Helper()
	s.open(name)
	s.do(name, `HELLO {"v":2`+fields+`}`)
}

// send records and sends a command.
func (s *transcript) send(name, command string) {
	fmt.Fprintf(&s.text, "%s > %s\n", name, command)
	s.connections[name].conn.Write([]byte(command + "\r\n"))
}

// answer waits for a complete reply and records it with its line ends.
func (s *transcript) answer(name string) string {
	s.t.Helper()
	reply := s.connections[name].reply()
	shown := strings.ReplaceAll(maskVolatile(reply), "\r\n", `\r\n`)
	if reply == "" {
		shown = "(closed)"
	}
	if shown != strings.ReplaceAll(reply, "\r\n", `\r\n`) { // the length of a bulk string may differ too
		shown = regexp.MustCompile(`^\$\d+`).ReplaceAllString(shown, "$$MASKED")
	}
	fmt.Fprintf(&s.text, "%s < %s\n", name, shown)
	return reply
}

// do sends a command, waits for the reply, and records both.
func (s *transcript) do(name, command string) string {
	s.t.Helper()
	s.send(name, command)
	return s.answer(name)
}

// doAll sends commands, each after the reply to the one before it.
func (s *transcript) doAll(name string, commands ...string) {
	s.t.Helper()
	for _, command := range commands {
		s.do(name, command)
	}
}

// fetch sends FETCH until there is a job. It records only the last FETCH and its
// reply.
func (s *transcript) fetch(name, queues string) string {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		before := s.text.String()
		reply := s.do(name, "FETCH "+queues)
		if reply != nullBulk+"\r\n" {
			return reply
		}
		s.text.Reset()
		s.text.WriteString(before)
	}
	s.t.Fatal("FETCH returned no job in time")
	return ""
}

// reply reads one reply with its line ends. It returns an empty string if the
// connection is closed.
func (r *recordedConnection) reply() string {
	for r.replySize() == 0 {
		more := make([]byte, 4096)
		count, err := r.conn.Read(more)
		r.received = append(r.received, more[:count]...)
		if err != nil && count == 0 {
			return ""
		}
	}
	size := r.replySize()
	reply := string(r.received[:size])
	r.received = r.received[size:]
	return reply
}

// replySize returns the size of the first received reply with its line ends, or 0
// if it is not complete yet.
func (r *recordedConnection) replySize() int {
	lineLength := strings.Index(string(r.received), "\r\n")
	if lineLength < 0 {
		return 0
	}
	size := lineLength + 2
	var bulkLength int
	_, err := fmt.Sscanf(string(r.received[:lineLength]), "$%d", &bulkLength)
	if err == nil && bulkLength >= 0 {
		size += bulkLength + 2
	}
	if len(r.received) < size {
		return 0
	}
	return size
}

// awaitState waits until a job is in a state.
func (s *transcript) awaitState(jid, want string) {
	s.t.Helper()
	producer := dialProducer(s.t, s.address)
	producer.awaitState(jid, want)
	producer.conn.Close()
}
