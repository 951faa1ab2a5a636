package main

import (
	"bufio"
	"fmt"
	"net"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/goldentest"
	"hollyyoke.example/hollyyoke/internal/handover"
)

// In these tests the program under test is one side of a handover. The test acts as the other
// side, and sends the messages that earlier builds send.

// maskedValues are the parts of messages that differ between runs.
var maskedValues = []struct {
	text *regexp.Regexp
	mask string
}{
	{regexp.MustCompile(`"age_ms":[0-9]+`), `"age_ms":AGE`},
	{regexp.MustCompile(`"descriptors":[0-9]+`), `"descriptors":COUNT`},
	{regexp.MustCompile(`"memory":[0-9]+`), `"memory":BYTES`},
	{regexp.MustCompile(`"key":"[A-Za-z0-9+/]{22}=="`), `"key":"KEY OF 16 BYTES"`},
	{regexp.MustCompile(`"names":"[A-Za-z0-9+/]{11}="`), `"names":"ONE NAME"`},
	{regexp.MustCompile(`127\.0\.0\.1:[0-9]+`), `ADDRESS`},
}

func maskValues(line string) string {
	for _, value := range maskedValues {
		line = value.text.ReplaceAllString(line, value.mask)
	}
	return line
}

// testPeer acts as the peer process of the program under test.
type testPeer struct {
	t          *testing.T
	conn       net.Conn
	reader     *bufio.Reader
	transcript strings.Builder
}

func newPeer(t *testing.T, conn net.Conn) *testPeer {
	t.Helper()
	conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { conn.Close() })
	return &testPeer{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// send sends a line.
func (p *testPeer) send(line string) {
	p.t.Helper()
	if _, err := fmt.Fprintln(p.conn, line); err != nil {
		p.t.Fatal(err)
	}
}

// receive reads messages until one has the given first key. It adds this message, masked, to
// the transcript, and ignores the others, because they may arrive at any time.
func (p *testPeer) receive(key string) {
	p.t.Helper()
	for {
		line, err := p.reader.ReadString('\n')
		if err != nil {
			p.t.Fatalf("no %s: %v; received so far:\n%s", key, err, p.transcript.String())
		}
		if strings.HasPrefix(line, `{"`+key+`":`) {
			p.transcript.WriteString(maskValues(line))
			return
		}
	}
}

// runtimeDirectory returns the directory of the handover socket.
func (d *testDaemon) runtimeDirectory() string {
	d.t.Helper()
	for _, variable := range d.env {
		if directory, found := strings.CutPrefix(variable, "TMPDIR="); found {
			return directory
		}
	}
	d.t.Fatal("TMPDIR is not set")
	return ""
}

// connectAsSuccessor connects to the handover socket in the daemon's directory, as a successor
// does.
func (d *testDaemon) connectAsSuccessor() *testPeer {
	d.t.Helper()
	sockets, err := filepath.Glob(filepath.Join(d.runtimeDirectory(), "hollyyoke-*.sock"))
	if err != nil || len(sockets) != 1 {
		d.t.Fatalf("handover sockets: %q, %v; want one", sockets, err)
	}
	conn, err := net.Dial("unix", sockets[0])
	if err != nil {
		d.t.Fatal(err)
	}
	return newPeer(d.t, conn)
}

// startAsSuccessor starts the daemon as a successor. The returned peer is its predecessor.
func (d *testDaemon) startAsSuccessor() (predecessor *testPeer) {
	d.t.Helper()
	listener, err := net.Listen("unix", handover.SocketPath(d.runtimeDirectory(), "n0 "+d.listen))
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { listener.Close() })
	d.skipReadyWait = true
	d.start()
	conn, err := listener.Accept()
	if err != nil {
		d.t.Fatal(err)
	}
	return newPeer(d.t, conn)
}

// From the successor's connection to its own shutdown, a predecessor sends the messages in the
// golden file.
func TestGoldenPredecessor(t *testing.T) {
	daemon := newDaemonWithAdmin(t, newPlatformListener(t))
	first := daemon.addWorker("s-1", respondDone)
	daemon.start()
	daemon.discovery.waitForWatch()
	successor := daemon.connectAsSuccessor()
	successor.receive("hello")
	successor.receive("room")

	daemon.postStatus("renewal", "one-name")
	successor.receive("names")
	added := daemon.addWorker("s-2", respondDone)
	daemon.discovery.sendList(42, first.listEntry("draining"), added.listEntry("ready"))
	successor.receive("list")
	daemon.setOutOfService()
	successor.receive("out_of_service")
	daemon.setInService()
	successor.receive("out_of_service")
	daemon.config["discovery"] = startDiscovery(t).address
	daemon.writeConfig()
	daemon.signal(syscall.SIGHUP)
	successor.receive("discovery")

	successor.send(`{"ready":true}`)
	daemon.waitForLog("successor is accepting clients")
	daemon.signal(syscall.SIGTERM)
	successor.receive("kept")
	if code := daemon.waitForExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	goldentest.Compare(t, "handover-predecessor.jsonl", successor.transcript.String())
}

// A successor acts on each message of its predecessor, and sends the messages in the golden
// file.
func TestGoldenSuccessor(t *testing.T) {
	daemon := newDaemonWithAdmin(t, newPlatformListener(t))
	greeted := daemon.addWorker("s-1", respondDone)
	listed := (&testDaemon{t: t}).addWorker("s-2", respondDone) // not in the daemon's initial endpoint list
	silent := listenLocal(t)
	moved := listenLocal(t)
	list := func(worker *testWorker) string {
		return `{"seq":57,"whole":true,"hosts":[` + worker.listEntry("ready") + `],"age_ms":10}`
	}
	predecessor := daemon.startAsSuccessor()

	predecessor.send(`{"hello":{"discovery":"` + silent.Addr().String() + `","list":` + list(greeted) +
		`,"out_of_service":true,"key":"AAECAwQFBgcICQoLDA0ODw=="}}`)
	predecessor.send(`{"room":{"descriptors":512,"memory":100663296}}`)
	predecessor.send(`{"names":"AQAAAAAAAAA="}`)
	daemon.waitForLog("started as the successor of a running process")
	daemon.waitForLog(`"out of service"`)
	predecessor.receive("ready")

	predecessor.send(`{"list":` + list(listed) + `}`)
	predecessor.send(`{"charge":{"backend":"s-2","amount":0.125}}`)
	predecessor.send(`{"out_of_service":false}`)
	daemon.waitForLog(`"in service"`)
	daemon.waitUntil("in service", func() bool { return daemon.health() == 200 })
	status := daemon.postStatus("renewal", "by-the-list")
	if status != 200 || len(greeted.requests()) != 0 || len(listed.requests()) != 1 {
		t.Errorf("a request after the new list: status %d; the workers received %q and %q", status, greeted.requests(), listed.requests())
	}
	predecessor.receive("names")
	predecessor.send(`{"discovery":"` + moved.Addr().String() + `"}`)
	daemon.waitForLog("discovery moves to " + moved.Addr().String())
	daemon.setOutOfService()
	predecessor.receive("out_of_service")

	predecessor.send(`{"kept":true}`)
	predecessor.conn.Close()
	daemon.waitForLog("predecessor has ended")
	daemon.waitForLog("accepting clients")
	if strings.Contains(daemon.log.String(), "handover: ") { // the prefix of all log lines about invalid messages
		t.Error("the program has logged an invalid message")
	}
	goldentest.Compare(t, "handover-successor.jsonl", predecessor.transcript.String())
}
