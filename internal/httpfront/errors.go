package httpfront

import (
	"errors"

	"hollyyoke.example/hollyyoke/internal/httpwire"
)

// Errors of requests that the front end rejects before they are complete. Clients get their texts.
var (
	errSlow   = errors.New("the request did not come in time")
	errMemory = errors.New("too many requests are half sent")
	errEnding = errors.New("the dispatcher is ending")
	errCaps   = errors.New("too many requests of this address are half sent")
)

// statusOf returns the status code for a request that was rejected before it was complete.
func statusOf(err error) int {
	switch {
	case errors.Is(err, errSlow):
		return httpwire.StatusRequestTimeout
	case errors.Is(err, errMemory), errors.Is(err, errCaps), errors.Is(err, errEnding):
		return httpwire.StatusServiceUnavailable
	}
	return httpwire.StatusOf(err)
}
