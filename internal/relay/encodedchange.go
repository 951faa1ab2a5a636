package relay

import (
	"bytes"
	"compress/gzip"
	"sync"
	"sync/atomic"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// encodedChange is a snapshot or delta with its encodings, JSON and compressed JSON.
// Each is made once, by the first handler that needs it, and shared by all
// handlers. An encodedChange is safe for concurrent use.
type encodedChange struct {
	version    membership.Version
	isSnapshot bool
	counters   *counters

	encodeOnce   sync.Once
	change       membership.Change // cleared once it is encoded
	encoded      []byte
	compressOnce sync.Once
	compressed   []byte
}

// counters count what has been encoded and sent.
type counters struct {
	snapshotsEncoded    atomic.Int64
	snapshotsCompressed atomic.Int64
	snapshotsSent       atomic.Int64
	deltasSent          atomic.Int64
	bytesSent           atomic.Int64
}

// newEncodedChange returns an encodedChange whose encodings have not been made yet.
func newEncodedChange(change membership.Change, counters *counters) *encodedChange {
	return &encodedChange{version: change.Version, isSnapshot: change.Snapshot, change: change, counters: counters}
}

// json returns the change as one line of JSON.
func (e *encodedChange) json() []byte {
	e.encodeOnce.Do(func() {
		e.encoded = e.change.Append(nil)
		e.change = membership.Change{}
		if e.isSnapshot {
			e.counters.snapshotsEncoded.Add(1)
		}
	})
	return e.encoded
}

// gzipJSON returns the line of JSON, compressed.
func (e *encodedChange) gzipJSON() []byte {
	e.compressOnce.Do(func() {
		var out bytes.Buffer
		writer, _ := gzip.NewWriterLevel(&out, gzip.DefaultCompression) // the level is valid
		writer.Write(e.json())                                          // a buffer accepts everything
		writer.Close()
		e.compressed = out.Bytes()
		if e.isSnapshot {
			e.counters.snapshotsCompressed.Add(1)
		}
	})
	return e.compressed
}

// recordSent counts the bytes that were sent, and the change unless it is nil.
func (c *counters) recordSent(change *encodedChange, bytes int) {
	c.bytesSent.Add(int64(bytes))
	switch {
	case change == nil:
	case change.isSnapshot:
		c.snapshotsSent.Add(1)
	default:
		c.deltasSent.Add(1)
	}
}
