package capacity

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// versionKey is a text that every snapshot and every delta from discovery contains exactly once.
var versionKey = []byte(`"seq":`)

// CountingProxy forwards TCP connections to a server. It counts the bytes that they carry, not including TCP and IP headers,
// and the snapshots and deltas that the server sends. It is safe for concurrent use.
type CountingProxy struct {
	Addr string // where clients connect

	target    string // address of the server
	listener  net.Listener
	bytesDown atomic.Int64 // from the server
	bytesUp   atomic.Int64 // to the server
	versions  atomic.Int64 // snapshots and deltas from the server

	mutex sync.Mutex
	conns []net.Conn // all that were ever opened, to clients and to the server
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

// forward copies from source to destination until either is closed, then closes both. It adds to byteCount the bytes that it
// copies and to versionCount, unless that is nil, the snapshots and deltas among them.
func (p *CountingProxy) forward(destination, source net.Conn, byteCount, versionCount *atomic.Int64) {
	defer destination.Close()
	defer source.Close()
	const bufferSize = 64 << 10 // bytes
	buffer := make([]byte, bufferSize)
	keptBytes := 0 // number of bytes kept from the previous read, because versionKey may begin in them
	for {
		length, err := source.Read(buffer[keptBytes:])
		if length > 0 {
			read := buffer[keptBytes : keptBytes+length]
			if _, err := destination.Write(read); err != nil {
				return
			}
			byteCount.Add(int64(length))
			if versionCount != nil {
				seen := buffer[:keptBytes+length]
				versionCount.Add(int64(bytes.Count(seen, versionKey)))
				keptBytes = copy(buffer, seen[max(len(seen)-len(versionKey)+1, 0):])
			}
		}
		if err != nil {
			return
		}
	}
}

// StartCountingProxy starts a proxy to the server at the address target. It listens on a loopback port that the kernel
// chooses.
func StartCountingProxy(target string) (*CountingProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &CountingProxy{Addr: listener.Addr().String(), target: target, listener: listener}
	go started.accept()
	return started, nil
}
