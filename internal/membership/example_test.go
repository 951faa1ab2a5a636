package membership_test

import (
	"fmt"
	"os"
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// A relay takes in what its upstream sends and tells a subscriber what it lacks.
func ExampleStore() {
	relay := membership.NewStore(20000)
	for _, line := range []string{
		`{"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"10.1.0.18:8080","health":"ready"}]}`,
		`{"seq":42,"whole":false,"hosts":[{"host":"s-1","dial":"10.1.0.18:8080","health":"fine"}]}`,
		`{"seq":43,"whole":false,"hosts":[{"host":"s-2","dial":"10.1.0.19:8080","health":"ready"}]}`,
	} {
		change, err := membership.Parse([]byte(line))
		if err != nil { // refused whole; the last good state stays
			fmt.Println(err)
			relay.Refuse(change.Version)
			continue
		}
		if !change.Whole {
			change.Base = relay.Version() // the line before on this watch
		}
		outcome, _ := relay.Apply(change)
		fmt.Println(relay.Version(), outcome)
	}
	lacks, _ := relay.Since(41)
	os.Stdout.Write(lacks.Append(nil))
	// Output:
	// 41 applied
	// hosts[0].health: unknown value "fine"
	// 43 applied
	// {"seq":43,"whole":false,"missing":42,"hosts":[{"host":"s-2","dial":"10.1.0.19:8080","health":"ready"}]}
}

// A subscriber's bytes are bounded; what drains or has gone does not wait.
func ExamplePace() {
	pace := membership.NewPace(6000, 60000)
	pace.Spend(0, 85000)
	fmt.Println(pace.Wait(0, false).Round(time.Second))
	fmt.Println(pace.Wait(0, true))
	// Output:
	// 5s
	// 0s
}

// A version is in force where it, or a newer one, has been acknowledged.
func ExampleAcks() {
	acks := membership.NewAcks(90 * time.Second)
	acks.Heard(0, "dispatcher-1", 43, 1)
	acks.Heard(0, "dispatcher-2", 41, 1)
	acks.Heard(0, "relay-z2", 42, 300) // the lowest of its fleet
	have, of := acks.InForce(time.Second, 42)
	fmt.Printf("version 42 is in force at %d of %d\n", have, of)
	// Output: version 42 is in force at 301 of 302
}
