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

// ErrProxyHeader is returned where bytes do not begin with a PROXY header that
// names a TCP client.
var ErrProxyHeader = errors.New("no PROXY header that can be read")

// Forms of a header, from the PROXY protocol's specification.
const (
	v1Signature = "PROXY "
	v1End       = "\r\n"
	maxV1Header = 107 // with its line end

	v2Signature    = "\r\n\r\n\x00\r\nQUIT\n"
	v2LengthOffset = 14   // of the length of what follows the fixed part
	v2FixedLength  = 16   // of the signature, version, command and length
	maxV2Extension = 1024 // our bound on what follows; the longest address takes 216
	maxV2Header    = v2FixedLength + maxV2Extension
)

// ProxyHeader is what a PROXY header says. The zero value is one that has not
// arrived completely.
type ProxyHeader struct {
	Client netip.Addr // invalid where the proxy itself is the client, for a health check
	Length int        // in bytes; the client's own follow
}

// Complete reports whether all of the header has arrived.
func (h ProxyHeader) Complete() bool { return h.Length > 0 }

// ParseProxyHeader reads a PROXY header, of version 1 or 2, off the front of b. A
// header that is not Complete is no error. The error is ErrProxyHeader.
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

// proxyHeaderLength returns the length of a header that is complete; 0: more must
// arrive first.
func proxyHeaderLength(b []byte) (int, error) {
	switch {
	case beginsLike(b, v2Signature):
		return v2HeaderLength(b)
	case beginsLike(b, v1Signature):
		return v1HeaderLength(b)
	}
	return 0, ErrProxyHeader
}

// beginsLike reports whether b begins with a signature, or is the beginning of one.
func beginsLike(b []byte, signature string) bool {
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
