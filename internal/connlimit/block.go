package connlimit

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

const maxBlocks = 1024 // prefixes at a time

// Errors of Block. Their texts are answers of the admin API.
var (
	ErrInvalidBlock  = errors.New("a prefix and a time to come are needed")
	ErrTooManyBlocks = fmt.Errorf("%d prefixes are barred already", maxBlocks)
)

// block rejects the connections of a prefix for a while.
type block struct {
	prefix netip.Prefix
	until  time.Duration
}

// Block rejects new connections of a prefix until a time; those that are open stay.
// It returns ErrInvalidBlock or ErrTooManyBlocks.
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

// blockIndex returns the index of a prefix's block; -1: there is none.
func (l *Limiter) blockIndex(prefix netip.Prefix) int {
	return slices.IndexFunc(l.blocks, func(b block) bool { return b.prefix == prefix })
}

// isBlocked reports whether a block holds for an address, and forgets blocks that
// are over as far as it looks.
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
