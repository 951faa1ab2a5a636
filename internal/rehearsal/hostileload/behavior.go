package hostileload

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	byteInterval   = 250 * time.Millisecond // pause after each byte of a slow request
	slowBodyLength = 5000                   // bytes

	batchRequests     = 64 // requests in one write of a flooding client
	batchInterval     = 100 * time.Millisecond
	batchWriteTimeout = 5 * time.Second

	readBuffer       = 512 // bytes
	slowReadBuffer   = 256 // bytes that a slow reader takes at a time
	slowReadInterval = 5 * time.Millisecond
	fullSpeed        = time.Duration(0) // the interval of a receiver that does not pause
)

// The requests that are sent, and their parts. A head is the request line and the headers.
const (
	pathVariants      = 1000 // number of different paths for each class
	headFormat        = "POST /%s/m%d HTTP/1.1\r\nHost: kiosk\r\nX-Correlation-Id: %016x\r\nX-Time-Left-Ms: 5000\r\n"
	slowBodyEndOfHead = "Content-Length: 5000\r\n\r\n" // announces slowBodyLength
	batchedFormat     = "POST /nothing/m%d HTTP/1.1\r\nHost: kiosk\r\nX-Correlation-Id: %016x\r\nContent-Length: 0\r\n\r\n"
)

// misbehave uses a connection in the way of the client's kind until either side
// ends it, and returns the number of bytes received.
func (c *client) misbehave(ctx context.Context, conn net.Conn) int64 {
	// The head is generated for every kind, also for those that do not send it, so
	// that all kinds draw the same random numbers up to this point.
	head := fmt.Sprintf(headFormat, c.class, c.random.IntN(pathVariants), c.random.Uint64())
	switch c.kind {
	case Silent:
		return stayIdle(ctx, conn)
	case SlowHead:
		return trickle(ctx, conn, "", head)
	case SlowBody:
		body := string(make([]byte, slowBodyLength))
		return trickle(ctx, conn, head+slowBodyEndOfHead, body)
	case Flooding:
		responses := startReceiver(ctx, conn, slowReadBuffer, slowReadInterval)
		c.flood(ctx, conn)
		<-responses.ended
		return responses.received.Load()
	case NeverReading:
		c.flood(ctx, conn)
	case Disconnecting:
	}
	return 0
}

// stayIdle sends nothing until the connection ends, and returns the number of bytes
// received.
func stayIdle(ctx context.Context, conn net.Conn) int64 {
	responses := startReceiver(ctx, conn, readBuffer, fullSpeed)
	<-responses.ended
	return responses.received.Load()
}

// trickle sends start in one write and then rest one byte at a time, and waits for the
// end of the connection. It returns the number of bytes received.
func trickle(ctx context.Context, conn net.Conn, start, rest string) int64 {
	responses := startReceiver(ctx, conn, readBuffer, fullSpeed)
	if start != "" {
		_, err := io.WriteString(conn, start)
		if err != nil {
			return responses.received.Load()
		}
	}
	for i := range len(rest) {
		_, err := conn.Write([]byte{rest[i]})
		if err != nil {
			break
		}
		select {
		case <-responses.ended:
			return responses.received.Load()
		case <-time.After(byteInterval):
		}
	}
	<-responses.ended
	return responses.received.Load()
}

// flood sends one batch of requests repeatedly until a write fails or ctx ends, and
// then closes the connection. It does not read the responses.
func (c *client) flood(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	var batch []byte
	for range batchRequests {
		batch = fmt.Appendf(batch, batchedFormat, c.random.IntN(pathVariants), c.random.Uint64())
	}
	for ctx.Err() == nil {
		conn.SetWriteDeadline(time.Now().Add(batchWriteTimeout))
		_, err := conn.Write(batch)
		if err != nil {
			return
		}
		sleep(ctx, batchInterval)
	}
}

// receiver reads, counts and discards the bytes that arrive on a connection, so that
// the end of the connection is noticed.
type receiver struct {
	received atomic.Int64  // bytes
	ended    chan struct{} // closed once a read has failed
}

// startReceiver reads from conn in a goroutine of its own until a read fails. It
// pauses for interval after each read.
func startReceiver(ctx context.Context, conn net.Conn, bufferSize int, interval time.Duration) *receiver {
	r := &receiver{ended: make(chan struct{})}
	go func() {
		defer close(r.ended)
		buffer := make([]byte, bufferSize)
		for {
			n, err := conn.Read(buffer)
			r.received.Add(int64(n))
			if err != nil {
				return
			}
			if interval > 0 {
				sleep(ctx, interval)
			}
		}
	}()
	return r
}
