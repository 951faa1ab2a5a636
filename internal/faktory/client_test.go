package faktory

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// The clients of these tests, producers and workers, are implemented from the
// protocol's public specification.

// testTimeout is how long the tests wait for an expected event.
const testTimeout = 20 * time.Second

// bothQueues are the queues of the tests' classes.
const bothQueues = "status-check renewal"

// client is a connection of a producer or a worker.
type client struct {
	t      testing.TB
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a connection and sends nothing.
func connect(t testing.TB, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(2 * testTimeout))
	return &client{t, conn, bufio.NewReader(conn)}
}

// dial opens a connection and sends HELLO.
func dial(t testing.TB, address string, message hello) *client {
	t.Helper()
	c := connect(t, address)
	greetingLine, _ := c.readReply()
	if !strings.HasPrefix(greetingLine, "+HI {") {
		t.Fatalf("greeting %q", greetingLine)
	}
	message.Version = 2
	raw, _ := json.Marshal(message)
	if got := c.do("HELLO " + string(raw)); got != "+OK" {
		t.Fatalf("HELLO: %q", got)
	}
	return c
}

// dialProducer connects a producer.
func dialProducer(t testing.TB, address string) *client {
	t.Helper()
	return dial(t, address, hello{})
}

// dialWorker connects a worker with labels.
func dialWorker(t testing.TB, address, wid string, labels ...string) *client {
	t.Helper()
	return dial(t, address, hello{Wid: wid, Labels: labels})
}

// readReply reads one reply: its line, or the text of a bulk string.
func (c *client) readReply() (string, error) {
	line, err := c.reader.ReadString('\n')
	line = strings.TrimRight(line, "\r\n")
	var length int
	_, bulkError := fmt.Sscanf(line, "$%d", &length)
	if err != nil || bulkError != nil || length < 0 {
		return line, err
	}
	text := make([]byte, length+2)
	_, err = io.ReadFull(c.reader, text)
	return string(text[:length]), err
}

// do sends a command and returns the reply, or a text that begins with brokenPrefix
// if the connection is broken.
func (c *client) do(command string) string {
	c.conn.Write([]byte(command + "\r\n"))
	got, err := c.readReply()
	if err != nil {
		return brokenPrefix + err.Error()
	}
	return got
}

// brokenPrefix is the prefix of the text that do returns if the connection is
// broken.
const brokenPrefix = "broken: "

// expect sends a command and checks that the reply begins with want, or is equal to
// it if want is +OK.
func (c *client) expect(command, want string) {
	c.t.Helper()
	got := c.do(command)
	if !strings.HasPrefix(got, want) || want == "+OK" && got != want {
		c.t.Fatalf("%.60s: %q, want %q", command, got, want)
	}
}

// fetch sends FETCH until there is a job, and returns the job.
func (c *client) fetch(queues string) string {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		if got := c.do("FETCH " + queues); got != nullBulk {
			return got
		}
	}
	c.t.Fatal("FETCH returned no job in time")
	return ""
}

// expectFetch fetches a job and checks its jid.
func (c *client) expectFetch(queues, jid string) {
	c.t.Helper()
	if got := c.fetch(queues); jidOf(got) != jid {
		c.t.Fatalf("fetched %q, want the job %s", got, jid)
	}
}

// ack acknowledges a job and returns the reply.
func (c *client) ack(jid string) string { return c.do(`ACK {"jid":"` + jid + `"}`) }

// serveJobs fetches jobs and acknowledges each, after calling run with its jid,
// until the connection is closed.
func (c *client) serveJobs(run func(jid string)) {
	for {
		raw := c.do("FETCH " + bothQueues)
		if strings.HasPrefix(raw, brokenPrefix) {
			return
		}
		if raw == nullBulk {
			continue
		}
		run(jidOf(raw))
		c.ack(jidOf(raw))
	}
}

// pushCommand returns a PUSH; custom holds the fields of its custom object.
func pushCommand(jid, class, custom string) string {
	if custom == "" {
		custom = `"effort_us":20000`
	}
	return fmt.Sprintf(`PUSH {"jid":%q,"queue":%q,"jobtype":"x","args":[1],"custom":{%s}}`, jid, class, custom)
}

// jidOf returns the jid of a job or of a message about one.
func jidOf(text string) string {
	var job work
	json.Unmarshal([]byte(text), &job)
	return job.Jid
}

// pushAsync sends a PUSH on a new connection and returns the channel that receives
// the reply.
func pushAsync(t *testing.T, address, command string) chan string {
	answer := make(chan string, 1)
	producer := dialProducer(t, address)
	go func() { answer <- producer.do(command) }()
	return answer
}

// awaitAnswer waits for an answer on a channel.
func awaitAnswer(t *testing.T, answer chan string) string {
	t.Helper()
	select {
	case got := <-answer:
		return got
	case <-time.After(testTimeout):
		t.Fatal("no answer")
		return ""
	}
}
