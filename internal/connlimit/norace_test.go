//go:build !race

package connlimit

const raceEnabled = false
