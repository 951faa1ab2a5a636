//go:build linux && amd64

package main

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/faultinject"
)

// trace runs the daemon under a plan of failing system calls.
func (d *testDaemon) trace(plan faultinject.Plan) {
	d.startProcess = func() {
		t := d.t
		out, err := os.Create(filepath.Join(t.TempDir(), "log"))
		if err != nil {
			t.Fatal(err)
		}
		d.cmd.Stderr = out
		p, err := faultinject.Start(d.cmd, plan)
		if err != nil {
			t.Fatal(err)
		}
		d.traced = p
		t.Cleanup(func() {
			p.Signal(syscall.SIGKILL)
			<-p.Done()
			if text, _ := os.ReadFile(out.Name()); t.Failed() {
				t.Logf("its log:\n%s", text)
			}
			out.Close()
		})
	}
}

func port(t *testing.T, addr string) int {
	t.Helper()
	_, text, err := net.SplitHostPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Reads of the watch are short, so that a part of a change stays in the socket, and then
// nothing more arrives. Unread bytes must not delay the detection of the silence.
func TestNotifiedInTimeOverShortReads(t *testing.T) {
	const fault = 2 * time.Second // from the start
	remove := make(chan struct{})
	r := newRemoval(t, func(r *removal, call int, conn net.Conn) {
		io.WriteString(conn, lineHead)
		if call > 0 {
			io.WriteString(conn, r.change())
			heartbeats(conn, nil)
			return
		}
		heartbeats(conn, remove)
		r.at = time.Now()
		io.WriteString(conn, r.change())
		untilClosed(conn)
	})
	discovery := r.startDiscovery()
	r.config = map[string]any{"discovery": discovery}
	r.trace(faultinject.Plan{Rules: []faultinject.Rule{{
		Call: faultinject.SocketRead, Probability: 1, Short: 7, Peer: port(t, discovery), After: fault,
	}}})
	begun := time.Now()
	r.start()
	stop, over := make(chan struct{}), make(chan struct{})
	go func() { r.load(stop); close(over) }()
	r.waitUntil("the worker to be removed is used", func() bool { return r.last.Load() > 0 })
	time.Sleep(time.Until(begun.Add(fault + 100*time.Millisecond)))
	close(remove)
	time.Sleep(notifiedAfter + drainGrace + 3*time.Second)
	close(stop)
	<-over
	r.checkBound()
	if r.traced.Injected(faultinject.SocketRead) == 0 {
		t.Error("no read was short")
	}
}
