package childprocess

import (
	"net"
	"testing"
)

// Output keeps everything, or ends with the write that reaches its limit.
func TestOutput(t *testing.T) {
	for limit, want := range map[int]string{0: "abcdef", 3: "abcd"} {
		output := Output{Limit: limit}
		for _, text := range []string{"ab", "cd", "ef"} {
			if n, err := output.Write([]byte(text)); n != len(text) || err != nil {
				t.Errorf("limit %d: wrote %d, %v", limit, n, err)
			}
		}
		if got := output.String(); got != want {
			t.Errorf("limit %d: %q, want %q", limit, got, want)
		}
	}
}

// Addresses are free, and differ though none is listened on meanwhile.
func TestFreeAddress(t *testing.T) {
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
