package listener

import (
	"bytes"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/pires/go-proxyproto"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

func v2(t testing.TB, from string) []byte {
	h := proxyproto.HeaderProxyFromAddrs(2, &net.TCPAddr{IP: net.ParseIP(from), Port: 7}, &net.TCPAddr{IP: net.ParseIP(from), Port: 8})
	b, err := h.Format()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A header is read whole or not at all, however its bytes come.
func TestHeader(t *testing.T) {
	local := append(append([]byte{}, signature...), 0x20, 0, 0, 0)
	for _, c := range []struct {
		text []byte
		addr string
	}{
		{[]byte("PROXY TCP4 10.0.0.1 10.0.0.2 5 6\r\n"), "10.0.0.1"}, {[]byte("PROXY TCP6 2001:db8::1 2001:db8::2 5 6\r\n"), "2001:db8::1"},
		{v2(t, "10.0.0.1"), "10.0.0.1"}, {v2(t, "2001:db8::1"), "2001:db8::1"}, {local, ""},
	} {
		for n := range c.text {
			if _, used, err := ParseProxyHeader(c.text[:n]); used != 0 || err != nil {
				t.Fatalf("%q: %d, %v", c.text[:n], used, err)
			}
		}
		addr, used, err := ParseProxyHeader(append(append([]byte{}, c.text...), "GET /"...))
		if err != nil || used != len(c.text) || c.addr != "" && addr != netip.MustParseAddr(c.addr) || c.addr == "" && addr.IsValid() {
			t.Errorf("%q: %v, %d, %v", c.text, addr, used, err)
		}
	}
	huge := append(append([]byte{}, signature...), 0x21, 0x11, 0xff, 0xff)
	for _, text := range [][]byte{[]byte("GET / HTTP/1.1\r\n"), []byte("PROXY what\r\n"), []byte("PROXY " + strings.Repeat("x", 200)), huge,
		[]byte("PROXY UNKNOWN\r\n"), append(append([]byte{}, signature...), 0x41, 0x11, 0, 0)} {
		if addr, used, err := ParseProxyHeader(text); err == nil && (used == 0 || addr.IsValid()) {
			t.Errorf("%q is taken: %v, %d", text, addr, used)
		}
	}
}

func FuzzHeader(f *testing.F) {
	f.Add([]byte("PROXY TCP4 10.0.0.1 10.0.0.2 5 6\r\nGET /"))
	f.Add(v2(f, "10.0.0.1"))
	f.Add(append(append([]byte{}, signature...), 0x21, 0x11, 0, 200))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, used, err := ParseProxyHeader(text)
		if used < 0 || used > len(text) || err != nil && used != 0 {
			t.Fatal(used, err)
		}
		if err == nil && used == 0 && len(text) >= mostV2 {
			t.Fatal("it waits without end")
		}
		for n := range min(len(text), 64) { // what is refused early is refused whole
			if _, _, early := ParseProxyHeader(text[:n]); early != nil && err == nil {
				t.Fatalf("refused at %d of %d bytes: %v", n, len(text), early)
			}
		}
	})
}

// Refusals are logged at a bounded rate, each kind by itself.
func TestTellIsBounded(t *testing.T) {
	var out bytes.Buffer
	e := NewUnlimited(eventloop.New(), 10)
	e.log = slog.New(slog.NewTextHandler(&out, nil))
	for range 500 {
		e.LogRejection(connlimit.AddressOpen, netip.MustParseAddr("10.0.0.1"))
		e.LogRejection(connlimit.Slow, netip.MustParseAddr("10.0.0.1"))
	}
	if n := strings.Count(out.String(), "\n"); n != 2 {
		t.Errorf("%d lines", n)
	}
}
