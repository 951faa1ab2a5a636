package admin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// calls are calls with the status that each is answered with while the process is ready.
var calls = []struct {
	text   string
	status int
}{
	{"GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n", 200},
	{"GET /control/counters HTTP/1.1\r\n\r\n", 200},
	{"GET /control/counters?x=y HTTP/1.0\r\n\r\n", 200},
	{"PUT /control/out-of-service HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 200},
	{"PUT /control/in-service HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", 200},
	{"GET /control/out-of-service HTTP/1.1\r\n\r\n", 405},
	{"POST /control/in-service HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405},
	{"PUT /control/ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405},
	{"DELETE /control/counters HTTP/1.1\r\n\r\n", 405},
	{"GET / HTTP/1.1\r\n\r\n", 404},
	{"GET /control HTTP/1.1\r\n\r\n", 404},
	{"PUT /control/out-of-service/ HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404},
	{"GET /healthz HTTP/1.1\r\n\r\n", 404},
	{"nonsense\r\n\r\n", 400},
	{"GET /control/ready HTTP/1.1\n\n", 400},
	{"GET /control/ready HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
	{"GET /control/ready HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413},
	{"GET /control/ready HTTP/1.1\r\nX-Long: " + strings.Repeat("x", 7000) + "\r\n\r\n", 431},
}

// Steps of FuzzAPI other than the index of a call.
const (
	silentStep     = 255 // open a connection and send nothing
	incompleteStep = 254 // send an incomplete call
)

// FuzzAPI checks that each call gets exactly one response with the status of the table
// calls, in whatever order calls are made, wherever their bytes are split, and however many
// silent or incomplete connections are open. A step of the input has two bytes: what is
// sent, and where it is split.
func FuzzAPI(f *testing.F) {
	for i := range calls {
		f.Add([]byte{byte(i), byte(i * 14)})
	}
	f.Add([]byte(strings.Repeat("\xff\x00\xfe\x30", 40) + "\x00\x10\x01\x00"))
	api := newTestAPI(f)
	f.Fuzz(func(t *testing.T, steps []byte) {
		const maxStepBytes = 200
		for i := 0; i+1 < len(steps) && i < maxStepBytes; i += 2 {
			step := steps[i]
			cut := int(steps[i+1])
			switch step {
			case silentStep:
				api.dial(t)
			case incompleteStep:
				text := calls[0].text
				api.dial(t).Write([]byte(text[:min(1+cut, len(text)-1)]))
			default:
				call := calls[int(step)%len(calls)]
				status, body := api.call(t, call.text, cut*len(call.text)/256)
				if status != call.status {
					t.Fatalf("%q: %d %q, want %d", call.text, status, body, call.status)
				}
			}
		}
	})
}

// The API passes calls to its operations, and responds with an error if they refuse.
func TestServiceAndReady(t *testing.T) {
	api := newTestAPI(t)
	api.runOnLoop(func() {
		api.ready = false
		api.setOutOfServiceError = errors.New("it is ending")
	})
	if status, _ := api.call(t, calls[0].text); status != 503 {
		t.Errorf("not ready: %d", status)
	}
	for _, i := range []int{3, 4} { // out-of-service and in-service
		if status, body := api.call(t, calls[i].text); status != 409 || body != "it is ending\n" {
			t.Errorf("refused: %d %q", status, body)
		}
	}
	api.runOnLoop(func() {
		if fmt.Sprint(api.outOfService) != "[true false]" {
			t.Errorf("calls of SetOutOfService: %v", api.outOfService)
		}
	})
}

// At the timeout of a call, an incomplete call is answered with an error, and a connection
// that has sent nothing is closed.
func TestIncompleteCall(t *testing.T) {
	api := newTestAPI(t)
	incomplete := api.dial(t)
	silent := api.dial(t)
	incomplete.Write([]byte("GET /control/re"))
	response, err := http.ReadResponse(bufio.NewReader(incomplete), nil)
	if err != nil || response.StatusCode != 408 {
		t.Errorf("an incomplete call: %v, %v", response, err)
	}
	if n, err := silent.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("a silent connection: %d, %v", n, err)
	}
}
