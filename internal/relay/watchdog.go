package relay

import (
	"fmt"
	"io"
	"time"
)

const (
	silenceTimeout = 3 * time.Second // between bytes; a watch has a line every 2 s at the latest
	maxObjectBytes = 64 << 20        // of one object, uncompressed
)

var errTooLong = fmt.Errorf("an object is longer than %d bytes", maxObjectBytes)

// watchdog reads a response's body. It cancels the call when no byte comes for
// too long, and bounds the bytes of an object: the reader sets budget at the start
// of each.
type watchdog struct {
	source io.Reader
	timer  *time.Timer
	budget int
}

// newWatchdog starts to watch a body. cancel must end its reading.
func newWatchdog(source io.Reader, cancel func()) *watchdog {
	return &watchdog{source: source, timer: time.AfterFunc(silenceTimeout, cancel), budget: maxObjectBytes}
}

// Read reads from the body, and returns errTooLong when the budget is exceeded.
func (w *watchdog) Read(p []byte) (int, error) {
	n, err := w.source.Read(p)
	w.timer.Reset(silenceTimeout)
	w.budget -= n
	if w.budget < 0 {
		return n, errTooLong
	}
	return n, err
}

// stop ends the watching.
func (w *watchdog) stop() { w.timer.Stop() }
