//go:build race

package connlimit

const raced = true
