package httpfront

import (
	"errors"

	"hollyyoke.example/hollyyoke/internal/httpwire"
)

// Errors of requests that the front end rejects before they are complete. Their texts are sent to clients.
var (
	errRequestTimeout  = errors.New("the request did not come in time")
	errMemoryExhausted = errors.New("too many requests are half sent")
	errShuttingDown    = errors.New("the dispatcher is ending")
	errLimitExceeded   = errors.New("too many requests of this address are half sent")
)

// statusOfError returns the status code of the response to a request that was rejected before it was complete.
func statusOfError(err error) int {
	switch {
	case errors.Is(err, errRequestTimeout):
		return httpwire.StatusRequestTimeout
	case errors.Is(err, errMemoryExhausted), errors.Is(err, errLimitExceeded), errors.Is(err, errShuttingDown):
		return httpwire.StatusServiceUnavailable
	}
	return httpwire.StatusForError(err)
}
