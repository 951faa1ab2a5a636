package hostileload

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// listen starts a server on a loopback address that passes each connection to
// handle and closes it afterwards.
func listen(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var connections sync.WaitGroup
	t.Cleanup(func() {
		listener.Close()
		connections.Wait()
	})
	connections.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Go(func() {
				defer conn.Close()
				handle(conn)
			})
		}
	})
	return listener.Addr().String()
}

func TestRunRefusesConfig(t *testing.T) {
	valid := Config{Target: "127.0.0.1:1", Clients: 1, Sources: 1, Duration: time.Millisecond}
	cases := map[string]func(*Config){
		"target beyond loopback": func(c *Config) { c.Target = "192.0.2.1:80" },
		"target without port":    func(c *Config) { c.Target = "127.0.0.1" },
		"target by name":         func(c *Config) { c.Target = "localhost:80" },
		"no clients":             func(c *Config) { c.Clients = 0 },
		"no sources":             func(c *Config) { c.Sources = 0 },
		"no time":                func(c *Config) { c.Duration = 0 },
		"sources beyond loopback": func(c *Config) {
			c.FirstSource = netip.MustParseAddr("127.255.255.255")
			c.Sources = 2
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			config := valid
			change(&config)
			counts, err := Run(context.Background(), config)
			if err == nil || counts.Attempted != 0 {
				t.Errorf("got %+v, %v; want an error and no attempt", counts, err)
			}
		})
	}
}

// Clients of every kind connect from the configured addresses, and stop when the duration is over.
func TestRunCountsEveryKind(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]bool{}
	target := listen(t, func(conn net.Conn) {
		host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
		mu.Lock()
		seen[host] = true
		mu.Unlock()
		io.Copy(io.Discard, conn)
	})
	kinds := []Kind{Silent, SlowHead, SlowBody, Flooding, Disconnecting, NeverReading}
	start := time.Now()
	config := Config{Target: target, Seed: 1, Clients: 12, Sources: 3, Duration: time.Second, Kinds: kinds}
	counts, err := Run(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	if elapsed := time.Since(start); elapsed > 10*time.Second {
		t.Errorf("a run of a second took %v", elapsed)
	}
	if counts.Attempted != counts.Connected+counts.Failed || counts.Connected < 12 {
		t.Errorf("got %+v; want at least 12 connections, and each attempt either connected or failed", counts)
	}
	for _, kind := range kinds {
		if counts.ByKind[kind.String()] < 2 {
			t.Errorf("%v: %d attempts of two clients, want at least 2", kind, counts.ByKind[kind.String()])
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for _, source := range []string{"127.64.0.1", "127.64.0.2", "127.64.0.3"} {
		if !seen[source] {
			t.Errorf("no connection from %s", source)
		}
	}
	if len(seen) != 3 {
		t.Errorf("connections from %v, want three addresses", seen)
	}
}

// Connections that the server closes and bytes that it sends are counted.
func TestRunCountsEndsAndBytes(t *testing.T) {
	const response = "HTTP/1.1 408 Request Timeout\r\n\r\n"
	target := listen(t, func(conn net.Conn) { io.WriteString(conn, response) })
	config := Config{Target: target, Clients: 4, Sources: 1, Duration: time.Second, Kinds: []Kind{Silent}}
	counts, err := Run(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	if counts.ClosedByPeer < 4 || counts.AnswerBytes < 4*int64(len(response)) {
		t.Errorf("got %+v; want at least 4 closed connections and 4 responses of %d bytes", counts, len(response))
	}
}

// floodedPaths returns the paths of the first batch of requests that a flooding client with a seed sends.
func floodedPaths(t *testing.T, seed uint64) []string {
	t.Helper()
	clientEnd, serverEnd := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	flooding := &client{random: rand.New(rand.NewPCG(seed, 0))}
	done := make(chan struct{})
	go func() {
		defer close(done)
		flooding.flood(ctx, clientEnd)
	}()
	var paths []string
	input := bufio.NewReader(serverEnd)
	for range batchRequests {
		request, err := http.ReadRequest(input)
		if err != nil {
			t.Fatal(err)
		}
		paths = append(paths, request.URL.Path)
	}
	cancel()
	serverEnd.Close()
	<-done
	return paths
}

// A flooding client's batch consists of well-formed requests, which are the same for the same seed.
func TestFloodSendsRequests(t *testing.T) {
	first := floodedPaths(t, 7)
	second := floodedPaths(t, 7)
	for i := range first {
		if first[i] != second[i] {
			t.Fatalf("request %d: %s, then %s", i, first[i], second[i])
		}
	}
}

// A slow client stops sending as soon as the server closes the connection.
func TestTrickleStopsWithConnection(t *testing.T) {
	clientEnd, serverEnd := net.Pipe()
	go func() {
		io.ReadFull(serverEnd, make([]byte, len("prompt")+1))
		serverEnd.Close()
	}()
	if received := trickle(context.Background(), clientEnd, "prompt", "slow"); received != 0 {
		t.Errorf("%d bytes received, want none", received)
	}
	if _, err := clientEnd.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection is still open: %v", err)
	}
}
