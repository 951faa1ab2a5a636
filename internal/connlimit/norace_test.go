//go:build !race

package connlimit

const raced = false
