package relay

import (
	"bytes"
	"compress/gzip"
	"sync"
	"sync/atomic"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// body is a snapshot or delta with its encodings. Each is made once, by the
// first handler that needs it, and shared by all. Safe for concurrent use.
type body struct {
	version  membership.Version
	whole    bool
	counters *counters

	encode   sync.Once
	change   membership.Change // released once encoded
	plain    []byte
	compress sync.Once
	gzipped  []byte
}

// counters count what was encoded and sent.
type counters struct {
	encoded, compressed                atomic.Int64 // snapshots
	snapshotsSent, deltasSent, sentSum atomic.Int64
}

func newBody(change membership.Change, counters *counters) *body {
	return &body{version: change.Version, whole: change.Snapshot, change: change, counters: counters}
}

// line is the body as one line of JSON.
func (b *body) line() []byte {
	b.encode.Do(func() {
		b.plain = b.change.Append(nil)
		b.change = membership.Change{}
		if b.whole {
			b.counters.encoded.Add(1)
		}
	})
	return b.plain
}

// gzip is the line compressed.
func (b *body) gzip() []byte {
	b.compress.Do(func() {
		var out bytes.Buffer
		writer, _ := gzip.NewWriterLevel(&out, gzip.DefaultCompression) // the level is valid
		writer.Write(b.line())                                          // a buffer takes everything
		writer.Close()
		b.gzipped = out.Bytes()
		if b.whole {
			b.counters.compressed.Add(1)
		}
	})
	return b.gzipped
}

// count notes that the body was sent.
func (c *counters) count(b *body, sent int) {
	c.sentSum.Add(int64(sent))
	switch {
	case b == nil:
	case b.whole:
		c.snapshotsSent.Add(1)
	default:
		c.deltasSent.Add(1)
	}
}
