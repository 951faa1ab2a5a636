package replay

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// maxAnswerBytes bounds the body of an answer that is read.
const maxAnswerBytes = 1 << 20

// appendHTTPRequest appends the request as an HTTP request to the HTTP front end.
func appendHTTPRequest(buffer []byte, next *request, target string, body []byte) []byte {
	buffer = fmt.Appendf(buffer, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: %d\r\n"+
		"X-Weight-Hint: %d\r\nContent-Length: %d\r\n", next.path, target, next.id, next.Timeout.Milliseconds(),
		next.Effort.Microseconds(), len(body))
	if next.Slots != 1 {
		buffer = append(buffer, "X-Facts: slots="...)
		buffer = strconv.AppendFloat(buffer, next.Slots, 'g', -1, 64)
		buffer = append(buffer, "\r\n"...)
	}
	buffer = append(buffer, "\r\n"...)
	return append(buffer, body...)
}

// readHTTPAnswer reads an answer of the HTTP front end.
func (c *connection) readHTTPAnswer() (answer, error) {
	response, err := http.ReadResponse(c.input, nil)
	if err != nil {
		return answer{}, err
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	response.Body.Close()
	if err != nil {
		return answer{}, err
	}
	if response.StatusCode == http.StatusOK {
		return answer{outcome: Served, closesConnection: response.Close}, nil
	}
	reason := Reason(fmt.Sprintf("%d %s", response.StatusCode, normalizeReason(string(text))))
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return answer{outcome: Rejected, reason: reason, closesConnection: response.Close}, nil
	}
	return answer{outcome: Failed, reason: reason, closesConnection: response.Close}, nil
}
