// Package replay sends the requests of a recording to a dispatcher in an open loop: each request is
// sent at its recorded time, whether or not earlier ones have been answered, and latency is measured
// from that time. Sending never waits for an answer or for a connection. A job that must not be retried
// is sent only while the workers are verified to be stand-ins.
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

// Options configure a replay. The functions are called by several goroutines.
type Options struct {
	Target   string  // address of the dispatcher: host:port, on a loopback address
	Faktory  bool    // use the Faktory front end instead of the HTTP one
	Password string  // password for the Faktory front end
	Seed     uint64  // seed of the requests' ids, which depend only on it and the entry's number
	Speed    float64 // factor by which requests are sent faster than recorded; default 1

	// LatencyObjectives holds the latency objectives by the name of the class. They only decide which
	// requests are counted in Tally.WithinObjective.
	LatencyObjectives map[string]time.Duration
	// LocalAddresses are loopback addresses that connections are opened from, in turn. If there are
	// none, the system chooses the address.
	LocalAddresses []netip.Addr

	// Verified reports whether a job that must not be retried may be sent now; it is called before
	// each such job. If it is nil, no such job is sent, and no other option changes that.
	Verified func() bool
	// OnSend is called for each job before it is sent; may be nil. It must not change the job's entry.
	OnSend func(Job)
	// OnProgress is called with the number of completed entries; may be nil.
	OnProgress func(completed int)
}

// Job describes an entry of a recording that is sent as a job.
type Job struct {
	ID        string
	Class     string
	Retryable bool
	Path      string // /CLASS/KEY, the path of the HTTP request; a Faktory job has class and key as fields
	Entry     *recording.Entry
}

// Limits of Options.Speed.
const (
	minSpeed = 0.001
	maxSpeed = 1000
)

// Run replays a recording and returns the result. It waits until each request that was sent is answered
// or has timed out. If ctx is canceled, it stops sending and returns the result of the requests sent so
// far and context.Canceled.
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
	requests := make(chan *request, readAheadRequests)
	var readErr error
	// Requests are read ahead, so that decompressing the recording does not delay a send.
	go func() {
		defer close(requests) // after readErr is set, which is read once the channel is closed
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

// ID returns the id of the request of the entry with the given number in the recording, from 0. It has
// the form that clients use: 16 hexadecimal digits.
func ID(seed uint64, number int) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("hollyyoke rehearsal %d %d", seed, number)))
}

// CheckLoopback returns an error unless addr is a host:port on a loopback address.
func CheckLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is not a host:port", addr)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%s is not a loopback address", host)
	}
	return nil
}
