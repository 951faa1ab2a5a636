package capacity

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// versionKey is a text that each object of discovery contains once.
var versionKey = []byte(`"seq":`)

// CountingProxy forwards TCP connections to a server and counts the bytes that they carry, without the headers of TCP and
// IP, and the versioned objects of discovery. It is safe for concurrent use.
type CountingProxy struct {
	Addr string // where clients dial

	target    string
	listener  net.Listener
	bytesDown atomic.Int64 // from the server
	bytesUp   atomic.Int64 // to the server
	versions  atomic.Int64 // versioned objects from the server

	mutex sync.Mutex
	conns []net.Conn
}

// Bytes returns the number of bytes forwarded in both directions.
func (p *CountingProxy) Bytes() int64 { return p.bytesDown.Load() + p.bytesUp.Load() }

// Versions returns the number of snapshots and deltas that the server has sent.
func (p *CountingProxy) Versions() int64 { return p.versions.Load() }

// Close closes the listener and all connections.
func (p *CountingProxy) Close() {
	p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, conn := range p.conns {
		conn.Close()
	}
}

func (p *CountingProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			client.Close()
			continue
		}
		p.mutex.Lock()
		p.conns = append(p.conns, client, server)
		p.mutex.Unlock()
		go p.forward(server, client, &p.bytesUp, nil)
		go p.forward(client, server, &p.bytesDown, &p.versions)
	}
}

// forward copies from source to destination until either closes, then closes both. versionCount may be nil.
func (p *CountingProxy) forward(destination, source net.Conn, byteCount, versionCount *atomic.Int64) {
	defer destination.Close()
	defer source.Close()
	const bufferSize = 64 << 10 // bytes
	buffer := make([]byte, bufferSize)
	carried := 0 // bytes of the previous read, in which a key may begin
	for {
		length, err := source.Read(buffer[carried:])
		if length > 0 {
			read := buffer[carried : carried+length]
			if _, err := destination.Write(read); err != nil {
				return
			}
			byteCount.Add(int64(length))
			if versionCount != nil {
				seen := buffer[:carried+length]
				versionCount.Add(int64(bytes.Count(seen, versionKey)))
				carried = copy(buffer, seen[max(len(seen)-len(versionKey)+1, 0):])
			}
		}
		if err != nil {
			return
		}
	}
}

// StartCountingProxy starts a proxy to a server on a loopback port that the kernel chooses.
func StartCountingProxy(target string) (*CountingProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &CountingProxy{Addr: listener.Addr().String(), target: target, listener: listener}
	go started.accept()
	return started, nil
}
