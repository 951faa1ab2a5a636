//go:build review

package harness

import (
	"net"
	"os"
	"strings"
)

// Platform keeps the clients' listening socket, which every process inherits as descriptor 5.
type Platform struct {
	Address string
	file    *os.File
}

// StartPlatform opens the clients' listening socket.
func (r *Run) StartPlatform() *Platform {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	file, err := listener.(*net.TCPListener).File()
	r.Must(err)
	return &Platform{Address: listener.Addr().String(), file: file}
}

// StartDaemon starts the daemon with the run command of deploy/balancer.toml and the inherited
// socket.
func (p *Platform) StartDaemon(r *Run, name, config, admin string, options ...string) *Daemon {
	null, err := os.Open(os.DevNull)
	r.Must(err)
	env := []string{"BALANCER_CONFIG=" + config, "BALANCER_ADMIN_ADDR=" + admin, "BALANCER_FD=5", "TMPDIR=" + r.Folder}
	return r.StartProcess(name, strings.Join(append([]string{RunCommand}, options...), " "), env, null, null, p.file)
}

// RunCommand is the run command of deploy/balancer.toml.
const RunCommand = "exec bin/dispatcher-serve"
