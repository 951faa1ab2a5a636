package childprocess

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

// Ports lie below those from which Linux picks one itself (32768 and up), so that no other listener or connection takes
// a port between the choice and the bind of the child, nor while a child is started again.
const (
	firstPort = 15000
	lastPort  = 32000
	portCount = lastPort - firstPort

	// processStride spreads the first ports of processes that run at once.
	processStride = 7919
)

var (
	chosenPorts atomic.Int64

	errNoFreePort = errors.New("no port is free")
)

// reservations are UDP sockets on the ports that this process has chosen. A child's port is free while the child is
// started again; by these, other processes that choose ports know that it is not theirs.
var reservations struct {
	mutex   sync.Mutex
	sockets []net.PacketConn // never closed: garbage collection would end a reservation
}

// reserve reserves a port for this process; false: it, or another process, has it.
func reserve(address string) bool {
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	reservations.mutex.Lock()
	defer reservations.mutex.Unlock()
	reservations.sockets = append(reservations.sockets, socket)
	return true
}

// FreeAddress returns a loopback address whose port was free a moment ago, and reserves it against other processes that
// choose theirs by it. Within a process each port is returned once. It is safe for concurrent use.
func FreeAddress() (string, error) {
	start := int64(os.Getpid()) * processStride
	for range portCount {
		port := firstPort + (start+chosenPorts.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if !reserve(address) {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			return address, nil
		}
	}
	return "", errNoFreePort
}
