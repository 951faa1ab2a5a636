package listener

import (
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/pires/go-proxyproto"
)

// formatV2Header returns a header of version 2 for a client's address.
func formatV2Header(t testing.TB, from string) []byte {
	source := &net.TCPAddr{IP: net.ParseIP(from), Port: 7}
	destination := &net.TCPAddr{IP: net.ParseIP(from), Port: 8}
	header := proxyproto.HeaderProxyFromAddrs(2, source, destination)
	text, err := header.Format()
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// A header is read when it is complete, however its bytes arrive; what is none is
// an error.
func TestParseProxyHeader(t *testing.T) {
	local := append(append([]byte{}, v2Signature...), 0x20, 0, 0, 0)
	for _, c := range []struct {
		text []byte
		addr string // empty: none
	}{
		{[]byte("PROXY TCP4 10.0.0.1 10.0.0.2 5 6\r\n"), "10.0.0.1"},
		{[]byte("PROXY TCP6 2001:db8::1 2001:db8::2 5 6\r\n"), "2001:db8::1"},
		{formatV2Header(t, "10.0.0.1"), "10.0.0.1"},
		{formatV2Header(t, "2001:db8::1"), "2001:db8::1"},
		{local, ""},
	} {
		for n := range c.text {
			if _, length, err := ParseProxyHeader(c.text[:n]); length != 0 || err != nil {
				t.Fatalf("%q: %d, %v", c.text[:n], length, err)
			}
		}
		addr, length, err := ParseProxyHeader(append(append([]byte{}, c.text...), "GET /"...))
		var want netip.Addr
		if c.addr != "" {
			want = netip.MustParseAddr(c.addr)
		}
		if err != nil || length != len(c.text) || addr != want {
			t.Errorf("%q: %v, %d, %v", c.text, addr, length, err)
		}
	}
	huge := append(append([]byte{}, v2Signature...), 0x21, 0x11, 0xff, 0xff)
	unknownVersion := append(append([]byte{}, v2Signature...), 0x41, 0x11, 0, 0)
	for _, text := range [][]byte{
		[]byte("GET / HTTP/1.1\r\n"),
		[]byte("PROXY what\r\n"),
		[]byte("PROXY " + strings.Repeat("x", 200)),
		huge,
		[]byte("PROXY UNKNOWN\r\n"),
		unknownVersion,
	} {
		if addr, length, err := ParseProxyHeader(text); err == nil && (length == 0 || addr.IsValid()) {
			t.Errorf("%q is accepted: %v, %d", text, addr, length)
		}
	}
}

// A length is within the bytes; a header that is too long is an error; and what is
// an error stays one as more bytes arrive.
func FuzzParseProxyHeader(f *testing.F) {
	f.Add([]byte("PROXY TCP4 10.0.0.1 10.0.0.2 5 6\r\nGET /"))
	f.Add(formatV2Header(f, "10.0.0.1"))
	f.Add(append(append([]byte{}, v2Signature...), 0x21, 0x11, 0, 200))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, length, err := ParseProxyHeader(text)
		if length < 0 || length > len(text) || err != nil && length != 0 {
			t.Fatal(length, err)
		}
		if err == nil && length == 0 && len(text) >= maxV2Header {
			t.Fatal("it waits for more than the longest header")
		}
		for n := range min(len(text), 64) {
			if _, _, early := ParseProxyHeader(text[:n]); early != nil && err == nil {
				t.Fatalf("an error at %d of %d bytes, and none later: %v", n, len(text), early)
			}
		}
	})
}
