//go:build !(linux && amd64)

package soak

import "time"

// underFaults is for Linux on amd64 alone: elsewhere dispatchers run plainly.
func underFaults(uint64, time.Duration) tracer { return nil }
