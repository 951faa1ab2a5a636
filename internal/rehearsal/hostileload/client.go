package hostileload

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	trickleInterval = 250 * time.Millisecond // between the bytes of slow clients
	slowBodyBytes   = 5000
	floodRequests   = 64 // that are written at once
	floodInterval   = 100 * time.Millisecond
	writeTimeout    = 5 * time.Second
	readBytes       = 512 // at a time
	slowReadBytes   = 256 // at a time, by clients that read slowly
	slowReadDelay   = 5 * time.Millisecond
	members         = 1000 // whose paths requests have
)

// client is one client. It reconnects after a delay when its connection has ended.
type client struct {
	config   *Config
	kind     Kind
	source   netip.Addr
	random   *rand.Rand
	counters *counters
}

// run connects again and again until ctx ends.
func (c *client) run(ctx context.Context) {
	sleep(ctx, time.Duration(c.random.Int64N(int64(rampUp))))
	for ctx.Err() == nil {
		c.connect(ctx)
		sleep(ctx, minReconnectDelay+time.Duration(c.random.Int64N(int64(maxReconnectDelay-minReconnectDelay))))
	}
}

// connect opens one connection and misuses it until either side closes it.
func (c *client) connect(ctx context.Context) {
	c.counters.attempted.Add(1)
	c.counters.byKind[c.kind].Add(1)
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: c.source.AsSlice()}}
	conn, err := dialer.DialContext(ctx, "tcp", c.config.Target)
	if err != nil {
		c.counters.failed.Add(1)
		return
	}
	c.counters.connected.Add(1)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	answerBytes := c.misuse(ctx, conn)
	stop()
	conn.Close()
	c.counters.answerBytes.Add(answerBytes)
	if ctx.Err() == nil && c.kind != Disconnecting {
		c.counters.closedByPeer.Add(1)
	}
}

// misuse misuses a connection until either side closes it, and returns the bytes of the answers.
func (c *client) misuse(ctx context.Context, conn net.Conn) int64 {
	head := fmt.Sprintf("POST /%s/m%d HTTP/1.1\r\nHost: kiosk\r\nX-Correlation-Id: %016x\r\nX-Time-Left-Ms: 5000\r\n",
		c.config.Class, c.random.IntN(members), c.random.Uint64())
	switch c.kind {
	case Silent:
		answers := readAnswers(ctx, conn, readBytes, 0)
		<-answers.ended
		return answers.bytes.Load()
	case SlowHead:
		answers := readAnswers(ctx, conn, readBytes, 0)
		trickle(conn, head, answers.ended)
		return answers.bytes.Load()
	case SlowBody:
		answers := readAnswers(ctx, conn, readBytes, 0)
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, slowBodyBytes); err == nil {
			trickle(conn, string(make([]byte, slowBodyBytes)), answers.ended)
		}
		return answers.bytes.Load()
	case Flooding:
		answers := readAnswers(ctx, conn, slowReadBytes, slowReadDelay)
		c.flood(ctx, conn)
		<-answers.ended
		return answers.bytes.Load()
	case NeverReading:
		c.flood(ctx, conn)
	}
	return 0
}

// trickle writes a text a byte at a time, and waits until the peer has closed the connection.
func trickle(conn net.Conn, text string, ended <-chan struct{}) {
	for i := range len(text) {
		if _, err := conn.Write([]byte{text[i]}); err != nil {
			break
		}
		select {
		case <-ended:
			return
		case <-time.After(trickleInterval):
		}
	}
	<-ended
}

// flood writes requests until the connection or ctx ends, and closes the connection.
func (c *client) flood(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	var requests []byte
	for range floodRequests {
		requests = fmt.Appendf(requests, "POST /nothing/m%d HTTP/1.1\r\nHost: kiosk\r\nX-Correlation-Id: %016x\r\nContent-Length: 0\r\n\r\n",
			c.random.IntN(members), c.random.Uint64())
	}
	for ctx.Err() == nil {
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(requests); err != nil {
			return
		}
		sleep(ctx, floodInterval)
	}
}

// answers are the answers on a connection, which are read so that its end is noticed.
type answers struct {
	ended chan struct{} // closed when the connection has ended
	bytes atomic.Int64
}

// readAnswers reads and discards answers until the connection ends, bufferBytes at a time with a
// delay between.
func readAnswers(ctx context.Context, conn io.Reader, bufferBytes int, delay time.Duration) *answers {
	a := &answers{ended: make(chan struct{})}
	go func() {
		defer close(a.ended)
		buffer := make([]byte, bufferBytes)
		for {
			n, err := conn.Read(buffer)
			a.bytes.Add(int64(n))
			if err != nil {
				return
			}
			if delay > 0 {
				sleep(ctx, delay)
			}
		}
	}()
	return a
}

// sleep waits until the time is over or ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
