package httpwire

import "errors"

// Status codes, named after their reason phrases in RFC 9110. They are defined here because the daemon does not link
// net/http.
const (
	StatusOK                          = 200
	StatusAccepted                    = 202
	StatusBadRequest                  = 400
	StatusNotFound                    = 404
	StatusMethodNotAllowed            = 405
	StatusRequestTimeout              = 408
	StatusConflict                    = 409
	StatusContentTooLarge             = 413
	StatusUnprocessableContent        = 422
	StatusRequestHeaderFieldsTooLarge = 431
	StatusInternalServerError         = 500
	StatusBadGateway                  = 502
	StatusServiceUnavailable          = 503
	StatusGatewayTimeout              = 504
)

// reasonPhrases are the reason phrases of the status codes that AppendResponse is used with.
var reasonPhrases = map[int]string{
	StatusOK:                          "OK",
	StatusAccepted:                    "Accepted",
	StatusBadRequest:                  "Bad Request",
	StatusNotFound:                    "Not Found",
	StatusMethodNotAllowed:            "Method Not Allowed",
	StatusRequestTimeout:              "Request Timeout",
	StatusConflict:                    "Conflict",
	StatusContentTooLarge:             "Content Too Large",
	StatusUnprocessableContent:        "Unprocessable Content",
	StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	StatusInternalServerError:         "Internal Server Error",
	StatusBadGateway:                  "Bad Gateway",
	StatusServiceUnavailable:          "Service Unavailable",
}

// StatusForError returns the status code of the response to a message that could not be parsed because of err.
func StatusForError(err error) int {
	switch {
	case errors.Is(err, ErrBodyTooLong):
		return StatusContentTooLarge
	case errors.Is(err, ErrHeadTooLong):
		return StatusRequestHeaderFieldsTooLarge
	}
	return StatusBadRequest
}
