//go:build !(linux && amd64)

package soak

import "time"

// underFaults returns no tracer: system calls can be made to fail on Linux and amd64 only.
func underFaults(uint64, time.Duration) tracer { return nil }
