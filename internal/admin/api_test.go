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

// calls are calls with their statuses while the process is ready.
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

// FuzzAPI checks the API against its table: whatever the calls, wherever their bytes
// are cut, and however many connections are held open meanwhile, each call has its one
// answer. Two bytes are a step: the call, or 255 for a connection that sends nothing
// and 254 for an incomplete call, and where to cut.
func FuzzAPI(f *testing.F) {
	for i := range calls {
		f.Add([]byte{byte(i), byte(i * 14)})
	}
	f.Add([]byte(strings.Repeat("\xff\x00\xfe\x30", 40) + "\x00\x10\x01\x00"))
	r := newTestAPI(f)
	f.Fuzz(func(t *testing.T, steps []byte) {
		for i := 0; i+1 < len(steps) && i < 200; i += 2 {
			cut := int(steps[i+1])
			switch steps[i] {
			case 255:
				r.dial(t)
			case 254:
				r.dial(t).Write([]byte(calls[0].text[:min(1+cut, len(calls[0].text)-1)]))
			default:
				x := calls[int(steps[i])%len(calls)]
				if status, body := r.call(t, x.text, cut*len(x.text)/256); status != x.status {
					t.Fatalf("%q: %d %q, want %d", x.text, status, body, x.status)
				}
			}
		}
	})
}

// The API refuses what its operations refuse, and passes on what is asked for.
func TestServiceAndReady(t *testing.T) {
	r := newTestAPI(t)
	r.do(func() {
		r.ready = false
		r.refusal = errors.New("it is ending")
	})
	if status, _ := r.call(t, calls[0].text); status != 503 {
		t.Errorf("not ready: %d", status)
	}
	for _, i := range []int{3, 4} {
		if status, body := r.call(t, calls[i].text); status != 409 || body != "it is ending\n" {
			t.Errorf("refused: %d %q", status, body)
		}
	}
	r.do(func() {
		if fmt.Sprint(r.outOfService) != "[true false]" {
			t.Errorf("calls of SetOutOfService: %v", r.outOfService)
		}
	})
}

// An incomplete call is answered in the end, and a silent connection is closed.
func TestIncompleteCall(t *testing.T) {
	r := newTestAPI(t)
	half, silent := r.dial(t), r.dial(t)
	half.Write([]byte("GET /control/re"))
	if resp, err := http.ReadResponse(bufio.NewReader(half), nil); err != nil || resp.StatusCode != 408 {
		t.Errorf("an incomplete call: %v, %v", resp, err)
	}
	if n, err := silent.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("a silent connection: %d, %v", n, err)
	}
}
