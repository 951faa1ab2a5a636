//go:build !(linux && amd64)

package soak

import "time"

// newTracer returns no tracer: system calls can be made to fail on Linux and amd64 only.
func newTracer(uint64, time.Duration) tracer { return nil }

// newDiskTracer returns nil: system calls can't be made fail here.
func newDiskTracer(uint64, time.Duration) tracer { return nil }
