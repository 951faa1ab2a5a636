package discovery

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

const (
	initialList   = `{"seq":41,"hosts":[{"host":"old","dial":"127.0.0.1:9","health":"ready"}]}`
	laterSnapshot = `{"seq":43,"whole":true,"hosts":[{"host":"new","dial":"127.0.0.1:9","health":"ready"}]}`
)

// follow makes a registry that follows discovery at an address.
func followDiscovery(t *testing.T, r *testkit.Rig, addr string) (registry *Registry) {
	t.Helper()
	r.Do(func() {
		registry = newRegistry(r, addr)
		if err := registry.LoadInitial([]byte(initialList)); err != nil {
			t.Error(err)
		}
	})
	return registry
}

// stubClient is a worker client without connections: the tests are about the registry's list alone.
type stubClient struct{ registry *Registry }

func (stubClient) Start(dispatch.Attempt) {}

func (stubClient) Cancel(uint64) bool { return true }

func (stubClient) CloseIdle(string) {}

func (stubClient) CheckHealth(string) {}

func (c stubClient) Subscribe() { c.registry.Subscribe() }

func (c stubClient) Refresh() { c.registry.Refresh() }

func (stubClient) WorkerLeaving(*Worker) {}

func (stubClient) CloseIdleTo(*Worker) {}

func (stubClient) CloseAllIdle() {}

// newRegistry returns a registry that follows discovery at addr for a worker client without connections.
func newRegistry(r *testkit.Rig, addr string) *Registry {
	registry := New(r.Dispatcher, r.Engine, addr)
	client := stubClient{registry}
	registry.Attach(client)
	r.Dispatcher.AddSource(client)
	return registry
}

// discoveryCall is what the stand-in for discovery got: a connection and what it asked for.
type discoveryCall struct {
	net.Conn
	query string
}

// listenForCalls are those that come to a stand-in for discovery, which answers none by itself.
func listenForCalls(t *testing.T) (addr string, calls chan discoveryCall) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	calls = make(chan discoveryCall, 100)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go func() {
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					calls <- discoveryCall{conn, req.URL.RawQuery}
				}
			}()
		}
	}()
	return ln.Addr().String(), calls
}
