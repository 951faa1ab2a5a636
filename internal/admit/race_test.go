//go:build race

package admit

const raced = true
