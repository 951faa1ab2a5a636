//go:build linux && amd64

package sysfault

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Columns of /proc/PID/net/tcp.
const (
	peerColumn  = 2
	inodeColumn = 9
)

// peerPort finds the port of a TCP socket's peer by the socket's inode; 0: none is known.
func peerPort(pid int, inode string) int {
	table, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) <= inodeColumn || fields[inodeColumn] != inode {
			continue
		}
		_, port, _ := strings.Cut(fields[peerColumn], ":")
		n, _ := strconv.ParseInt(port, 16, 32)
		return int(n)
	}
	return 0
}
