package httpfront

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/httpwire"
)

const (
	// memoryRetryAfter is the Retry-After of responses to requests that were rejected for lack of memory.
	memoryRetryAfter = time.Second
	// maxWeightHint is the value, in microseconds, from which on an X-Weight-Hint is ignored as too large.
	maxWeightHint = 1e12
)

// Errors of requests whose header fields are missing or invalid. Their texts are sent to clients.
var (
	errNoCorrelationID      = errors.New("no X-Correlation-Id")
	errInvalidCorrelationID = errors.New("X-Correlation-Id is not of 1 to 128 letters, digits or -._:~+/=@")
	errInvalidTimeLeft      = errors.New("X-Time-Left-Ms is not a whole number")
)

// route handles a complete request at the start of the input.
func (c *clientConnection) route(message *httpwire.Message) {
	path, _, _ := bytes.Cut(message.Target(), []byte("?"))
	if bytes.Equal(path, []byte("/healthz")) {
		c.respondDirectly(message, c.frontEnd.healthResponse(message))
		return
	}
	class, known := c.frontEnd.classOf(path)
	if !known {
		c.respondDirectly(message, textResponse(httpwire.StatusNotFound, "no such class\n"))
		return
	}
	if !bytes.Equal(message.Method(), []byte("POST")) {
		c.respondDirectly(message, methodNotAllowed("POST"))
		return
	}
	c.admit(message, class)
}

// admit passes a request for a class to the dispatcher or to the durable service, or rejects it.
func (c *clientConnection) admit(message *httpwire.Message, class int) {
	frontEnd := c.frontEnd
	request, err := parseRequestFields(message)
	if err != nil {
		c.rejectInvalid(message, class, httpwire.StatusBadRequest, err.Error()+"\n")
		return
	}
	request.ArrivedAt = c.incoming.arrivedAt
	request.ReceivedAt = c.incoming.startedAt
	request.Class = class
	key := message.Get("Idempotency-Key")
	if len(key) > 0 && frontEnd.isDurable(class) {
		c.admitDurable(message, request, string(key))
		return
	}
	if frontEnd.dispatcher.IsKnownID(request.ID) { // the request with this ID may be another client's
		c.rejectInvalid(message, class, httpwire.StatusConflict, "X-Correlation-Id names another request\n")
		return
	}
	frontEnd.freeMemory()
	if frontEnd.memoryExhausted() {
		c.rejectTemporarily(message, class, errMemoryExhausted.Error()+"\n", memoryRetryAfter)
		return
	}
	c.dispatch(message, request)
}

// rejectInvalid rejects a request for a class that would be rejected again if it were sent unchanged.
func (c *clientConnection) rejectInvalid(message *httpwire.Message, class, status int, text string) {
	c.frontEnd.dispatcher.CountResponse(class, dispatch.Failed)
	c.respondDirectly(message, textResponse(status, text))
}

// rejectTemporarily rejects a request for a class that may be served if it is sent again later.
func (c *clientConnection) rejectTemporarily(message *httpwire.Message, class int, text string, retryAfter time.Duration) {
	c.frontEnd.dispatcher.CountResponse(class, dispatch.Rejected)
	response := textResponse(httpwire.StatusServiceUnavailable, text)
	response.retryAfter = retryAfter
	c.input.consume(message.Size)
	c.writeResponse(response)
}

// classOf returns the class whose name is the first segment of a path.
func (f *FrontEnd) classOf(path []byte) (class int, known bool) {
	if len(path) < 2 || path[0] != '/' {
		return 0, false
	}
	name, _, _ := bytes.Cut(path[1:], []byte("/"))
	class, known = f.classes[string(name)]
	return class, known
}

// parseRequestFields returns a request with the values from the request line and the header fields.
func parseRequestFields(message *httpwire.Message) (dispatch.Request, error) {
	id := message.Get("X-Correlation-Id")
	if len(id) == 0 {
		return dispatch.Request{}, errNoCorrelationID
	}
	if !httpwire.IsIdentifier(id) {
		return dispatch.Request{}, errInvalidCorrelationID
	}
	timeLeft, err := parseTimeLeft(message)
	if err != nil {
		return dispatch.Request{}, err
	}
	return dispatch.Request{
		ID:             string(id),
		Key:            keyOf(message.Target()),
		Target:         string(message.Target()),
		IdempotencyKey: string(message.Get("Idempotency-Key")),
		TimeLeft:       timeLeft,
		Work:           parseWeightHint(message.Get("X-Weight-Hint")),
		Slots:          parseSlots(message.Get("X-Facts")),
		ClientRetry:    bytes.Equal(message.Get("X-Repeat"), []byte("1")),
	}, nil
}

// keyOf returns the key in a target, which is the last segment of its path, or "" if the path has only one segment, the
// class.
func keyOf(target []byte) string {
	path, _, _ := bytes.Cut(target, []byte("?"))
	i := bytes.LastIndexByte(path, '/')
	if i <= 0 {
		return ""
	}
	return string(path[i+1:])
}

// parseTimeLeft returns how long the client still waits, at least a nanosecond, or 0 if the request does not state it.
func parseTimeLeft(message *httpwire.Message) (time.Duration, error) {
	if message.Count("X-Time-Left-Ms") == 0 {
		return 0, nil
	}
	milliseconds, valid := httpwire.ParseNumber(message.Get("X-Time-Left-Ms"))
	if !valid {
		return 0, errInvalidTimeLeft
	}
	return max(time.Duration(milliseconds)*time.Millisecond, time.Nanosecond), nil
}

// parseWeightHint returns the client's estimate of the run time, or 0 if the field holds no valid one.
func parseWeightHint(field []byte) time.Duration {
	microseconds, err := strconv.ParseFloat(string(field), 64)
	if err != nil || !(microseconds > 0 && microseconds < maxWeightHint) { // also false for NaN
		return 0
	}
	return time.Duration(microseconds * float64(time.Microsecond))
}

// parseSlots returns the number of slots that X-Facts states as "slots" or "needs", or 0 if it states neither. If
// there are several, the last one counts.
func parseSlots(facts []byte) float64 {
	slots := 0.0
	for fact := range bytes.SplitSeq(facts, []byte(",")) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(fact), []byte("="))
		number, err := strconv.ParseFloat(string(value), 64)
		if err == nil && (string(name) == "slots" || string(name) == "needs") {
			slots = number
		}
	}
	return slots
}

// dispatch hands a request to the dispatcher, together with the input buffer that holds its body. Bytes after the
// request move to a new buffer.
func (c *clientConnection) dispatch(message *httpwire.Message, request dispatch.Request) {
	frontEnd := c.frontEnd
	buffer := c.input.detach(message.Size)
	request.Body = message.Body
	request.Release = func() { frontEnd.engine.Pool.Put(buffer) }
	c.beginService()
	handle := frontEnd.dispatcher.Accept(frontEnd, c.token, request)
	if c.response.pending {
		c.response.handle = handle
	}
}

// beginService marks the response as pending, stops the timer, and tells the limiter that the request is complete.
func (c *clientConnection) beginService() {
	frontEnd := c.frontEnd
	c.response.pending = true
	c.response.handle = 0
	frontEnd.loop().Clear(&c.timer)
	frontEnd.gate.Limiter.RequestComplete(frontEnd.loop().Now(), c.limiterID)
}
