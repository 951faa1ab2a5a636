package connlimit

import (
	"fmt"
	"net/netip"
	"testing"
)

// An address with a thousand tokens gets no more turns than an address with one token.
func TestRoundRobinByAddress(t *testing.T) {
	var roundRobin RoundRobin
	for i := range 1000 {
		roundRobin.Add(netip.MustParseAddr("10.0.0.1"), uint64(i))
	}
	const firstSingle = 5000 // token of the first address that has only one token
	for i := range 3 {
		roundRobin.Add(netip.MustParseAddr(fmt.Sprintf("10.0.0.%d", i+2)), uint64(firstSingle+i))
	}
	turns := map[uint64]int{}
	for i := 0; roundRobin.Len() > 0; i++ {
		token, ok := roundRobin.Next()
		if !ok {
			t.Fatal("Next returns no token though Len is positive")
		}
		turns[token] = i
	}
	for i := range 3 {
		turn := turns[uint64(firstSingle+i)]
		if turn > 3 {
			t.Errorf("an address with one token had turn %d, want one of the first four", turn)
		}
	}
	if turns[7] >= turns[8] || len(turns) != 1003 {
		t.Errorf("%d tokens had turns, want 1003; token 7 had turn %d and token 8 turn %d, want them in order",
			len(turns), turns[7], turns[8])
	}
}
