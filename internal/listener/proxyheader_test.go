package listener

import (
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/pires/go-proxyproto"
)

// formatV2Header returns a header of version 2 with the client address from.
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

// afterV2Signature returns a header of version 2 in which rest follows the signature.
func afterV2Signature(rest ...byte) []byte {
	return append([]byte(v2Signature), rest...)
}

// A header is incomplete until all of its bytes have arrived, and is then parsed.
func TestParseProxyHeader(t *testing.T) {
	for _, c := range []struct {
		name   string
		text   []byte
		client string // empty if the proxy itself is the client
	}{
		{"version 1, IPv4", []byte("PROXY TCP4 10.0.0.1 10.0.0.2 5 6\r\n"), "10.0.0.1"},
		{"version 1, IPv6", []byte("PROXY TCP6 2001:db8::1 2001:db8::2 5 6\r\n"), "2001:db8::1"},
		{"version 2, IPv4", formatV2Header(t, "10.0.0.1"), "10.0.0.1"},
		{"version 2, IPv6", formatV2Header(t, "2001:db8::1"), "2001:db8::1"},
		{"version 2, local", afterV2Signature(0x20, 0, 0, 0), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			for n := range c.text {
				header, err := ParseProxyHeader(c.text[:n])
				if header.Complete() || err != nil {
					t.Fatalf("%q: %+v, error %v; want an incomplete header", c.text[:n], header, err)
				}
			}
			want := ProxyHeader{Length: len(c.text)}
			if c.client != "" {
				want.Client = netip.MustParseAddr(c.client)
			}
			header, err := ParseProxyHeader(append(c.text, "GET /"...))
			if err != nil || header != want {
				t.Errorf("%q: %+v, error %v; want %+v", c.text, header, err, want)
			}
		})
	}
}

// Bytes that are not a valid header, or a header that does not name a client, lead to an
// error or to a header without a client.
func TestInvalidProxyHeader(t *testing.T) {
	for _, text := range [][]byte{
		[]byte("GET / HTTP/1.1\r\n"),
		[]byte("PROXY what\r\n"),
		[]byte("PROXY " + strings.Repeat("x", 200)),
		afterV2Signature(0x21, 0x11, 0xff, 0xff), // the length exceeds maxV2Extension
		[]byte("PROXY UNKNOWN\r\n"),
		afterV2Signature(0x41, 0x11, 0, 0), // unknown version
	} {
		header, err := ParseProxyHeader(text)
		if err == nil && (!header.Complete() || header.Client.IsValid()) {
			t.Errorf("%q is accepted: %+v", text, header)
		}
	}
}

// The length of a header is not greater than the number of bytes. A header that is too
// long is an error. Bytes that are an error remain one when more bytes arrive.
func FuzzParseProxyHeader(f *testing.F) {
	f.Add([]byte("PROXY TCP4 10.0.0.1 10.0.0.2 5 6\r\nGET /"))
	f.Add(formatV2Header(f, "10.0.0.1"))
	f.Add(afterV2Signature(0x21, 0x11, 0, 200))
	f.Fuzz(func(t *testing.T, text []byte) {
		header, err := ParseProxyHeader(text)
		if header.Length < 0 || header.Length > len(text) || err != nil && header.Length != 0 {
			t.Fatalf("length %d of %d bytes, error %v", header.Length, len(text), err)
		}
		if err == nil && !header.Complete() && len(text) >= maxV2Header {
			t.Fatal("the header is still incomplete after as many bytes as the longest header has")
		}
		for n := range min(len(text), 64) {
			if _, early := ParseProxyHeader(text[:n]); early != nil && err == nil {
				t.Fatalf("an error after %d of %d bytes, but none after all of them: %v", n, len(text), early)
			}
		}
	})
}
