package childprocess

import (
	"fmt"
	"net"
	"os"
	"testing"
)

// Guards against two processes that choose the same port. The choice used to be checked only by a listener that was closed
// at once, which other processes could not see. When two soaks ran at the same time, a dispatcher of one was given the port
// of a dispatcher of the other that was being restarted: the restart failed with "bind: address already in use", and
// answers came from the other run. A chosen port therefore stays reserved for the process that chose it.
func TestPortOfAnotherProcessIsNotChosen(t *testing.T) {
	next := firstPort + (int64(os.Getpid())*processStride+chosenPorts.Load()+1)%portCount
	reservation, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", next))
	if err == nil { // otherwise another process already holds it, which serves the test equally
		defer reservation.Close()
	}
	address, err := FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	if taken := fmt.Sprintf("127.0.0.1:%d", next); address == taken {
		t.Errorf("%s was chosen although its port is reserved", address)
	}
	again, err := net.ListenPacket("udp", address)
	if err == nil {
		again.Close()
		t.Errorf("%s was chosen but its port is not reserved", address)
	}
}
