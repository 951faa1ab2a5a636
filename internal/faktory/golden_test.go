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

// golden compares with a file in testdata, line by line.
func golden(t *testing.T, name, got string) {
	t.Helper()
	goldentest.Compare(t, name, got)
}

// changing is what differs from run to run: times, salts, waits and fences.
var changing = regexp.MustCompile(`"(now|updated_at|s)":"[^"]*"|"(uptime|connections|command_count|fence)":\d+|retry after \d+\.\d{3} s`)

func masked(text string) string {
	return changing.ReplaceAllStringFunc(text, func(field string) string {
		if key, _, isField := strings.Cut(field, ":"); isField {
			return key + ":MASKED"
		}
		return "retry after MASKED s"
	})
}

// script is a transcript of sessions, one command after the other, as their bytes are.
type script struct {
	t     *testing.T
	addr  string
	text  strings.Builder
	peers map[string]*recorded
}

// recorded is a session whose bytes are written down.
type recorded struct {
	conn net.Conn
	from []byte
}

func newScript(t *testing.T, addr string) *script {
	return &script{t: t, addr: addr, peers: map[string]*recorded{}}
}

// open opens a session and writes its greeting down.
func (s *script) open(name string) {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(2 * patience))
	s.peers[name] = &recorded{conn: conn}
	s.answer(name)
}

// hello opens a session and says HELLO.
func (s *script) hello(name, fields string) {
	s.t.Helper()
	s.open(name)
	s.do(name, `HELLO {"v":2`+fields+`}`)
}

// send writes a command down and sends it.
func (s *script) send(name, command string) {
	fmt.Fprintf(&s.text, "%s > %s\n", name, command)
	s.peers[name].conn.Write([]byte(command + "\r\n"))
}

// answer waits for a whole reply and writes it down with its line ends.
func (s *script) answer(name string) string {
	s.t.Helper()
	reply := s.peers[name].reply()
	shown := strings.ReplaceAll(masked(reply), "\r\n", `\r\n`)
	if reply == "" {
		shown = "(closed)"
	}
	if shown != strings.ReplaceAll(reply, "\r\n", `\r\n`) { // its length may differ too
		shown = regexp.MustCompile(`^\$\d+`).ReplaceAllString(shown, "$$MASKED")
	}
	fmt.Fprintf(&s.text, "%s < %s\n", name, shown)
	return reply
}

func (s *script) do(name, command string) string {
	s.t.Helper()
	s.send(name, command)
	return s.answer(name)
}

// fetch fetches until there is a job; only what came with one is written down.
func (s *script) fetch(name, queues string) string {
	s.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
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

// reply reads one reply, its line ends included; empty: the session has ended.
func (r *recorded) reply() string {
	size := func() int { // of the reply, once it is whole; 0: not yet
		end := strings.Index(string(r.from), "\r\n")
		var n int
		if end < 0 {
			return 0
		}
		if _, err := fmt.Sscanf(string(r.from[:end]), "$%d", &n); err == nil && n >= 0 {
			end += 2 + n
		}
		if end += 2; len(r.from) < end {
			return 0
		}
		return end
	}
	for size() == 0 {
		more := make([]byte, 4096)
		n, err := r.conn.Read(more)
		if r.from = append(r.from, more[:n]...); err != nil && n == 0 {
			return ""
		}
	}
	n := size()
	reply := string(r.from[:n])
	r.from = r.from[n:]
	return reply
}

// wait waits until a job's state is told as wanted.
func (s *script) wait(jid, want string) {
	s.t.Helper()
	p := dial(s.t, s.addr, hello{})
	p.until(jid, want)
	p.conn.Close()
}

// Every command at the door and of direct queues, in every answer that does not
// need a fault.
func TestGoldenDirect(t *testing.T) {
	addr, _ := front(t, serverOnly, nil)
	s := newScript(t, addr)
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
	s.do("q", `PUSH {"jid":"direct-04","queue":"renewal","args":[1]}`) // in work
	s.do("q", `INFO`)
	s.do("w", `ACK {"jid":"direct-04"}`)
	s.answer("p")
	s.do("w", `FETCH renewal`) // goes away empty
	s.do("w", `BEAT {"wid":"w1","current_state":"quiet","rss_kb":1}`)
	s.do("w", `FETCH renewal`)
	s.do("w", `END`)
	s.answer("w")
	s.do("p", strings.Repeat("z", maxCommandBytes+10))
	golden(t, "direct.golden", strings.ReplaceAll(s.text.String(), strings.Repeat("z", maxCommandBytes+10), "(too long a line)"))
}

// With a password, the greeting has a salt and HELLO a hash.
func TestGoldenPassword(t *testing.T) {
	addr, _ := front(t, serverOnly+"password = \"open sesame\"\n", nil)
	s := newScript(t, addr)
	s.hello("p", `,"pwdhash":"00"`)
	s.answer("p")
	s.hello("q", "")
	s.answer("q")
	golden(t, "password.golden", s.text.String()+hashPassword("open sesame", "0123456789abcdef", hashIterations)+"\n")
}

// What is refused, since nobody is there to run it or it fails again and again.
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
	golden(t, "outcomes.golden", text.String())
}

// Every command of durable queues.
func TestGoldenDurable(t *testing.T) {
	file := filepath.Join(t.TempDir(), "jobs.db")
	kept(t, file, "backoff_s = 0.05\nattempts = 1\n", func(addr string) {
		s := newScript(t, addr)
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
		s.wait("dead-00001", "dead")
		s.do("p", push("dead-00002", "status-check", ""))
		s.fetch("w", "status-check")
		s.do("w", `FAIL {"jid":"dead-00002"}`)
		s.wait("dead-00002", "dead")
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
		golden(t, "durable.golden", s.text.String())
	})
	kept(t, file, "flush = true\n", func(addr string) {
		s := newScript(t, addr)
		s.hello("p", "")
		s.do("p", "FLUSH")
		s.do("p", "TRACK GET dead-00001")
		golden(t, "flush.golden", s.text.String())
	})
}
