package connlimit

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

const maxBlocks = 1024 // number of prefixes that can be blocked at the same time

// Errors of Block. The admin API returns their texts.
var (
	ErrInvalidBlock  = errors.New("a prefix and a time to come are needed")
	ErrTooManyBlocks = fmt.Errorf("%d prefixes are barred already", maxBlocks)
)

// block is a prefix whose new connections are rejected until a time.
type block struct {
	prefix netip.Prefix
	until  time.Duration
}

// Block rejects new connections of a prefix until a time. Connections that are already
// open stay open. An error is ErrInvalidBlock or ErrTooManyBlocks.
func (l *Limiter) Block(now time.Duration, prefix netip.Prefix, until time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !prefix.IsValid() || until <= now {
		return ErrInvalidBlock
	}
	prefix = prefix.Masked()
	i := l.blockIndex(prefix)
	if i >= 0 {
		l.blocks[i].until = until
		return nil
	}
	if len(l.blocks) >= maxBlocks {
		return ErrTooManyBlocks
	}
	l.blocks = append(l.blocks, block{prefix, until})
	return nil
}

// Unblock ends the block of a prefix, and returns false if there is none.
func (l *Limiter) Unblock(prefix netip.Prefix) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := l.blockIndex(prefix.Masked())
	if i < 0 {
		return false
	}
	l.blocks = slices.Delete(l.blocks, i, i+1)
	return true
}

// blockIndex returns the index of a prefix's block, or -1 if the prefix is not blocked.
func (l *Limiter) blockIndex(prefix netip.Prefix) int {
	return slices.IndexFunc(l.blocks, func(b block) bool { return b.prefix == prefix })
}

// isBlocked reports whether an address is blocked. It also removes the expired blocks
// that it meets in its search.
func (l *Limiter) isBlocked(now time.Duration, addr netip.Addr) bool {
	for i := 0; i < len(l.blocks); {
		b := &l.blocks[i]
		switch {
		case b.until <= now:
			last := len(l.blocks) - 1
			l.blocks[i] = l.blocks[last]
			l.blocks = l.blocks[:last]
		case b.prefix.Contains(addr):
			return true
		default:
			i++
		}
	}
	return false
}
