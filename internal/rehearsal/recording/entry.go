package recording

import (
	"fmt"
	"time"
)

// Version is the version of the recording files that this package writes and reads.
const Version = 1

// Limits of a recording file, which the reader enforces.
const (
	blockEntries       = 1024             // number of entries in a full block that the writer writes
	maxBlockEntries    = 4 * blockEntries // largest number of entries in a block that the reader accepts
	maxFrameBytes      = 1 << 20
	zstdWindowBytes    = 1 << 20 // window of the files that the writer writes
	maxZstdWindowBytes = 8 << 20 // window that the reader accepts
	maxRecordingLength = 10 * 366 * 24 * time.Hour
	maxSlots           = 64
	maxEffort          = 1000 * day // µs
)

// Entry is one recorded request and its arrival.
type Entry struct {
	Arrival   time.Duration // since the recording's start
	Class     int           // index in the header's classes
	Key       uint64        // pseudonym of the member; 0 if the request has no key
	Duration  time.Duration // service time or, if it was not recorded, time from arrival to completion; drawn if neither was recorded
	Effort    time.Duration // estimated work of the request
	Timeout   time.Duration // how long the client waits for the answer
	Slots     float64       // slots of a worker that the job occupies
	BodyBytes int           // size of the request's body
	Status    int           // HTTP status as recorded; 0 if it is not known
	Source    int           // index in the header's sources
	Repairs   Repair        // corrections that the import made
}

// KeyText returns the key in the form in which requests send it, or "" if the entry has no key.
func (e *Entry) KeyText() string {
	if e.Key == 0 {
		return ""
	}
	return fmt.Sprintf("m%016x", e.Key)
}
