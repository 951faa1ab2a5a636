package testkit

import (
	"fmt"
	"strings"

	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// WorkerResponse is a response of a worker and the outcome that is expected, for tests of the worker client.
type WorkerResponse struct {
	Script string           // for a ScriptedWorker; contains IDENTITY in place of the request's ID
	Want   dispatch.Outcome // expected outcome of a non-idempotent request
}

// WorkerResponses are the responses of the worker protocol, valid and invalid. Tests of the worker client send them in
// random order, split anywhere; the parser's fuzz test is seeded with them.
var WorkerResponses = []WorkerResponse{
	{ChunkedResponse(DoneLine), dispatch.Served},
	{ChunkedResponse(`{"id":"IDENTITY","state":"started"}`, `{"id":"IDENTITY","state":"running","share":0.5}`, "", DoneLine), dispatch.Served},
	{strings.Replace(ChunkedResponse(DoneLine), "0\r\n\r\n", "0\r\nX-Trailer: 1\r\n\r\n", 1), dispatch.Served},
	{ChunkedResponse(`{"id":"IDENTITY","state":"failed"}`), dispatch.Failed},
	{ChunkedResponse(`{"id":"IDENTITY","state":"started"}`, `{"id":"IDENTITY","state":"returned"}`), dispatch.Rejected},
	{ChunkedResponse(`{"id":"IDENTITY","state":"lost"}`), dispatch.Failed},
	{"HTTP/1.1 500 Error\r\nContent-Length: 3\r\n\r\nbad", dispatch.Failed},
	{"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nX-Backend-Load: {\"x0\":0}\r\nContent-Length: 0\r\n\r\n", dispatch.Rejected},
	{"HTTP/1.1 504 Full\r\nX-Unprocessed: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", dispatch.Rejected},
	{"HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno", dispatch.Failed},
	{"HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n", dispatch.Failed},
	{"HTTP/1.1 400 Bad\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", dispatch.Failed},
	{"", dispatch.Failed},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + CloseConnectionField + "\r\n1e\r\n{\"id\":\"IDENTITY\",\"state\":\"started\"}\r\n", dispatch.Failed},
	{ChunkedResponse(strings.Replace(DoneLine, "IDENTITY", "another1", 1)), dispatch.Failed},
	{ChunkedResponse(`{"id":"IDENTITY","state":`), dispatch.Failed},
	{ChunkedResponse(`{"id":"IDENTITY","state":"dreaming"}`), dispatch.Failed},
	{ChunkedResponse(), dispatch.Failed},
	{"nonsense\r\n\r\n", dispatch.Failed},
	{StatusLineOK + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", dispatch.Failed},
	{StatusLineOK + CloseConnectionField + "\r\n" + DoneText, dispatch.Served},
	{"HTTP/1.1 100 Continue\r\n\r\n" + StatusLineOK + "Connection: close\r\n" + CloseConnectionField + "\r\n" + DoneText + "\n", dispatch.Served},
}

// ChunkedResponse returns a worker's response whose body has a chunk for each line. The lines are job updates.
func ChunkedResponse(lines ...string) string {
	text := WatchHead
	for _, line := range lines {
		text += Chunk(line + "\n")
	}
	return text + "0\r\n\r\n"
}

// Parts of responses. IDENTITY is in place of the request's ID.
const (
	// StatusLineOK is the status line of a 200, to which tests add header fields and a body.
	StatusLineOK = "HTTP/1.1 200 OK\r\n"
	// WatchHead is the head of a chunked 200 response: a worker's to a request, or that of discovery to a watch.
	WatchHead = StatusLineOK + "Transfer-Encoding: chunked\r\n\r\n"
	// CloseConnectionField is a header field that makes a ScriptedWorker close the connection after the response.
	CloseConnectionField = "X-Note: HANG UP\r\n"
	// DoneLine is a job update that completes a request with the result "made" and a load report.
	DoneLine = `{"id":"IDENTITY","from":"s","state":"done","result":"made","load":{"x0":1.5,"backlog":2}}`
	// DoneText is a job update that completes a request with the result "made" alone, for bodies without chunks.
	DoneText = `{"id":"IDENTITY","state":"done","result":"made"}`
	// LoadResponse is a healthy worker's response to a health check.
	LoadResponse = StatusLineOK + "Content-Length: 10\r\n\r\n{\"x0\":1.5}"
)

// DoneResponse returns a worker's response that completes the request with a correlation ID.
func DoneResponse(id string) string { return WithID(ChunkedResponse(DoneLine), id) }

// WithID returns the text of a request or a response, with IDENTITY replaced by a correlation ID.
func WithID(text, id string) string { return strings.ReplaceAll(text, "IDENTITY", id) }

// Chunk returns a chunk of a chunked body, for tests that write a body piece by piece or only a part of it.
func Chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
