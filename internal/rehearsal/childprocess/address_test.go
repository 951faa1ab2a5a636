package childprocess

import (
	"net"
	"testing"
)

// The returned addresses can be listened on, and they differ although no listener stays open on any of them.
func TestFreeAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 20 {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Errorf("%s is returned twice", address)
		}
		seen[address] = true
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		listener.Close()
	}
}
