package relay

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

const (
	heartbeatInterval = 1500 * time.Millisecond // between lines of a watch; subscribers expect one every 2 s
	headerTimeout     = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 8 << 10

	minGzipBytes       = 512 // shorter responses are not compressed
	responseHeadBytes  = 160 // what the rate limit counts for the head of a response
	chunkOverheadBytes = 10  // what the rate limit counts for the framing of a chunk

	maxVersion          = 1 << 62 // largest version accepted in a query
	maxSubscribersBelow = 1 << 30 // largest number of subscribers accepted in a query
)

// handler serves discovery's protocol to subscribers. It has no state of its own;
// the goroutine that owns the state decides what a subscriber is sent, and when.
type handler struct {
	state        *state
	writeTimeout time.Duration
}

// ServeHTTP answers a watch or a single call.
func (h *handler) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path != "/v1/servers":
		http.NotFound(response, request)
		return
	case request.Method != http.MethodGet:
		response.Header().Set("Allow", http.MethodGet)
		http.Error(response, "only GET", http.StatusMethodNotAllowed)
		return
	case request.ContentLength != 0:
		response.Header().Set("Connection", "close")
		http.Error(response, "no body is expected", http.StatusRequestEntityTooLarge)
		return
	}
	call, err := parseCall(request)
	if err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	if request.URL.Query().Get("watch") == "1" {
		h.watch(response, request, call)
		return
	}
	h.call(response, request, call)
}

// parseCall parses the query of a call. An error names the invalid parameter.
func parseCall(request *http.Request) (call callMessage, err error) {
	query := request.URL.Query()
	call.name = query.Get("name")
	if call.name != "" {
		if err := checkName(call.name); err != nil {
			return call, errors.New("name: " + err.Error())
		}
	}
	after, err := parseNumber("after", query.Get("after"), maxVersion)
	if err != nil {
		return call, err
	}
	acked, err := parseNumber("acked", query.Get("acked"), maxVersion)
	if err != nil {
		return call, err
	}
	subscribersBelow, err := parseNumber("fleet", query.Get("fleet"), maxSubscribersBelow)
	if err != nil {
		return call, err
	}
	call.after = membership.Version(after)
	call.ackedBelow = membership.Version(acked)
	call.isRelay = query.Has("fleet")
	call.subscribersBelow = int(subscribersBelow)
	return call, nil
}

// parseNumber parses a parameter that must be from 0 to maximum. An empty text
// stands for 0.
func parseNumber(parameter, text string, maximum int64) (int64, error) {
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 || number > maximum {
		return 0, errors.New(parameter + ": not a number from 0 to " + strconv.FormatInt(maximum, 10))
	}
	return number, nil
}

// call answers a single call with what the caller lacks, as a snapshot or a delta.
func (h *handler) call(response http.ResponseWriter, request *http.Request, call callMessage) {
	call.reply = make(chan callReply, 1)
	call.acceptsGzip = acceptsGzip(request)
	if !h.state.send(call) {
		respondUnavailable(response, errClosing)
		return
	}
	answer := <-call.reply
	if answer.err != nil {
		respondUnavailable(response, answer.err)
		return
	}
	body := answer.change.json()
	response.Header().Set("Content-Type", "application/json")
	if call.acceptsGzip && len(body) > minGzipBytes {
		body = answer.change.gzipJSON()
		response.Header().Set("Content-Encoding", "gzip")
	}
	response.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if err := h.write(response, body); err != nil {
		return
	}
	h.state.send(callAnsweredMessage{call.name, answer.change, len(body) + responseHeadBytes})
}

// acceptsGzip reports whether the caller accepts a gzip-compressed response.
func acceptsGzip(request *http.Request) bool {
	for coding := range strings.SplitSeq(request.Header.Get("Accept-Encoding"), ",") {
		name, parameters, _ := strings.Cut(coding, ";")
		if strings.TrimSpace(name) == "gzip" {
			return strings.ReplaceAll(parameters, " ", "") != "q=0"
		}
	}
	return false
}

// respondUnavailable answers with status 503, so that the caller fails over.
func respondUnavailable(response http.ResponseWriter, reason error) {
	http.Error(response, reason.Error(), http.StatusServiceUnavailable)
}

// write writes and flushes a part of a response's body within the write timeout.
func (h *handler) write(response http.ResponseWriter, body []byte) error {
	control := http.NewResponseController(response)
	if err := control.SetWriteDeadline(time.Now().Add(h.writeTimeout)); err != nil {
		return err
	}
	if _, err := response.Write(body); err != nil {
		return err
	}
	return control.Flush()
}

// watch answers with changes as they arrive, until the caller disconnects or reads
// too slowly, or the state ends the watch.
func (h *handler) watch(response http.ResponseWriter, request *http.Request, call callMessage) {
	open := openWatchMessage{
		name:    call.name,
		after:   call.after,
		isRelay: call.isRelay,
		reply:   make(chan openWatchReply, 1),
	}
	if !h.state.send(open) {
		respondUnavailable(response, errClosing)
		return
	}
	opened := <-open.reply
	if opened.err != nil {
		respondUnavailable(response, opened.err)
		return
	}
	defer h.state.send(watchClosedMessage{opened.id})
	response.Header().Set("Content-Type", "application/json")
	response.Header().Set("Via", formatVia(opened.relayPath))
	if err := http.NewResponseController(response).Flush(); err != nil {
		return
	}
	h.sendLines(response, request, opened)
}

// sendLines writes a watch's changes and heartbeats until the watch ends.
func (h *handler) sendLines(response http.ResponseWriter, request *http.Request, opened openWatchReply) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case change := <-opened.watch.pending:
			line := change.json()
			if err := h.write(response, line); err != nil {
				panic(http.ErrAbortHandler) // a part of the line may be missing, so the response must not look complete
			}
			h.state.send(lineWrittenMessage{opened.id, change, len(line) + chunkOverheadBytes})
			heartbeat.Reset(heartbeatInterval)
		case <-heartbeat.C:
			if err := h.write(response, []byte("\n")); err != nil {
				panic(http.ErrAbortHandler)
			}
			h.state.counters.bytesSent.Add(chunkOverheadBytes)
		case <-opened.watch.ended:
			return
		case <-request.Context().Done():
			return
		}
	}
}
