//go:build linux && (amd64 || arm64)

// Package faultinject runs a program under ptrace and, following a seeded plan,
// makes its system calls fail, transfer fewer bytes or report a stepped wall
// clock. It works on Linux on amd64 and
// arm64.
//
// The package traces only processes that it has started, with all their threads.
// The errors that a plan injects should be ones that Linux documents for the call.
package faultinject
