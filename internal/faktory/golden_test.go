package faktory

import (
	"fmt"
	"net"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// volatileFields match what differs from run to run: times, salts, waits and fences.
var volatileFields = regexp.MustCompile(`"(now|updated_at|s)":"[^"]*"|"(uptime|connections|command_count|fence)":\d+|retry after \d+\.\d{3} s`)

func maskVolatile(text string) string {
	return volatileFields.ReplaceAllStringFunc(text, func(field string) string {
		if key, _, isField := strings.Cut(field, ":"); isField {
			return key + ":MASKED"
		}
		return "retry after MASKED s"
	})
}

// transcript records the commands and answers of several connections, one command
// after the other, byte for byte.
type transcript struct {
	t           *testing.T
	addr        string
	text        strings.Builder
	connections map[string]*recordedConnection
}

// recordedConnection is a connection of a transcript.
type recordedConnection struct {
	conn     net.Conn
	received []byte
}

func newTranscript(t *testing.T, addr string) *transcript {
	return &transcript{t: t, addr: addr, connections: map[string]*recordedConnection{}}
}

// open connects and records the greeting.
func (s *transcript) open(name string) {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(2 * testTimeout))
	s.connections[name] = &recordedConnection{conn: conn}
	s.answer(name)
}

// hello connects and says HELLO.
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
	if shown != strings.ReplaceAll(reply, "\r\n", `\r\n`) { // its length may differ too
		shown = regexp.MustCompile(`^\$\d+`).ReplaceAllString(shown, "$$MASKED")
	}
	fmt.Fprintf(&s.text, "%s < %s\n", name, shown)
	return reply
}

func (s *transcript) do(name, command string) string {
	s.t.Helper()
	s.send(name, command)
	return s.answer(name)
}

// fetch fetches until there is a job; only the FETCH that got it is recorded.
func (s *transcript) fetch(name, queues string) string {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		before := s.text.String()
		reply := s.do(name, "FETCH "+queues)
		if reply != "$-1\r\n" {
			return reply
		}
		s.text.Reset()
		s.text.WriteString(before)
	}
	s.t.Fatal("no job")
	return ""
}

// reply reads one reply, its line ends included; empty: the connection is closed.
func (r *recordedConnection) reply() string {
	size := func() int { // of the reply, once it is complete; 0: not yet
		end := strings.Index(string(r.received), "\r\n")
		var n int
		if end < 0 {
			return 0
		}
		if _, err := fmt.Sscanf(string(r.received[:end]), "$%d", &n); err == nil && n >= 0 {
			end += 2 + n
		}
		if end += 2; len(r.received) < end {
			return 0
		}
		return end
	}
	for size() == 0 {
		more := make([]byte, 4096)
		n, err := r.conn.Read(more)
		if r.received = append(r.received, more[:n]...); err != nil && n == 0 {
			return ""
		}
	}
	n := size()
	reply := string(r.received[:n])
	r.received = r.received[n:]
	return reply
}

// awaitState waits until a job is in a state.
func (s *transcript) awaitState(jid, want string) {
	s.t.Helper()
	p := dial(s.t, s.addr, hello{})
	p.awaitState(jid, want)
	p.conn.Close()
}

// Every command before HELLO and of direct queues, in every answer that does not
// need a fault.
func TestGoldenDirect(t *testing.T) {
	addr, _ := openFront(t, serverConfig, nil)
	s := newTranscript(t, addr)
	for i, first := range []string{
		`HELLO {"v":3}`, `HELLO x`, `HELLO`, `HELLO {"v":"2"}`, `PUSH {}`, `FETCH renewal`, `INFO`, ``, `HELLO {"v":2,"wid":"a b"}`, `END`, strings.Repeat("x", 40),
	} {
		name := fmt.Sprint("n", i)
		s.open(name)
		s.do(name, first)
		s.answer(name)
	}
	s.hello("p", "")
	for _, command := range []string{
		`HELLO {"v":2}`, `INFO`, `FETCH renewal`, `NONSENSE and more`, `push {}`, strings.Repeat("y", 60),
		`PUSH {`, `PUSH`, `PUSH {"jid":"short","queue":"renewal","args":[]}`, `PUSH {"queue":"renewal","args":[]}`,
		`PUSH {"jid":"job-00001","queue":"renewal"}`, `PUSH {"jid":"job-00001","queue":"renewal","args":{}}`,
		`PUSH {"jid":"job-00001","queue":"nonsense","args":[]}`,
		`PUSH {"jid":"job-00001","queue":"renewal","jobtype":"status-check","args":[]}`,
		`PUSH {"jid":"job-00001","queue":"renewal","args":[],"at":"2999-01-01T00:00:00Z"}`,
		`PUSH {"jid":"job-00001","queue":"renewal","args":[],"at":"soon"}`,
		`PUSHB []`, `START {}`, `QUEUE PAUSE *`, `MUTATE {}`, `FLUSH`, `TRACK GET x`,
		`ACK`, `ACK {}`, `ACK {"jid":"nobodys"}`, `FAIL x`, `FAIL {"jid":"nobodys"}`,
		`BEAT [`, `BEAT {"wid":1}`, `BEAT {"wid":"nobodys"}`, `BEAT {}`,
	} {
		s.do("p", command)
	}
	s.hello("w", `,"wid":"w1","hostname":"h","pid":7,"labels":["zone:here"]`)
	direct := func(jid, class, verb string) {
		t.Helper()
		s.send("p", fmt.Sprintf(`PUSH {"jid":%q,"queue":%q,"jobtype":"x","args":[1,"a"],"custom":{"k":2}}`, jid, class))
		s.fetch("w", "renewal status-check")
		s.do("w", verb+` {"jid":"`+jid+`","errtype":"Broken","message":"no till","backtrace":[]}`)
		s.answer("p")
	}
	direct("direct-01", "renewal", "ACK")
	direct("direct-02", "status-check", "ACK")
	direct("direct-03", "renewal", "FAIL")
	s.do("p", `PUSH {"jid":"direct-01","queue":"renewal","args":[1]}`)
	s.do("p", `PUSH {"jid":"direct-03","queue":"renewal","args":[1]}`)
	s.send("p", `PUSH {"jid":"direct-04","queue":"renewal","args":[1]}`)
	s.fetch("w", "renewal")
	s.hello("q", "")
	s.do("q", `PUSH {"jid":"direct-04","queue":"renewal","args":[1]}`) // in progress
	s.do("q", `INFO`)
	s.do("w", `ACK {"jid":"direct-04"}`)
	s.answer("p")
	s.do("w", `FETCH renewal`) // there is no job
	s.do("w", `BEAT {"wid":"w1","current_state":"quiet","rss_kb":1}`)
	s.do("w", `FETCH renewal`)
	s.do("w", `END`)
	s.answer("w")
	s.do("p", strings.Repeat("z", maxCommandBytes+10))
	goldentest.Compare(t, "direct.golden", strings.ReplaceAll(s.text.String(), strings.Repeat("z", maxCommandBytes+10), "(too long a line)"))
}

// With a password, the greeting has a salt and HELLO a hash.
func TestGoldenPassword(t *testing.T) {
	addr, _ := openFront(t, serverConfig+"password = \"open sesame\"\n", nil)
	s := newTranscript(t, addr)
	s.hello("p", `,"pwdhash":"00"`)
	s.answer("p")
	s.hello("q", "")
	s.answer("q")
	goldentest.Compare(t, "password.golden", s.text.String()+hashPassword("open sesame", "0123456789abcdef", hashIterations)+"\n")
}

// Answers to a PUSH that was rejected, has failed, or repeats a known jid.
func TestGoldenOutcomes(t *testing.T) {
	var text strings.Builder
	for _, after := range []time.Duration{0, 1500 * time.Millisecond} {
		text.WriteString(rejectionLine(after) + "\n")
	}
	for _, mayHaveRun := range []bool{false, true} {
		for _, repeatable := range []bool{false, true} {
			text.WriteString(failureLine(mayHaveRun, repeatable) + "\n")
		}
	}
	for _, f := range []jidStatus{jidServed, jidMayHaveRun, jidInProgress} {
		text.WriteString(knownJidLine(f) + "\n")
	}
	goldentest.Compare(t, "outcomes.golden", text.String())
}

// Every command of durable queues.
func TestGoldenDurable(t *testing.T) {
	file := filepath.Join(t.TempDir(), "jobs.db")
	withDurableFront(t, file, "backoff_s = 0.05\nattempts = 1\n", func(addr string) {
		s := newTranscript(t, addr)
		s.hello("p", "")
		s.hello("w", `,"wid":"w1","labels":["fences:1"]`)
		push := func(jid, class, more string) string {
			return fmt.Sprintf(`PUSH {"jid":%q,"queue":%q,"jobtype":"x","args":[1]%s}`, jid, class, more)
		}
		s.do("p", push("kept-00001", "renewal", ""))
		s.do("p", push("kept-00001", "renewal", ""))
		s.do("p", push("kept-00001", "status-check", ""))
		s.do("p", push("short", "renewal", ""))
		s.do("p", push("kept-00002", "renewal", `,"at":"2099-01-01T00:00:00Z"`))
		s.do("p", push("kept-00003", "nonsense", ""))
		s.fetch("w", "renewal")
		for _, command := range []string{
			`TRACK GET kept-00001`, `TRACK SET {"jid":"kept-00001","percent":40,"desc":"at the till"}`, `TRACK GET kept-00001`,
			`START {"jid":"kept-00001","fence":9}`, `START {"jid":"kept-00001"}`, `START {"jid":"nobodys"}`, `START x`,
			`ACK {"jid":"kept-00001","fence":9}`, `ACK {"jid":"kept-00001"}`, `ACK {"jid":"kept-00001"}`, `TRACK GET kept-00001`,
			`TRACK GET nobodys`, `TRACK GET kept-00002`, `TRACK SET {"jid":"nobodys"}`, `TRACK SET x`, `TRACK SET {"jid":1}`, `TRACK x`, `TRACK`,
			`BEAT {"wid":"w1"}`,
		} {
			s.do("w", command)
		}
		s.do("p", push("dead-00001", "renewal", `,"custom":{"a":1}`))
		s.fetch("w", "renewal")
		s.do("w", `FAIL {"jid":"dead-00001","errtype":"Broken","message":"no till"}`)
		s.awaitState("dead-00001", "dead")
		s.do("p", push("dead-00002", "status-check", ""))
		s.fetch("w", "status-check")
		s.do("w", `FAIL {"jid":"dead-00002"}`)
		s.awaitState("dead-00002", "dead")
		for _, command := range []string{
			`TRACK GET dead-00001`, `TRACK GET dead-00002`,
			`MUTATE {"cmd":"requeue","target":"dead","filter":{"jids":["dead-00001"]}}`,
			`MUTATE {"cmd":"kill","target":"scheduled","filter":{"jids":["kept-00002"]}}`, `TRACK GET kept-00002`,
			`MUTATE {"cmd":"discard","target":"dead","filter":{"regexp":"*dead-00002*"}}`, `TRACK GET dead-00002`,
			`MUTATE {"cmd":"clear","target":"retries"}`, `MUTATE x`, `MUTATE {"cmd":1}`, `MUTATE {"filter":1}`, `MUTATE {"cmd":"x","target":"dead"}`, `MUTATE {"cmd":"kill","target":"ready"}`,
			`PUSHB x`, `PUSHB {}`, `PUSHB []`,
			`PUSHB [{"jid":"bulk-00001","queue":"renewal","args":[]},{"jid":"x"},{"queue":"renewal"},{"jid":"kept-00002","queue":"renewal","args":[9]}]`,
			`QUEUE`, `QUEUE PAUSE`, `QUEUE STOP *`, `QUEUE PAUSE nothing`, `QUEUE PAUSE renewal`, `INFO`, `QUEUE RESUME *`,
			`QUEUE REMOVE renewal`, `TRACK GET bulk-00001`, `FLUSH`, `INFO`, `END`,
		} {
			s.do("p", command)
		}
		goldentest.Compare(t, "durable.golden", s.text.String())
	})
	withDurableFront(t, file, "flush = true\n", func(addr string) {
		s := newTranscript(t, addr)
		s.hello("p", "")
		s.do("p", "FLUSH")
		s.do("p", "TRACK GET dead-00001")
		goldentest.Compare(t, "flush.golden", s.text.String())
	})
}
