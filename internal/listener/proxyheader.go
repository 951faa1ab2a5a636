package listener

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"

	"github.com/pires/go-proxyproto"
)

// ErrProxyHeader is returned if bytes do not begin with a valid PROXY header. The header
// must either name a TCP client or state that the connection is the proxy's own.
var ErrProxyHeader = errors.New("no PROXY header that can be read")

// Constants from the specification of the PROXY protocol, except maxV2Extension.
const (
	v1Signature = "PROXY "
	v1End       = "\r\n"
	maxV1Header = 107 // maximum length with the line end

	v2Signature    = "\r\n\r\n\x00\r\nQUIT\n"
	v2LengthOffset = 14   // offset of the length of the bytes after the fixed part
	v2FixedLength  = 16   // length of the signature, version, command, address family and length field
	maxV2Extension = 1024 // own limit on the bytes after the fixed part; the longest addresses take 216
	maxV2Header    = v2FixedLength + maxV2Extension
)

// ProxyHeader contains the information of a PROXY header. The zero value means that the
// header has not arrived completely.
type ProxyHeader struct {
	Client netip.Addr // invalid if the proxy itself is the client, as in a health check
	Length int        // length of the header in bytes; the client's own bytes follow it
}

// Complete reports whether the header has arrived completely.
func (h ProxyHeader) Complete() bool { return h.Length > 0 }

// ParseProxyHeader parses a PROXY header of version 1 or 2 at the beginning of b. If b
// holds only a part of a header, the result is not Complete and the error is nil. An
// error is always ErrProxyHeader.
func ParseProxyHeader(b []byte) (ProxyHeader, error) {
	length, err := proxyHeaderLength(b)
	if err != nil || length == 0 {
		return ProxyHeader{}, err
	}
	header, err := proxyproto.Read(bufio.NewReader(bytes.NewReader(b[:length])))
	if err != nil {
		return ProxyHeader{}, ErrProxyHeader
	}
	if header.Command.IsLocal() {
		return ProxyHeader{Length: length}, nil
	}
	tcp, ok := header.SourceAddr.(*net.TCPAddr)
	if !ok {
		return ProxyHeader{}, ErrProxyHeader
	}
	client, ok := netip.AddrFromSlice(tcp.IP)
	if !ok {
		return ProxyHeader{}, ErrProxyHeader
	}
	return ProxyHeader{Client: client.Unmap(), Length: length}, nil
}

// proxyHeaderLength returns the length of the header at the beginning of b, or 0 if more
// bytes must arrive first.
func proxyHeaderLength(b []byte) (int, error) {
	switch {
	case matchesSignature(b, v2Signature):
		return v2HeaderLength(b)
	case matchesSignature(b, v1Signature):
		return v1HeaderLength(b)
	}
	return 0, ErrProxyHeader
}

// matchesSignature reports whether b begins with a signature or is the beginning of it.
func matchesSignature(b []byte, signature string) bool {
	n := min(len(b), len(signature))
	return string(b[:n]) == signature[:n]
}

func v1HeaderLength(b []byte) (int, error) {
	end := bytes.Index(b[:min(len(b), maxV1Header)], []byte(v1End))
	if end >= 0 {
		return end + len(v1End), nil
	}
	if len(b) >= maxV1Header {
		return 0, ErrProxyHeader
	}
	return 0, nil
}

func v2HeaderLength(b []byte) (int, error) {
	if len(b) < v2FixedLength {
		return 0, nil
	}
	length := v2FixedLength + int(binary.BigEndian.Uint16(b[v2LengthOffset:]))
	if length > maxV2Header {
		return 0, ErrProxyHeader
	}
	if len(b) < length {
		return 0, nil
	}
	return length, nil
}
