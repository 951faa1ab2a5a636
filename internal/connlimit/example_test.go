package connlimit_test

import (
	"fmt"
	"net/netip"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
)

// A connection is admitted within the limits, changes its stage as it is used, and is
// the candidate for eviction when it is idle and capacity is needed.
func ExampleLimiter() {
	limiter, err := connlimit.New(connlimit.Config{Capacity: 2, Address: connlimit.Limits{Open: 1}})
	if err != nil {
		fmt.Println(err)
		return
	}
	client := netip.MustParseAddr("192.0.2.1")
	other := netip.MustParseAddr("192.0.2.2")
	now := time.Second

	id, reason := limiter.Admit(now, client, 1)
	fmt.Println("first connection:", reason)
	_, reason = limiter.Admit(now, client, 2)
	fmt.Println("second connection of the address:", reason)
	limiter.Admit(now, other, 3)

	limiter.RequestStarted(now, id)
	limiter.RequestComplete(now, id)
	limiter.BecameIdle(now, id, true)
	candidate, ok := limiter.EvictionCandidate(now, connlimit.ForUnknown, connlimit.Spared{})
	fmt.Println("to be evicted:", candidate.Token, candidate.Stage, ok)
	limiter.Closed(id)
	// Output:
	// first connection: fine
	// second connection of the address: address_open
	// to be evicted: 1 proven true
}
