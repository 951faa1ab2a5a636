package relay

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// This file owns discovery's forms towards subscribers. Handlers keep no state:
// what a subscriber is sent, and when, is decided by the state's goroutine.

const (
	heartbeat     = 1500 * time.Millisecond // between lines of a watch; subscribers expect one every 2 s
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	mostHeader    = 8 << 10   // bytes
	sendBuffer    = 256 << 10 // bytes in the kernel for one subscriber
	otherCalls    = 64        // connections beyond two for each subscriber
)

// handler answers subscribers.
type handler struct {
	state        *state
	writeTimeout time.Duration
}

func (h *handler) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	switch {
	case in.URL.Path != "/v1/servers":
		http.NotFound(out, in)
		return
	case in.Method != http.MethodGet:
		out.Header().Set("Allow", http.MethodGet)
		http.Error(out, "only GET", http.StatusMethodNotAllowed)
		return
	case in.ContentLength != 0:
		out.Header().Set("Connection", "close")
		http.Error(out, "no body is expected", http.StatusRequestEntityTooLarge)
		return
	}
	call, err := parseCall(in)
	if err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	if in.URL.Query().Get("watch") == "1" {
		h.watch(out, in, call)
		return
	}
	h.call(out, in, call)
}

// parseCall reads a call's query. An error names the parameter.
func parseCall(in *http.Request) (call callMessage, err error) {
	query := in.URL.Query()
	call.name = query.Get("name")
	if call.name != "" {
		if err := checkName(call.name); err != nil {
			return call, errors.New("name: " + err.Error())
		}
	}
	number := func(key string, most int64) int64 {
		text := query.Get(key)
		if text == "" || err != nil {
			return 0
		}
		n, e := strconv.ParseInt(text, 10, 64)
		if e != nil || n < 0 || n > most {
			err = errors.New(key + ": not a number from 0 to " + strconv.FormatInt(most, 10))
			return 0
		}
		return n
	}
	const mostFleet = 1 << 30
	call.after = membership.Version(number("after", 1<<62))
	call.acked = membership.Version(number("acked", 1<<62))
	call.relay = query.Has("fleet")
	call.fleet = int(number("fleet", mostFleet))
	return call, err
}

// call answers a plain call: a snapshot, or what the caller lacks.
func (h *handler) call(out http.ResponseWriter, in *http.Request, call callMessage) {
	call.reply = make(chan callReply, 1)
	call.gzip = acceptsGzip(in)
	if !h.state.send(call) {
		refuse(out, errEnding)
		return
	}
	answer := <-call.reply
	if answer.err != nil {
		refuse(out, answer.err)
		return
	}
	text := answer.line.line()
	out.Header().Set("Content-Type", "application/json")
	if call.gzip && len(text) > gzipFrom {
		text = answer.line.gzip()
		out.Header().Set("Content-Encoding", "gzip")
	}
	out.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if h.write(out, text) == nil {
		h.state.send(answeredMessage{call.name, answer.line, len(text) + headBytes})
	}
}

const (
	gzipFrom  = 512 // bytes; less is not worth it
	headBytes = 160 // of an answer, as counted for the byte bound
	lineBytes = 10  // around a chunk, as counted for the byte bound
)

func acceptsGzip(in *http.Request) bool {
	for coding := range strings.SplitSeq(in.Header.Get("Accept-Encoding"), ",") {
		name, parameters, _ := strings.Cut(coding, ";")
		if strings.TrimSpace(name) == "gzip" {
			return strings.ReplaceAll(parameters, " ", "") != "q=0"
		}
	}
	return false
}

// refuse answers 503: the caller tries another server.
func refuse(out http.ResponseWriter, reason error) {
	http.Error(out, reason.Error(), http.StatusServiceUnavailable)
}

// write sends bytes within the time for it.
func (h *handler) write(out http.ResponseWriter, text []byte) error {
	control := http.NewResponseController(out)
	if err := control.SetWriteDeadline(time.Now().Add(h.writeTimeout)); err != nil {
		return err
	}
	if _, err := out.Write(text); err != nil {
		return err
	}
	return control.Flush()
}

// watch answers with changes as they come, until the caller leaves, reads too
// slowly, or the state ends it.
func (h *handler) watch(out http.ResponseWriter, in *http.Request, call callMessage) {
	open := openMessage{name: call.name, after: call.after, relay: call.relay, reply: make(chan openReply, 1)}
	if !h.state.send(open) {
		refuse(out, errEnding)
		return
	}
	opened := <-open.reply
	if opened.err != nil {
		refuse(out, opened.err)
		return
	}
	defer h.state.send(closedMessage{opened.id})
	out.Header().Set("Content-Type", "application/json")
	out.Header().Set("Via", formatVia(opened.path))
	if http.NewResponseController(out).Flush() != nil {
		return
	}
	h.lines(out, in, opened)
}

// protocolVersion stands before each name in a Via header.
const protocolVersion = "1.1 "

// formatVia names the relays that changes came by.
func formatVia(path []string) string {
	return protocolVersion + strings.Join(path, ", "+protocolVersion)
}

// parseVia reads what formatVia wrote. Other forms name no relay.
func parseVia(headers []string) (path []string) {
	for _, header := range headers {
		for via := range strings.SplitSeq(header, ",") {
			if name, ok := strings.CutPrefix(strings.TrimSpace(via), protocolVersion); ok {
				path = append(path, name)
			}
		}
	}
	return path
}

func (h *handler) lines(out http.ResponseWriter, in *http.Request, opened openReply) {
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		select {
		case line := <-opened.watch.lines:
			text := line.line()
			if h.write(out, text) != nil {
				panic(http.ErrAbortHandler) // a line was cut: the answer must not look complete
			}
			h.state.send(writtenMessage{opened.id, line, len(text) + lineBytes})
			beat.Reset(heartbeat)
		case <-beat.C:
			if h.write(out, []byte("\n")) != nil {
				panic(http.ErrAbortHandler)
			}
			h.state.counters.sentSum.Add(lineBytes)
		case <-opened.watch.ended:
			return
		case <-in.Context().Done():
			return
		}
	}
}

// admin answers operators.
type admin struct{ state *state }

func (a admin) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if in.URL.Path != "/control/membership" || in.Method != http.MethodGet {
		http.NotFound(out, in)
		return
	}
	ask := statusMessage{make(chan Status, 1)}
	if !a.state.send(ask) {
		refuse(out, errEnding)
		return
	}
	text, err := json.MarshalIndent(<-ask.reply, "", "  ")
	if err != nil {
		http.Error(out, err.Error(), http.StatusInternalServerError)
		return
	}
	out.Header().Set("Content-Type", "application/json")
	out.Write(append(text, '\n'))
}

// boundedListener is a TCP listener that closes connections beyond a limit at once.
type boundedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.limit {
			l.open.Add(-1)
			conn.Close()
			continue
		}
		tcp := conn.(*net.TCPConn)
		tcp.SetWriteBuffer(sendBuffer) // else the kernel's default holds
		return &boundedConn{TCPConn: tcp, listener: l}, nil
	}
}

// boundedConn is a TCP connection, so that the server can end its sending first.
type boundedConn struct {
	*net.TCPConn
	listener *boundedListener
	closed   atomic.Bool
}

func (c *boundedConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return c.TCPConn.Close()
}
