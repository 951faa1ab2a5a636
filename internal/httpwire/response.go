package httpwire

import (
	"errors"
	"strconv"
	"time"
)

// StatusOK is the status code of a response that brings what was asked for.
const StatusOK = 200

// reasonPhrases are those of the status codes that this program answers with.
var reasonPhrases = map[int]string{
	200: "OK",
	202: "Accepted",
	400: "Bad Request",
	404: "Not Found",
	405: "Method Not Allowed",
	408: "Request Timeout",
	409: "Conflict",
	413: "Content Too Large",
	422: "Unprocessable Content",
	431: "Request Header Fields Too Large",
	500: "Internal Server Error",
	502: "Bad Gateway",
	503: "Service Unavailable",
}

// StatusOf returns the status code that answers a message which could not be read.
func StatusOf(err error) int {
	switch {
	case errors.Is(err, ErrBodyTooLong):
		return 413
	case errors.Is(err, ErrHeadTooLong):
		return 431
	}
	return 400
}

// AppendResponse appends a complete response to out and returns it. retryAfter goes into Retry-After, in seconds, if it
// is positive; closing adds Connection: close. fields are further header fields, each with its line end.
func AppendResponse(out []byte, status int, body []byte, retryAfter time.Duration, closing bool, fields string) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(out, ' ')
	out = append(out, reasonPhrases[status]...)
	out = append(out, "\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(body)), 10)
	if retryAfter > 0 {
		out = append(out, "\r\nRetry-After: "...)
		out = strconv.AppendFloat(out, retryAfter.Seconds(), 'f', 3, 64)
	}
	if closing {
		out = append(out, "\r\nConnection: close"...)
	}
	out = append(out, "\r\n"...)
	out = append(out, fields...)
	out = append(out, "\r\n"...)
	return append(out, body...)
}
