package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/testkit"
)

// A byte of FuzzDrain is a step: its last three bits are what happens, those before them on which connection.
const (
	drainConnections = 4
	maxDrainSteps    = 60
)

// drainStep is what happens in one step of FuzzDrain.
type drainStep byte

const (
	openConnection drainStep = iota
	askForHealth
	sendHalfRequest
	sendOtherHalf
	beginDrain
	passNoticeTime
	passIdleTime
	endDrain
	drainSteps // the number of the steps above
)

// FuzzDrain checks client connections against a model of a drain. A byte is a step on one of four connections: open it,
// ask for health, send half a request or the rest of one; or on the front end: drain it, let the notice time pass, let
// the idle time pass, end the drain. Each complete request has its one response, which ends the connection where the
// model says so; /healthz says 503 during the drain; and only an idle connection may end without a response, after the
// idle time.
func FuzzDrain(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 1, 3, 5, 1, 8, 10, 11, 16, 17})
	f.Add([]byte{0, 2, 8, 9, 16, 18, 4, 5, 6, 3, 9, 19, 7, 24, 25, 26, 27})
	f.Add([]byte{4, 5, 0, 2, 6, 3, 8, 9, 7, 16, 17, 4, 6, 17, 7, 4, 4, 7, 7, 16, 17})
	rig := testkit.NewRig(f)
	frontEnd, addr := newEchoFrontEnd(f, rig, ampleMemory, 200, alwaysReady)
	requests := 0
	f.Fuzz(func(t *testing.T, steps []byte) {
		model := &drainModel{t: t, rig: rig, frontEnd: frontEnd, addr: addr, steps: steps, requests: &requests}
		defer rig.Do(frontEnd.EndDrain)
		defer model.closeAll()
		for i, step := range steps[:min(len(steps), maxDrainSteps)] {
			model.index = i
			model.take(drainStep(step)%drainSteps, int(step/byte(drainSteps)%drainConnections))
		}
	})
}

// drainModel is what clients must see of a front end that is drained.
type drainModel struct {
	t        *testing.T
	rig      *testkit.Rig
	frontEnd *FrontEnd
	addr     string
	steps    []byte
	index    int  // of the present step
	requests *int // the number of requests so far, in all runs

	clients            [drainConnections]*drainClient // nil: not connected
	opened             []net.Conn
	draining           bool
	closeAfterResponse bool
	idleMayClose       bool
}

// drainClient is a client's end of a connection.
type drainClient struct {
	net.Conn
	reader *bufio.Reader
	rest   string // what remains to be sent of the request that was begun
}

// take takes a step on a connection or on the front end, if it is possible now.
func (m *drainModel) take(step drainStep, number int) {
	m.t.Helper()
	client := m.clients[number]
	between := client != nil && client.rest == ""
	switch {
	case step == openConnection && client == nil:
		m.open(number)
	case step == askForHealth && between:
		status := 200
		if m.draining {
			status = 503
		}
		m.exchange(number, healthRequest, status)
	case step == sendHalfRequest && between:
		m.sendHalf(client)
	case step == sendOtherHalf && client != nil && client.rest != "":
		rest := client.rest
		client.rest = ""
		m.exchange(number, rest, 200)
	case step == beginDrain:
		m.onLoop(m.frontEnd.Drain)
		m.draining = true
	case step == passNoticeTime && m.draining:
		m.onLoop(m.frontEnd.continueDrain)
		m.closeAfterResponse = true
	case step == passIdleTime && m.draining:
		m.onLoop(func() {
			m.frontEnd.drain.startedAt -= drainIdleTime
			m.frontEnd.continueDrain()
		})
		m.closeAfterResponse = true
		m.idleMayClose = true
	case step == endDrain:
		m.rig.Do(m.frontEnd.EndDrain)
		m.draining = false
		m.closeAfterResponse = false // a connection that was closed in the meantime stays closed
	}
}

// onLoop calls a function of the front end. The drain goes on only when a step says so.
func (m *drainModel) onLoop(call func()) {
	m.rig.Do(func() {
		call()
		m.rig.Dispatcher.Loop.Clear(&m.frontEnd.drain.timer)
	})
}

// open opens a connection.
func (m *drainModel) open(number int) {
	m.t.Helper()
	conn, err := net.Dial("tcp", m.addr)
	if err != nil {
		m.t.Fatal(err)
	}
	m.opened = append(m.opened, conn)
	conn.SetDeadline(time.Now().Add(testkit.Patience))
	m.clients[number] = &drainClient{Conn: conn, reader: bufio.NewReader(conn)}
}

// closeAll closes all connections that were opened.
func (m *drainModel) closeAll() {
	for _, conn := range m.opened {
		conn.Close()
	}
}

// sendHalf sends a part of a request.
func (m *drainModel) sendHalf(client *drainClient) {
	*m.requests++
	text := testkit.RequestWithID(fmt.Sprint("drain", *m.requests))
	cut := 1 + *m.requests%(len(text)-1)
	fmt.Fprint(client, text[:cut])
	client.rest = text[cut:]
}

// exchange sends a text, which completes a request, and checks its response.
func (m *drainModel) exchange(number int, text string, status int) {
	m.t.Helper()
	client := m.clients[number]
	fmt.Fprint(client, text) // may fail if an idle connection has been closed
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		if !m.idleMayClose {
			m.t.Fatalf("step %d of %v: no response: %v", m.index, m.steps, err)
		}
		m.clients[number] = nil
		return
	}
	io.Copy(io.Discard, response.Body)
	if response.StatusCode != status || response.Close != m.closeAfterResponse {
		m.t.Fatalf("step %d of %v: %d, ends: %v; want %d, %v",
			m.index, m.steps, response.StatusCode, response.Close, status, m.closeAfterResponse)
	}
	if !m.closeAfterResponse {
		return
	}
	if _, err := client.reader.ReadByte(); err != io.EOF {
		m.t.Fatalf("step %d of %v: behind the last response: %v", m.index, m.steps, err)
	}
	m.clients[number] = nil
}
