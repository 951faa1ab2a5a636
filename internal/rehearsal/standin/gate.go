package standin

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
)

// Gate controls whether jobs that must never reach a production payment system may be sent. It is
// open only while every listed worker is verified to be a stand-in of this run. Once a verification
// has failed, the gate stays closed for the rest of the run. It is safe for concurrent use. The zero
// value is a closed gate.
type Gate struct {
	open    atomic.Bool
	mutex   sync.Mutex
	failure error
}

var errNoWorkers = errors.New("no worker is listed")

// IsOpen reports whether all listed workers are verified now.
func (g *Gate) IsOpen() bool { return g.open.Load() }

// Failure returns the error that closed the gate for the rest of the run, or nil if there is none.
func (g *Gate) Failure() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.failure
}

// Close closes the gate until the workers are verified again.
func (g *Gate) Close() { g.open.Store(false) }

// ClosePermanently closes the gate for the rest of the run. Failure returns the failure of the first call.
func (g *Gate) ClosePermanently(failure error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.failure == nil {
		g.failure = failure
	}
	g.open.Store(false)
}

// Verify challenges every listed worker at its listed address, which is the one that the dispatcher
// uses. It opens the gate if all workers pass. Otherwise it closes the gate for the rest of the run
// and returns the failure.
func (g *Gate) Verify(ctx context.Context, listed []Host, secret []byte) error {
	if failure := g.Failure(); failure != nil {
		return failure
	}
	if err := challengeAll(ctx, listed, secret); err != nil {
		g.ClosePermanently(err)
		return err
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.failure == nil {
		g.open.Store(true)
	}
	return g.failure
}

// challengeAll challenges all listed workers concurrently and returns the first error.
func challengeAll(ctx context.Context, listed []Host, secret []byte) error {
	results := make(chan error, len(listed))
	challenged := 0
	for _, host := range listed {
		if host.Health == HealthGone {
			continue
		}
		challenged++
		go func() { results <- Challenge(ctx, host.Dial, host.Host, secret) }()
	}
	if challenged == 0 {
		return errNoWorkers
	}
	var first error
	for range challenged {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return first
}
