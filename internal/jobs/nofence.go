//go:build nofence

package jobs

// A build with this tag ignores all fences. It is for the tests of the checkers, which must find what that leads to,
// and must never be put into service.
func init() { ignoreAllFences = true }
