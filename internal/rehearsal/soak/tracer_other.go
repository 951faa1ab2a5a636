//go:build !(linux && amd64)

package soak

import "time"

// newTracer returns nil, since package faultinject works only on Linux on amd64.
func newTracer(uint64, time.Duration) tracer { return nil }

// newDiskTracer returns nil for the same reason.
func newDiskTracer(uint64, time.Duration) tracer { return nil }
