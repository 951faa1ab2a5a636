//go:build linux && (amd64 || arm64)

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

// trace makes start run the daemon with a plan of faults in its system calls.
func (d *testDaemon) trace(plan faultinject.Plan) {
	d.startProcess = func() {
		t := d.t
		t.Helper()
		log, err := os.Create(filepath.Join(t.TempDir(), "log"))
		if err != nil {
			t.Fatal(err)
		}
		d.cmd.Stderr = log
		process, err := faultinject.Start(d.cmd, plan)
		if err != nil {
			t.Fatal(err)
		}
		d.traced = process
		t.Cleanup(func() {
			process.Signal(syscall.SIGKILL)
			<-process.Done()
			if text, _ := os.ReadFile(log.Name()); t.Failed() {
				t.Logf("the program's log:\n%s", text)
			}
			log.Close()
		})
	}
}

// port returns the port of an address.
func port(t *testing.T, address string) int {
	t.Helper()
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return number
}

// Reads of the watch return few bytes at a time, so that a part of a change stays in the
// socket's buffer, and then nothing more arrives. The unread bytes must not delay the
// detection that the watch is silent.
func TestRemovalIsAppliedInTimeWithShortReads(t *testing.T) {
	const (
		faultAfter = 2 * time.Second // after the start of the process
		shortRead  = 7               // bytes
	)
	remove := make(chan struct{})
	removal := newRemoval(t, func(r *removalTest, call int, conn net.Conn) {
		io.WriteString(conn, watchHead)
		if call > 0 {
			io.WriteString(conn, r.change())
			writeHeartbeats(conn, nil)
			return
		}
		writeHeartbeats(conn, remove)
		r.removedAt = time.Now()
		io.WriteString(conn, r.change())
		waitUntilClosed(conn)
	})
	removal.discovery.start()
	removal.trace(faultinject.Plan{Rules: []faultinject.Rule{{
		Call:        faultinject.SocketRead,
		Probability: 1,
		MaxBytes:    shortRead,
		PeerPort:    port(t, removal.discovery.address),
		Start:       faultAfter,
	}}})
	began := time.Now()
	removal.start()
	stopLoad := removal.startLoad()
	removal.waitUntilRemovedIsUsed()
	time.Sleep(time.Until(began.Add(faultAfter + 100*time.Millisecond)))
	close(remove)
	time.Sleep(notificationLimit + drainGrace + 3*time.Second)
	stopLoad()
	removal.checkRemovalLimit()
	if removal.traced.Injected(faultinject.SocketRead) == 0 {
		t.Error("no read was short")
	}
}
