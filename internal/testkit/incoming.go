package testkit

import (
	"bufio"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// Incoming is a connection that a worker or a server has accepted.
type Incoming struct {
	t    *testing.T
	Conn net.Conn
	in   *bufio.Reader
	addr string
}

// ReadRequest reads one ReadRequest's head, and as many bytes behind it.
func (h *Incoming) ReadRequest(body int) string {
	h.t.Helper()
	var text strings.Builder
	for !strings.HasSuffix(text.String(), "\r\n\r\n") {
		line, err := h.in.ReadString('\n')
		if err != nil {
			h.t.Fatalf("%q, %v", text.String(), err)
		}
		text.WriteString(line)
	}
	rest := make([]byte, body)
	if _, err := io.ReadFull(h.in, rest); err != nil {
		h.t.Fatal(err)
	}
	return Masked(strings.ReplaceAll(text.String()+string(rest), h.addr, "ADDRESS"))
}

// ListenOnLoopback accepts connections and hands on the requests' bytes as they are.
func ListenOnLoopback(t *testing.T) (addr string, accept func() *Incoming) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String(), func() *Incoming {
		t.Helper()
		conn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(Patience))
		return &Incoming{t, conn, bufio.NewReader(conn), ln.Addr().String()}
	}
}

func Masked(text string) string { return changing.ReplaceAllString(text, "$1: MASKED") }

// changing is what differs from run to run.
var changing = regexp.MustCompile(`(Retry-After|X-Time-Left-Ms): [0-9.]+`)

// CompareGolden compares with a file in testdata, line by line. A carriage return is
// shown as \r there.
func CompareGolden(t *testing.T, name, got string) {
	t.Helper()
	goldentest.Compare(t, name, strings.ReplaceAll(got, "\r", `\r`))
}
