package httpfront

import (
	"io"
	"net/http"
	"testing"

	"hollyyoke.example/hollyyoke/internal/testkit"
)

// Guards against a wrong response to a request that the front end answers by itself and that is followed by a pipelined
// HEAD request: it is written without its body and closes the connection, so that the HEAD gets no response (404 with
// "" and "unexpected EOF" for the HEAD). This happens if the method is read from the input after the request was removed
// from it, when the HEAD has taken its place.
func TestPipelinedHeadKeepsPreviousResponse(t *testing.T) {
	for _, test := range []struct {
		name, request string
		status        int
		body          string
	}{
		{"unknown class", "POST /nonsense HTTP/1.1\r\nContent-Length: 0\r\n\r\n", http.StatusNotFound, "no such class\n"},
		{"wrong method", "PUT /renewal/k HTTP/1.1\r\nContent-Length: 0\r\n\r\n", http.StatusMethodNotAllowed, "POST only\n"},
		{"health check", healthRequest, http.StatusOK, "ready\n"},
		{"no ID", "POST /renewal/k HTTP/1.1\r\nContent-Length: 0\r\n\r\n", http.StatusBadRequest, "no X-Correlation-Id\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr := startEchoFrontEnd(t, ampleMemory, 50)
			_, reader := testkit.Connect(t, addr, test.request+"HEAD /healthz HTTP/1.1\r\n\r\n")
			first, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(first.Body)
			if first.StatusCode != test.status || string(body) != test.body {
				t.Errorf("response is %d %q, want %d %q", first.StatusCode, body, test.status, test.body)
			}
			second, err := http.ReadResponse(reader, &http.Request{Method: http.MethodHead})
			if err != nil {
				t.Fatalf("the HEAD after it: %v", err)
			}
			if second.StatusCode != http.StatusOK {
				t.Errorf("the HEAD after it: status %d", second.StatusCode)
			}
		})
	}
}
