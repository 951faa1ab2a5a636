package recording

import (
	"fmt"
	"time"
)

// Version is the version of the recording files that this package writes and reads.
const Version = 1

// Limits of a recording file, which the reader enforces.
const (
	blockEntries       = 1024             // in a block that is written
	maxBlockEntries    = 4 * blockEntries // in a block that is read
	maxFrameBytes      = 1 << 20
	zstdWindowBytes    = 1 << 20 // of files that are written
	maxZstdWindowBytes = 8 << 20 // of files that are read
	maxRecordingLength = 10 * 366 * 24 * time.Hour
	maxSlots           = 64
	maxEffort          = 1000 * day // µs
)

// Entry is one arrival of a recording.
type Entry struct {
	Arrival   time.Duration // since the recording's start
	Class     int           // index in the header's classes
	Key       uint64        // pseudonym; 0: none
	Duration  time.Duration // drawn if the log had none
	Effort    time.Duration // estimate of the work
	Timeout   time.Duration // how long the client waits
	Slots     float64
	BodyBytes int // of the request
	Status    int // as recorded; 0: not known
	Source    int // index in the header's sources
	Repairs   Repair
}

// KeyText is the key as requests send it; empty: none.
func (e *Entry) KeyText() string {
	if e.Key == 0 {
		return ""
	}
	return fmt.Sprintf("m%016x", e.Key)
}
