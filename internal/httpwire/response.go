package httpwire

import (
	"strconv"
	"time"
)

// AppendResponse appends a complete response to out and returns the extended slice. retryAfter is written as
// Retry-After, in seconds, if it is positive; closing adds Connection: close. fields are further header fields, each
// with its line end.
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
