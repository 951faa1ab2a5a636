package childprocess

import (
	"net"
	"testing"
)

// Addresses are free, and differ though none is listened on meanwhile.
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
