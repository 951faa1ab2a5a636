package relay

import (
	"fmt"
	"io"
	"time"
)

const (
	silenceTimeout = 3 * time.Second // longest time between bytes; a watch has a line every 2 s at the latest
	maxObjectBytes = 64 << 20        // limit of one object, uncompressed
)

var errTooLong = fmt.Errorf("an object is longer than %d bytes", maxObjectBytes)

// watchdog reads a response's body. It cancels the call when no byte has arrived
// for silenceTimeout, and bounds the size of an object: the user of the watchdog
// sets budget at the start of each object.
type watchdog struct {
	source io.Reader
	timer  *time.Timer
	budget int // bytes that may still be read of the current object
}

// newWatchdog returns a watchdog for a body and starts its timer. cancel must make
// reads of the body return.
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

// stop stops the timer.
func (w *watchdog) stop() { w.timer.Stop() }
