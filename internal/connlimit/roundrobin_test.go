package connlimit

import (
	"fmt"
	"net/netip"
	"testing"
)

// A thousand connections of one address take the turns of one address.
func TestRoundRobin(t *testing.T) {
	var roundRobin RoundRobin
	for i := range 1000 {
		roundRobin.Add(netip.MustParseAddr("10.0.0.1"), uint64(i))
	}
	for i := range 3 {
		roundRobin.Add(netip.MustParseAddr(fmt.Sprintf("10.0.0.%d", i+2)), uint64(5000+i))
	}
	turns := map[uint64]int{}
	for i := 0; roundRobin.Len() > 0; i++ {
		token, ok := roundRobin.Next()
		if !ok {
			t.Fatal("Next finds no token")
		}
		turns[token] = i
	}
	for i := range 3 {
		if turns[uint64(5000+i)] > 3 {
			t.Errorf("a single connection had turn %d", turns[uint64(5000+i)])
		}
	}
	if turns[7] >= turns[8] || len(turns) != 1003 {
		t.Error("tokens of an address are not in order")
	}
}
