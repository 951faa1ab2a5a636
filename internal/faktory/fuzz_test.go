package faktory

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// keyedWorker is a worker client with one worker. Each attempt ends at once, with the
// outcome that the key of the job selects.
type keyedWorker struct{ dispatcher *dispatch.Dispatcher }

func (w keyedWorker) Start(attempt dispatch.Attempt) {
	outcome := map[string]decision.AttemptOutcome{
		"done":   decision.Completed,
		"failed": decision.Failed,
		"full":   decision.Saturated,
	}[attempt.Request.Key]
	w.dispatcher.AttemptEnded(attempt.Handle, outcome, decision.LoadReport{}, nil)
}

func (keyedWorker) Cancel(uint64) bool { return false }

func (keyedWorker) CloseIdle(string) {}

func (keyedWorker) CheckHealth(string) {}

func (keyedWorker) Subscribe() {}

// sessionCommand is a command of FuzzSession. JID in its text is replaced by a new
// jid each time that it is sent.
type sessionCommand struct {
	text string
	want string // prefix of the reply
	ends bool   // the server closes the connection after the reply
}

func (c sessionCommand) isHello() bool { return strings.HasPrefix(c.text, "HELLO") }

var sessionCommands = []sessionCommand{
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

// sessionModel predicts the replies on a producer's connection.
type sessionModel struct {
	want    []string // prefix of each reply
	greeted bool     // a command has been sent; from then on HELLO is rejected
	ended   bool     // the server closes the connection
}

// send adds the expected reply to a command.
func (m *sessionModel) send(command sessionCommand) {
	want := command.want
	ends := command.ends
	switch {
	case command.isHello() && m.greeted:
		want = "-ERR HELLO"
	case !command.isHello() && !m.greeted && !command.ends:
		want = "-ERR HELLO"
		ends = true
	}
	m.want = append(m.want, want)
	m.greeted = true
	m.ended = m.ended || ends
}

// check reads all replies and compares them with the expected ones.
func (m *sessionModel) check(t *testing.T, c *client) {
	t.Helper()
	for i, want := range m.want {
		got, err := c.readReply()
		if err != nil || !strings.HasPrefix(got, want) {
			t.Fatalf("reply %d: %q, %v; want %q of %q", i, got, err, want, m.want)
		}
	}
	if m.ended {
		rest, _ := io.ReadAll(c.reader)
		if len(rest) > 0 {
			t.Fatalf("received after the last reply: %q", rest)
		}
	}
}

// sendSplit sends a line in two parts. split determines where the line is split,
// and whether there is a pause between the parts.
func sendSplit(c *client, line string, split byte) {
	cut := int(split) * len(line) / 256
	c.conn.Write([]byte(line[:cut]))
	if split%16 == 15 {
		time.Sleep(time.Millisecond)
	}
	c.conn.Write([]byte(line[cut:]))
}

// maxSessionBytes limits the bytes of input that FuzzSession uses. Each command takes
// two bytes.
const maxSessionBytes = 60

// FuzzSession checks a producer's connection against a model: each command gets
// exactly one reply, in order, however its bytes are split; before HELLO only HELLO
// and END are accepted, and HELLO is accepted once.
func FuzzSession(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 2, 0, 3, 0, 4, 0, 5, 0, 6, 0, 7, 0, 8, 0, 9, 0, 10, 0, 11, 0, 12, 0})
	f.Add([]byte{0, 9, 1, 200, 0, 3, 12, 12, 1, 1})
	f.Add([]byte{1, 0, 0, 0})
	f.Add([]byte{12, 90})
	address, rig := openFrontEnd(f, serverConfig, func(settings *decision.Settings) { settings.MaxAttempts = 1 })
	dispatcher := rig.Dispatcher
	dispatcher.Loop.Post(func() {
		dispatcher.UpdateWorkers(keyedWorker{dispatcher}, decision.ListDelta, []decision.Endpoint{{Name: "w", Kind: 3}})
	})
	jids := 0
	f.Fuzz(func(t *testing.T, steps []byte) {
		c := connect(t, address)
		c.conn.SetDeadline(time.Now().Add(testTimeout))
		model := sessionModel{want: []string{"+HI"}}
		for i := 0; i+1 < len(steps) && i < maxSessionBytes && !model.ended; i += 2 {
			command := sessionCommands[int(steps[i])%len(sessionCommands)]
			jids++
			line := strings.ReplaceAll(command.text, "JID", fmt.Sprintf("fuzz-%09d", jids)) + "\r\n"
			sendSplit(c, line, steps[i+1])
			model.send(command)
		}
		model.check(t, c)
	})
}

// FuzzParse checks that no input makes a parser panic or report that it used more
// bytes than there are.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"+HI {\"v\":2}\r\n", "$5\r\nhello\r\n", "$-1\r\n", "$99999999\r\n", ":1\n", "-ERR x\r\n", "$3\r\nabcde", ""} {
		f.Add([]byte(seed))
	}
	f.Add([]byte(`{"jid":"12345678","queue":"a","args":[],"at":"2026-12-01T00:00:00Z","custom":{"time_left_ms":1e300,"effort_us":-1}}`))
	f.Fuzz(func(t *testing.T, input []byte) {
		answer, used, err := parseReply(input)
		if used > len(input) || used > 0 && len(answer.text) > used || err != nil && used != 0 {
			t.Fatalf("%+v, used %d of %d, %v", answer, used, len(input), err)
		}
		parseCommand(input)
		job, err := parseJob(input, map[string]int{"a": 0}, time.Hour)
		request := &job.request
		if err == nil && (len(request.ID) < 8 || request.TimeLeft < 0 || request.Work < 0) {
			t.Fatalf("%+v", request)
		}
	})
}
