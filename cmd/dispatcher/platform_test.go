package main

import (
	"net"
	"os"
	"slices"
	"testing"
)

// platformListener stands in for the platform: it has a listening socket, which all processes
// of a dispatcher inherit, and the directory of their handover socket.
type platformListener struct {
	file      *os.File
	directory string
}

func newPlatformListener(t *testing.T) *platformListener {
	t.Helper()
	file, err := listenLocal(t).(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	directory, err := os.MkdirTemp("", "y") // short, since the path of a unix socket is limited
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(directory) })
	return &platformListener{file, directory}
}

// address returns the address that the socket listens on.
func (p *platformListener) address(t *testing.T) string {
	t.Helper()
	listener, err := net.FileListener(p.file)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// newDaemonWithAdmin returns a daemon with an admin API, which is not started. It inherits the
// platform's listener if platform is not nil.
func newDaemonWithAdmin(t *testing.T, platform *platformListener) *testDaemon {
	t.Helper()
	daemon := &testDaemon{t: t, env: []string{"BALANCER_ADMIN_ADDR=127.0.0.1:0"}}
	if platform != nil {
		daemon.inheritedFiles = []*os.File{platform.file}
		daemon.listen = platform.address(t)
		daemon.env = append(daemon.env, "BALANCER_FD=3", "TMPDIR="+platform.directory)
	}
	return daemon
}

// startSuccessor starts a second process of the same dispatcher, with the same
// configuration, stand-ins and client.
func (d *testDaemon) startSuccessor() *testDaemon {
	d.t.Helper()
	return d.startSuccessorProgram(d.program)
}

// startSuccessorProgram is as startSuccessor, but starts another program. If program is empty,
// it is the one under test.
func (d *testDaemon) startSuccessorProgram(program string) *testDaemon {
	d.t.Helper()
	successor := &testDaemon{
		t:              d.t,
		workers:        d.workers,
		discovery:      d.discovery,
		program:        program,
		listen:         d.listen,
		config:         d.config,
		configPath:     d.configPath,
		env:            slices.Clone(d.env),
		inheritedFiles: d.inheritedFiles,
		client:         d.client,
	}
	successor.launch()
	return successor
}
