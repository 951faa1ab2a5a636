package testkit

import "strings"

// Exchange is a request of a client and the response that is expected, for tests of the front end's parser.
type Exchange struct {
	Request          string // contains IDENTITY in place of the request's ID; WithID replaces it
	Status           int    // expected status of the response
	ClosesConnection bool   // the connection is expected to end after the response
}

// Exchanges are requests to a front end whose worker client is an EchoWorkerClient. Tests send them in fixed and in
// random order, split anywhere, and seed fuzz tests with them. The IDs "former" and "open" belong to two other
// requests, which the test must have sent before: "former" to one that is completed, "open" to one that stays open.
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
