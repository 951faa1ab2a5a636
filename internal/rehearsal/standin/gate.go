package standin

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
)

// Gate says whether jobs that must never reach a real payment system may be sent: only while
// every listed worker is verified to be a stand-in of this run. What has failed once is not
// verified again in the same run. It is safe for concurrent use; the zero value is closed.
type Gate struct {
	open    atomic.Bool
	mutex   sync.Mutex
	failure error
}

var errNoWorkers = errors.New("no worker is listed")

// IsOpen reports whether all workers behind the dispatcher are verified at this moment.
func (g *Gate) IsOpen() bool { return g.open.Load() }

// Failure is the error that closed the gate for the rest of the run; nil: none has.
func (g *Gate) Failure() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.failure
}

// Close closes the gate until the workers are verified again.
func (g *Gate) Close() { g.open.Store(false) }

// CloseForGood closes the gate for the rest of the run. The first failure is kept.
func (g *Gate) CloseForGood(failure error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.failure == nil {
		g.failure = failure
	}
	g.open.Store(false)
}

// Verify challenges every listed worker at the address that the dispatcher is given. It opens the
// gate if all are stand-ins, and otherwise closes it for good and returns the failure.
func (g *Gate) Verify(ctx context.Context, listed []Host, secret []byte) error {
	if failure := g.Failure(); failure != nil {
		return failure
	}
	if err := challengeAll(ctx, listed, secret); err != nil {
		g.CloseForGood(err)
		return err
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.failure == nil {
		g.open.Store(true)
	}
	return g.failure
}

// challengeAll challenges all listed workers at once and returns the first error.
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
