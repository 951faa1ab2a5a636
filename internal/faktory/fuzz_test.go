package faktory

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// keyedWorker is a worker client whose one worker ends each attempt at once, with
// the outcome that the job's key names.
type keyedWorker struct{ core *dispatch.Dispatcher }

func (e keyedWorker) Start(f dispatch.Attempt) {
	o := map[string]decision.AttemptOutcome{
		"done": decision.Completed, "failed": decision.Failed, "full": decision.Saturated,
	}[f.Request.Key]
	e.core.AttemptEnded(f.Handle, o, decision.LoadReport{}, nil)
}

func (keyedWorker) Cancel(uint64) bool { return false }

func (keyedWorker) CloseIdle(string) {}

func (keyedWorker) CheckHealth(string) {}

func (keyedWorker) Subscribe() {}

// sessionCommands are commands, how their answers begin, and whether the server
// closes the connection after them. JID stands for a new jid in each use.
var sessionCommands = []struct {
	text, want string
	ends       bool
}{
	{`HELLO {"v":2}`, "+OK", false},
	{`PUSH {"jid":"JID","queue":"renewal","jobtype":"x","args":[],"custom":{"key":"done"}}`, "+OK", false},
	{`push {"jid":"JID","queue":"x","jobtype":"renewal","args":[],"custom":{"key":"failed"}}`, "-ERR FAILED", false},
	{`PUSH {"jid":"JID","queue":"renewal","jobtype":"x","args":[],"custom":{"key":"full"}}`, "-ERR REFUSED", false},
	{`PUSH {"jid":"JID","queue":"x","jobtype":"x","args":[]}`, "-ERR UNKNOWN", false},
	{`PUSH {"jid":"JID"`, "-ERR MALFORMED", false},
	{`ACK {"jid":"JID"}`, "+OK", false},
	{`FAIL {"jid":"JID"}`, "+OK", false},
	{`BEAT {"wid":"nobodys","current_state":"quiet"}`, "+OK", false},
	{`FETCH renewal`, "-ERR FETCH", false},
	{`INFO`, "{", false},
	{"\x00\xff", "-ERR Unknown", false},
	{`END`, "+OK", true},
}

// FuzzSession checks a producer's connection against a model: each command gets
// exactly one answer, in order, however its bytes are split; before HELLO only
// HELLO and END are accepted, and HELLO is accepted once.
func FuzzSession(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 2, 0, 3, 0, 4, 0, 5, 0, 6, 0, 7, 0, 8, 0, 9, 0, 10, 0, 11, 0, 12, 0})
	f.Add([]byte{0, 9, 1, 200, 0, 3, 12, 12, 1, 1})
	f.Add([]byte{1, 0, 0, 0})
	f.Add([]byte{12, 90})
	addr, c := openFront(f, serverConfig, func(s *decision.Settings) { s.MaxAttempts = 1 })
	c.Loop.Post(func() {
		c.UpdateWorkers(keyedWorker{c}, decision.ListDelta, []decision.Endpoint{{Name: "w", Kind: 3}})
	})
	jids := 0
	f.Fuzz(func(t *testing.T, steps []byte) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(testTimeout))
		p := &client{t, conn, bufio.NewReader(conn)}
		want, greeted, ended := []string{"+HI"}, false, false
		for i := 0; i+1 < len(steps) && i < 60 && !ended; i += 2 {
			x := sessionCommands[int(steps[i])%len(sessionCommands)]
			jids++
			text := strings.ReplaceAll(x.text, "JID", fmt.Sprintf("fuzz-%09d", jids)) + "\r\n"
			cut := int(steps[i+1]) * len(text) / 256
			conn.Write([]byte(text[:cut]))
			if steps[i+1]%16 == 15 {
				time.Sleep(time.Millisecond)
			}
			conn.Write([]byte(text[cut:]))
			answer := x.want
			switch hello := strings.HasPrefix(x.text, "HELLO"); {
			case hello && greeted:
				answer = "-ERR HELLO"
			case !hello && !greeted && !x.ends:
				answer, ended = "-ERR HELLO", true
			}
			greeted = true
			want, ended = append(want, answer), ended || x.ends
		}
		for i, w := range want {
			if got, err := p.reply(); err != nil || !strings.HasPrefix(got, w) {
				t.Fatalf("answer %d: %q, %v; want %q of %q", i, got, err, w, want)
			}
		}
		if ended {
			if rest, _ := io.ReadAll(p.reader); len(rest) > 0 {
				t.Fatalf("after the last answer: %q", rest)
			}
		}
	})
}

// FuzzParse checks that no input makes a parser panic or use more bytes than
// there are.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"+HI {\"v\":2}\r\n", "$5\r\nhello\r\n", "$-1\r\n", "$99999999\r\n", ":1\n", "-ERR x\r\n", "$3\r\nabcde", ""} {
		f.Add([]byte(s))
	}
	f.Add([]byte(`{"jid":"12345678","queue":"a","args":[],"at":"2026-12-01T00:00:00Z","custom":{"time_left_ms":1e300,"effort_us":-1}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, used, err := parseReply(b); used > len(b) || used > 0 && len(r.text) > used || err != nil && used != 0 {
			t.Fatalf("%+v, used %d of %d, %v", r, used, len(b), err)
		}
		parseCommand(b)
		job, err := parseJob(b, map[string]int{"a": 0}, time.Hour)
		request := &job.request
		if err == nil && (len(request.ID) < 8 || request.TimeLeft < 0 || request.Work < 0) {
			t.Fatalf("%+v", request)
		}
	})
}
