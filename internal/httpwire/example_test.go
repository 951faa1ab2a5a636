package httpwire_test

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/internal/httpwire"
)

// A request that arrives in two pieces is complete once both have been received.
func ExampleParseRequest() {
	var message httpwire.Message
	var state httpwire.ScanState
	input := []byte("POST /renewal/k HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo")
	progress, err := httpwire.ParseRequest(input, &message, &state)
	fmt.Println(progress == httpwire.Complete, err)

	input = append(input, "dy"...)
	progress, err = httpwire.ParseRequest(input, &message, &state)
	fmt.Println(progress == httpwire.Complete, err)
	fmt.Printf("%s %s %s\n", message.Method(), message.Target(), message.Body)
	// Output:
	// false <nil>
	// true <nil>
	// POST /renewal/k body
}

func ExampleAppendResponse() {
	response := httpwire.AppendResponse(nil, 503, nil, 250*time.Millisecond, true, "")
	fmt.Printf("%q\n", response)
	// Output: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.250\r\nConnection: close\r\n\r\n"
}
