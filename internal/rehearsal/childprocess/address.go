package childprocess

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

// The ports lie below Linux's default range of ephemeral ports, which begins at 32768. Therefore the kernel gives a chosen
// port to no other listener or connection before the child binds it, nor while a child is restarted.
const (
	firstPort = 15000
	lastPort  = 32000
	portCount = lastPort - firstPort

	// processStride, multiplied by the process ID, keeps the first ports of processes that run at the same time apart.
	processStride = 7919
)

var (
	chosenPorts atomic.Int64

	errNoFreePort = errors.New("no port is free")
)

// reservations holds a UDP socket for each port that this process has chosen. The TCP port is free while a child is
// restarted. The UDP socket prevents other processes that use this package from choosing it in the meantime.
var reservations struct {
	mutex   sync.Mutex
	sockets []net.PacketConn // kept open, and referenced here so that garbage collection does not close them
}

// reserve reserves the port of an address for this process. It returns false if this or another process holds the port.
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

// FreeAddress returns a loopback address with a TCP port that was free when it was checked. It reserves the port, so that
// FreeAddress in other processes does not return it. Within a process it returns no port twice. It is safe for concurrent
// use.
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
