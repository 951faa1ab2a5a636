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

// Each input byte of FuzzDrain is a step: its low three bits select the action, the next two the connection.
const (
	drainConnections = 4
	maxDrainSteps    = 60
)

// drainStep is the action of one step of FuzzDrain.
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
	drainSteps // number of the actions above
)

// FuzzDrain checks client connections against a model of a drain. Each byte is a step, either on one of four
// connections (open it, request /healthz, send the first part of a request or its rest) or on the front end (start a
// drain, let the notice time or the idle time pass, end the drain). Each complete request must get exactly one
// response, after which the connection is closed if the model says so. /healthz must return 503 during the drain. Only
// an idle connection may be closed without a response, and only after the idle time.
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
			model.applyStep(drainStep(step)%drainSteps, int(step/byte(drainSteps)%drainConnections))
		}
	})
}

// drainModel is a model of what clients must observe while a front end is drained.
type drainModel struct {
	t        *testing.T
	rig      *testkit.Rig
	frontEnd *FrontEnd
	addr     string
	steps    []byte
	index    int  // of the current step
	requests *int // number of requests so far, in all runs of the fuzz function

	clients            [drainConnections]*drainClient // nil where no client is connected
	opened             []net.Conn                     // all connections so far
	draining           bool
	closeAfterResponse bool // responses announce that the connection closes
	idleMayClose       bool // the front end may have closed idle connections
}

// drainClient is a client's end of a connection.
type drainClient struct {
	net.Conn
	reader *bufio.Reader
	rest   string // the unsent part of a request that was begun
}

// applyStep performs a step on a connection or on the front end, if it is possible in the current state. number is the
// index of the connection.
func (m *drainModel) applyStep(step drainStep, number int) {
	m.t.Helper()
	client := m.clients[number]
	betweenRequests := client != nil && client.rest == ""
	switch {
	case step == openConnection && client == nil:
		m.open(number)
	case step == askForHealth && betweenRequests:
		status := 200
		if m.draining {
			status = 503
		}
		m.exchange(number, healthRequest, status)
	case step == sendHalfRequest && betweenRequests:
		m.sendHalf(client)
	case step == sendOtherHalf && client != nil && client.rest != "":
		rest := client.rest
		client.rest = ""
		m.exchange(number, rest, 200)
	case step == beginDrain:
		m.doWithoutDrainTimer(m.frontEnd.Drain)
		m.draining = true
	case step == passNoticeTime && m.draining:
		m.doWithoutDrainTimer(m.frontEnd.continueDrain)
		m.closeAfterResponse = true
	case step == passIdleTime && m.draining:
		m.doWithoutDrainTimer(func() {
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

// doWithoutDrainTimer calls a function of the front end on the event loop, and stops the drain timer that it may have
// set, so that the drain continues only when a step says so.
func (m *drainModel) doWithoutDrainTimer(call func()) {
	m.rig.Do(func() {
		call()
		m.rig.Dispatcher.Loop.Clear(&m.frontEnd.drain.timer)
	})
}

// open opens the connection with the given index.
func (m *drainModel) open(number int) {
	m.t.Helper()
	conn, err := net.Dial("tcp", m.addr)
	if err != nil {
		m.t.Fatal(err)
	}
	m.opened = append(m.opened, conn)
	conn.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	m.clients[number] = &drainClient{Conn: conn, reader: bufio.NewReader(conn)}
}

// closeAll closes all connections that were opened.
func (m *drainModel) closeAll() {
	for _, conn := range m.opened {
		conn.Close()
	}
}

// sendHalf sends the first part of a request, and keeps the rest in client.rest.
func (m *drainModel) sendHalf(client *drainClient) {
	*m.requests++
	text := testkit.RequestWithID(fmt.Sprint("drain", *m.requests))
	cut := 1 + *m.requests%(len(text)-1)
	fmt.Fprint(client, text[:cut])
	client.rest = text[cut:]
}

// exchange sends a text that completes a request, and checks the response's status and whether the connection is closed
// after it.
func (m *drainModel) exchange(number int, text string, status int) {
	m.t.Helper()
	client := m.clients[number]
	fmt.Fprint(client, text) // may fail if the front end has closed the idle connection
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
		m.t.Fatalf("step %d of %v: status %d, close %v; want %d, %v",
			m.index, m.steps, response.StatusCode, response.Close, status, m.closeAfterResponse)
	}
	if !m.closeAfterResponse {
		return
	}
	if _, err := client.reader.ReadByte(); err != io.EOF {
		m.t.Fatalf("step %d of %v: after the last response: %v, want EOF", m.index, m.steps, err)
	}
	m.clients[number] = nil
}
