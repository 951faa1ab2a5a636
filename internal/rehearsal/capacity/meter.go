package capacity

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// This file owns metering from outside: a process by the system's accounts, a
// connection by a link that counts what passes. It must never need the help of
// the program that it meters.

// Process is a running process that is metered.
type Process struct{ PID int }

// schedulerClock is the kernel's CPUCLOCK_SCHED, in nanoseconds over all threads.
const schedulerClock = 2

// CPU is the processor time that the process has used so far.
func (p Process) CPU() (time.Duration, error) {
	clock := int32(^p.PID<<3 | schedulerClock) // as clock_getcpuclockid(3) makes it
	var spent unix.Timespec
	if err := unix.ClockGettime(clock, &spent); err != nil {
		return 0, fmt.Errorf("processor time of process %d: %w", p.PID, err)
	}
	return time.Duration(spent.Nano()), nil
}

// PeakResident is the largest resident memory that the process has had, in bytes.
func (p Process) PeakResident() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID))
	if err != nil {
		return 0, err
	}
	const key = "VmHWM:"
	for line := range bytes.Lines(text) {
		if !bytes.HasPrefix(line, []byte(key)) {
			continue
		}
		fields := bytes.Fields(line[len(key):])
		kilobytes, err := strconv.ParseFloat(string(fields[0]), 64)
		return kilobytes * 1024, err
	}
	return 0, fmt.Errorf("process %d: no peak of resident memory", p.PID)
}

// Link passes connections on to a server and counts the bytes of what they
// carry, without the headers of TCP and IP.
type Link struct {
	Addr string // where clients dial

	to       string
	listener net.Listener
	down     atomic.Int64 // bytes from the server
	up       atomic.Int64 // and to it
	versions atomic.Int64 // objects with a version from the server

	mu    sync.Mutex
	conns []net.Conn
}

// StartLink listens on a loopback port that the kernel chooses.
func StartLink(to string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{Addr: listener.Addr().String(), to: to, listener: listener}
	go l.accept()
	return l, nil
}

// Bytes is how many bytes have passed in both directions.
func (l *Link) Bytes() int64 { return l.down.Load() + l.up.Load() }

// Versions is how many snapshots and deltas have come from the server.
func (l *Link) Versions() int64 { return l.versions.Load() }

// Close ends the link and what it carries.
func (l *Link) Close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.Close()
	}
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", l.to)
		if err != nil {
			client.Close()
			continue
		}
		l.mu.Lock()
		l.conns = append(l.conns, client, server)
		l.mu.Unlock()
		go l.pass(server, client, &l.up, nil)
		go l.pass(client, server, &l.down, &l.versions)
	}
}

// versionKey is what each object of discovery has once.
var versionKey = []byte(`"seq":`)

// pass copies until either end closes, then closes both.
func (l *Link) pass(to, from net.Conn, count, versions *atomic.Int64) {
	defer to.Close()
	defer from.Close()
	const room = 64 << 10
	buf := make([]byte, room)
	kept := 0 // bytes of the read before, in which a key may have begun
	for {
		n, err := from.Read(buf[kept:])
		if n > 0 {
			read := buf[kept : kept+n]
			if _, err := to.Write(read); err != nil {
				return
			}
			count.Add(int64(n))
			if versions != nil {
				seen := buf[:kept+n]
				versions.Add(int64(bytes.Count(seen, versionKey)))
				kept = copy(buf, seen[max(len(seen)-len(versionKey)+1, 0):])
			}
		}
		if err != nil {
			return
		}
	}
}
