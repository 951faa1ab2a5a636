package testkit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// Exchange is a request of a client, with the response that must come and whether the connection ends with it.
// IDENTITY in it stands for the request's ID.
type Exchange struct {
	Request string
	Status  int
	Ends    bool
}

// Exchanges are requests to a front end whose workers are an EchoWorkerClient. The IDs "former" and "open" belong to
// other requests.
var Exchanges = []Exchange{
	{"POST /status-check/k HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 6\r\n\r\ndone 1", 200, false},
	{"POST /renewal/k?q=1 HTTP/1.1\r\nx-correlation-id: IDENTITY\r\nContent-Length: 6\r\n\r\nfailed", 502, false},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 8\r\n\r\nreturned", 503, false},
	{"GET /healthz HTTP/1.1\r\n\r\n", 200, false},
	{"POST /nonsense/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 1\r\n\r\nx", 404, false},
	{"GET /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\n\r\n", 405, false},
	{"POST /healthz HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405, false},
	{"POST /renewal/k HTTP/1.1\r\nContent-Length: 4\r\n\r\ndone", 400, false},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nX-Time-Left-Ms: soon\r\nContent-Length: 4\r\n\r\ndone", 400, false},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\ndon\r\n3\r\ne 2\r\n0\r\n\r\n", 200, false},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone", 200, true},
	{"POST /status-check/k HTTP/1.0\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 6\r\n\r\nfailed", 503, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: former\r\nContent-Length: 4\r\n\r\ndone", 409, false},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: open\r\nContent-Length: 4\r\n\r\ndone", 409, false},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: a b\r\nContent-Length: 4\r\n\r\ndone", 400, false},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nX-Time-Left-Ms:\r\nContent-Length: 4\r\n\r\ndone", 400, false},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nX-Time-Left-Ms: -5\r\nContent-Length: 4\r\n\r\ndone", 400, false},
	{"nonsense\r\n\r\n", 400, true},
	{"POST /renewal/k HTTP/1.1\nX-Correlation-Id: IDENTITY\nContent-Length: 4\n\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Note: a\rb\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1 x\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 4\r\n\r\ndone", 400, true},
	{"POST /renewal/\x01 HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id : IDENTITY\r\nContent-Length: 4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nx-correlation-id: other\r\nContent-Length: 4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Time-Left-Ms: 9\r\nX-Time-Left-Ms: 9\r\nContent-Length: 4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: -4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: +4\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 9999999999999999999999\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nTransfer-Encoding: chunked\r\n\r\n+4\r\ndone\r\n0\r\n\r\n", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nTransfer-Encoding: chunked\r\n\r\n4;\n\r\ndone\r\n0\r\n\r\n", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndoneXX0\r\n\r\n", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: IDENTITY\r\nContent-Length: 65537\r\n\r\n", 413, true},
	{"POST /renewal/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + strings.Repeat("x", 65537), 413, true},
	{"POST /renewal/k HTTP/1.1\r\nX-Long: " + strings.Repeat("x", 6<<10) + "\r\n\r\n", 431, true},
}

// WorkerResponse is what a worker may answer, and what must become of a non-idempotent request. IDENTITY in it stands
// for the request's ID.
type WorkerResponse struct {
	Script string
	Want   dispatch.Outcome
}

// WorkerResponses is the protocol's table of responses.
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
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + HangUpField + "\r\n1e\r\n{\"id\":\"IDENTITY\",\"state\":\"started\"}\r\n", dispatch.Failed},
	{ChunkedResponse(strings.Replace(DoneLine, "IDENTITY", "another1", 1)), dispatch.Failed},
	{ChunkedResponse(`{"id":"IDENTITY","state":`), dispatch.Failed},
	{ChunkedResponse(`{"id":"IDENTITY","state":"dreaming"}`), dispatch.Failed},
	{ChunkedResponse(), dispatch.Failed},
	{"nonsense\r\n\r\n", dispatch.Failed},
	{StatusLineOK + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", dispatch.Failed},
	{StatusLineOK + HangUpField + "\r\n" + DoneText, dispatch.Served},
	{"HTTP/1.1 100 Continue\r\n\r\n" + StatusLineOK + "Connection: close\r\n" + HangUpField + "\r\n" + DoneText + "\n", dispatch.Served},
}

// ChunkedResponse returns a worker's response with a chunk for each line.
func ChunkedResponse(lines ...string) string {
	text := WatchHead
	for _, line := range lines {
		text += Chunk(line + "\n")
	}
	return text + "0\r\n\r\n"
}

// Parts of responses. IDENTITY stands for the request's ID.
const (
	// StatusLineOK is the status line of a 200.
	StatusLineOK = "HTTP/1.1 200 OK\r\n"
	// WatchHead is the head of a chunked 200, as a watch of discovery gets it.
	WatchHead = StatusLineOK + "Transfer-Encoding: chunked\r\n\r\n"
	// HangUpField makes a ScriptedWorker close the connection behind the response.
	HangUpField = "X-Note: HANG UP\r\n"
	// DoneLine is a job update with a result and a load report.
	DoneLine = `{"id":"IDENTITY","from":"s","state":"done","result":"made","load":{"x0":1.5,"backlog":2}}`
	// DoneText is a job update with a result alone.
	DoneText = `{"id":"IDENTITY","state":"done","result":"made"}`
	// LoadResponse is a response to a health check.
	LoadResponse = StatusLineOK + "Content-Length: 10\r\n\r\n{\"x0\":1.5}"
)

// Chunk returns a chunk of a chunked body.
func Chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// RequestWithID returns a request of the class renewal that an EchoWorkerClient completes.
func RequestWithID(id string) string {
	return "POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nContent-Length: 4\r\n\r\ndone"
}

// Connect opens a client connection, which is closed at the end of the test, and sends a text.
func Connect(t *testing.T, addr, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(Patience))
	io.WriteString(conn, text)
	return conn, bufio.NewReader(conn)
}

// ReadStatus reads a response and returns its status code, or 0 if the connection has ended before it.
func ReadStatus(in *bufio.Reader) int {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
