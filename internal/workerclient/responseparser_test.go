package workerclient

import (
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/testkit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// parsedResponse is the result of parsing some bytes with a responseParser.
type parsedResponse struct {
	status   int
	body     string
	complete bool
	failed   bool
}

// parseInPieces passes a text to a parser in pieces of size bytes, and parses as much as possible after each.
func parseInPieces(text string, size int) parsedResponse {
	parser := responseParser{pool: new(transport.Pool)}
	defer parser.free()
	var got parsedResponse
	for len(text) > 0 && !got.complete && !got.failed {
		piece := text[:min(size, len(text))]
		text = text[len(piece):]
		received := parser.pool.Get()
		received.Append([]byte(piece))
		if !parser.add(received) {
			got.failed = true
			return got
		}
		got.parseRest(&parser)
		parser.dropParsed()
	}
	return got
}

// parseRest parses as much of the parser's input as possible, and adds it to the result.
func (r *parsedResponse) parseRest(parser *responseParser) {
	if parser.status == 0 {
		var head httpwire.Head
		complete, err := parser.parseHead(&head)
		r.failed = err != nil
		if err != nil || !complete {
			return
		}
		r.status = parser.status
		r.complete = parser.bodyEmpty()
	}
	for !r.complete && len(parser.unparsed()) > 0 {
		piece, progress, err := parser.parseBody()
		r.failed = err != nil
		if err != nil || !progress {
			return
		}
		r.body += string(piece.data)
		r.complete = piece.last
	}
}

// Checks that a response is parsed in the same way wherever its bytes are split, and that bytes after it are not
// parsed.
func TestResponseParser(t *testing.T) {
	const chunked = testkit.WatchHead
	tests := map[string]struct {
		text string
		want parsedResponse
	}{
		"a length":              {testkit.LoadResponse, parsedResponse{status: 200, body: `{"x0":1.5}`, complete: true}},
		"no body":               {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", parsedResponse{status: 503, complete: true}},
		"chunks":                {chunked + "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n", parsedResponse{status: 200, body: "abcde", complete: true}},
		"a trailer":             {chunked + "1\r\na\r\n0\r\nX-Trailer: 1\r\n\r\n", parsedResponse{status: 200, body: "a", complete: true}},
		"the connection's end":  {testkit.StatusLineOK + "\r\nabc", parsedResponse{status: 200, body: "abc"}},
		"after an interim one":  {"HTTP/1.1 100 Continue\r\n\r\n" + testkit.LoadResponse, parsedResponse{status: 200, body: `{"x0":1.5}`, complete: true}},
		"more bytes behind":     {testkit.LoadResponse + testkit.LoadResponse, parsedResponse{status: 200, body: `{"x0":1.5}`, complete: true}},
		"part of a head":        {"HTTP/1.1 200 OK\r\nContent-", parsedResponse{}},
		"part of a body":        {testkit.StatusLineOK + "Content-Length: 9\r\n\r\nabc", parsedResponse{status: 200, body: "abc"}},
		"no status":             {"nonsense\r\n\r\n", parsedResponse{failed: true}},
		"two lengths":           {testkit.StatusLineOK + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", parsedResponse{failed: true}},
		"a malformed chunk":     {chunked + "zz\r\n", parsedResponse{status: 200, failed: true}},
		"an endless head field": {testkit.StatusLineOK + "X-Long: " + strings.Repeat("x", 64<<10), parsedResponse{failed: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 2, 7, len(test.text)} {
				got := parseInPieces(test.text, size)
				if got != test.want {
					t.Errorf("in pieces of %d bytes: %+v, want %+v", size, got, test.want)
				}
			}
		})
	}
}
