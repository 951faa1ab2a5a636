package membership_test

import (
	"fmt"
	"os"
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// A relay applies what its upstream sends and answers a subscriber with a delta.
func ExampleStore() {
	relay := membership.NewStore(20000)
	for _, line := range []string{
		`{"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"10.1.0.18:8080","health":"ready"}]}`,
		`{"seq":42,"whole":false,"hosts":[{"host":"s-1","dial":"10.1.0.18:8080","health":"fine"}]}`,
		`{"seq":43,"whole":false,"hosts":[{"host":"s-2","dial":"10.1.0.19:8080","health":"ready"}]}`,
	} {
		change, err := membership.Parse([]byte(line))
		if err != nil { // rejected as a whole; the last valid state stays
			fmt.Println(err)
			relay.Reject(change.Version)
			continue
		}
		if !change.Snapshot {
			change.Base = relay.Version() // the version of the previous line on this watch
		}
		outcome, _ := relay.Apply(change)
		fmt.Println(relay.Version(), outcome)
	}
	delta, _ := relay.Since(41)
	os.Stdout.Write(delta.Append(nil))
	// Output:
	// 41 applied
	// hosts[0].health: unknown value "fine"
	// 43 applied
	// {"seq":43,"whole":false,"missing":42,"hosts":[{"host":"s-2","dial":"10.1.0.19:8080","health":"ready"}]}
}

// The rate to a subscriber is bounded, but the changes of workers that are draining
// or gone do not wait.
func ExampleRateLimiter() {
	limiter := membership.NewRateLimiter(6000)
	limiter.Spend(0, 250_000) // a compressed snapshot
	fmt.Println(limiter.Wait(time.Second, false))
	limiter.Spend(time.Second, 150_000) // the workers of a zone return, which exceeds the minute's 360,000
	fmt.Println(limiter.Wait(2*time.Second, false))
	fmt.Println(limiter.Wait(2*time.Second, true))
	// Output:
	// 0s
	// 59s
	// 0s
}

// A version counts as having reached a subscriber once the subscriber has
// acknowledged that version or a newer one.
func ExampleAckTracker() {
	tracker := membership.NewAckTracker(90 * time.Second)
	tracker.Acknowledge(0, "dispatcher-1", 43, 1)
	tracker.Acknowledge(0, "dispatcher-2", 41, 1)
	tracker.Acknowledge(0, "relay-z2", 42, 300) // the lowest of its subscribers
	count, total := tracker.CountAtLeast(time.Second, 42)
	fmt.Printf("version 42 has reached %d of %d subscribers\n", count, total)
	// Output: version 42 has reached 301 of 302 subscribers
}
