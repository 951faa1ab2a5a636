//go:build nofence

package jobs

// A build with this tag ignores all fences. It is only for tests that show that the checkers find the resulting faults,
// and must never be deployed.
func init() { ignoreAllFences = true }
