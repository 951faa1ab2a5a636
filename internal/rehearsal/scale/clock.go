package scale

import (
	"time"

	"golang.org/x/sys/unix"
)

// sharedNow returns the time of the kernel's monotonic clock, which all processes of a run share. The wall clock may be
// slewed or stepped between the starts of two processes, each of which carries on the Unix time of its own start.
func sharedNow() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		panic(err) // clock_gettime(2) fails only for an invalid clock or address
	}
	return time.Duration(now.Nano())
}
