package childprocess

import (
	"fmt"
	"net"
	"os"
	"testing"
)

// Two soaks at a time took each other's ports: a port was free while its dispatcher was restarted, and a dispatcher of
// the other run was given it ("bind: address already in use", and answers that came from the other run). The cause: a port
// was tried by a listener that was closed at once, and nothing told other processes of the choice. A chosen port stays
// reserved for its process.
func TestPortOfAnotherProcessIsNotChosen(t *testing.T) {
	next := firstPort + (int64(os.Getpid())*processStride+chosenPorts.Load()+1)%portCount
	reservation, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", next))
	if err == nil { // else another process has it, which is the same
		defer reservation.Close()
	}
	address, err := FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	if taken := fmt.Sprintf("127.0.0.1:%d", next); address == taken {
		t.Errorf("%s was chosen, which another process has reserved", address)
	}
	again, err := net.ListenPacket("udp", address)
	if err == nil {
		again.Close()
		t.Errorf("%s was chosen and is not reserved", address)
	}
}
