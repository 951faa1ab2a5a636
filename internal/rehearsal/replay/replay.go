// Package replay sends a recording to a dispatcher in an open loop: each entry at its recorded
// time, whatever has become of those before it. Latency is measured from that time. Sending never
// waits for an answer or for a connection, and a job that must not be retried is sent only while
// the workers are verified to be stand-ins.
package replay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
)

// Options say where and how a recording is sent. The functions are called by several goroutines.
type Options struct {
	Target   string  // host:port on a loopback address
	Faktory  bool    // through the Faktory front end; otherwise through the HTTP one
	Password string  // of the Faktory front end
	Seed     uint64  // of the ids; the same seed gives the same ids
	Speed    float64 // of the recording's time; default 1

	// LatencyObjectives are the latency objectives of the classes, by name. They are only counted.
	LatencyObjectives map[string]time.Duration
	// LocalAddresses are loopback addresses that connections are opened from, in turn; none: any.
	LocalAddresses []netip.Addr

	// Verified reports at each send whether a job that must not be retried may be sent. nil: no
	// such job is sent, and nothing overrides that.
	Verified func() bool
	// OnSend is called for each job before it is sent; may be nil. It must not change the job's entry.
	OnSend func(Job)
	// OnProgress is called with the number of completed entries; may be nil.
	OnProgress func(completed int)
}

// Job is an entry of a recording as it is sent.
type Job struct {
	ID        string
	Class     string
	Retryable bool
	Path      string // /CLASS/KEY, of its HTTP request; a Faktory job has both as fields
	Entry     *recording.Entry
}

// Limits of Options.Speed.
const (
	minSpeed = 0.001
	maxSpeed = 1000
)

// Run sends a recording and returns the result. It takes as long as the recording and the
// longest timeout of its last clients. When ctx is canceled it stops sending and returns the
// result so far with context.Canceled.
func Run(ctx context.Context, reader *recording.Reader, options Options) (*Result, error) {
	if err := CheckLoopback(options.Target); err != nil {
		return nil, err
	}
	if options.Speed == 0 {
		options.Speed = 1
	}
	if !(options.Speed >= minSpeed && options.Speed <= maxSpeed) {
		return nil, fmt.Errorf("speed: %g is not between 0.001 and 1000", options.Speed)
	}
	replayer := newReplayer(options, reader.Header.Classes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	requests := make(chan *request, readAhead)
	var readErr error
	// Entries are read ahead, so that decompression does not delay a send.
	go func() {
		defer close(requests) // after readErr is set
		readErr = replayer.readRequests(ctx, reader, requests)
	}()
	replayer.openWarmConnections()
	replayer.start = time.Now().Add(startDelay)
	replayer.sendAll(requests)
	replayer.unfinished.Wait()
	canceled := errors.Is(readErr, context.Canceled)
	if readErr != nil && !canceled {
		return nil, readErr
	}
	time.Sleep(duplicateWindow)
	replayer.pool.closeAll()
	result := replayer.recorder.finish()
	if canceled {
		return result, context.Canceled
	}
	return result, nil
}

// ID is the id of an entry by its number in the recording, in the form that clients use: 16 hexadecimal digits.
func ID(seed uint64, number int) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("hollyyoke rehearsal %d %d", seed, number)))
}

// CheckLoopback returns an error unless addr is a host:port on a loopback address.
func CheckLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is no host:port", addr)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%s is not a loopback address", host)
	}
	return nil
}
