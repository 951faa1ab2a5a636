package childprocess

import (
	"errors"
	"fmt"
	"net"
	"os"
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

// FreeAddress returns a loopback address whose port was free a moment ago. Within a process each port is returned once
// before any is returned again. It is safe for concurrent use.
func FreeAddress() (string, error) {
	start := int64(os.Getpid()) * processStride
	for range portCount {
		port := firstPort + (start+chosenPorts.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			return address, nil
		}
	}
	return "", errNoFreePort
}
