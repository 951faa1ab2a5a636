//go:build !race

package connlimit

// raceEnabled reports whether the race detector is on.
const raceEnabled = false
