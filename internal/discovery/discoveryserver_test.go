package discovery

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// An initial endpoint list, and a later snapshot from discovery that replaces it.
const (
	initialList   = `{"seq":41,"hosts":[{"host":"old","dial":"127.0.0.1:9","health":"ready"}]}`
	laterSnapshot = `{"seq":43,"whole":true,"hosts":[{"host":"new","dial":"127.0.0.1:9","health":"ready"}]}`
)

// followDiscovery returns a registry that follows discovery at an address from initialList.
func followDiscovery(t *testing.T, rig *testkit.Rig, addr string) (registry *Registry) {
	t.Helper()
	rig.Do(func() {
		registry = newRegistry(rig, addr)
		if err := registry.LoadInitial([]byte(initialList)); err != nil {
			t.Error(err)
		}
	})
	return registry
}

// stubClient is a worker client without connections, since the tests only concern the registry's list.
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
func newRegistry(rig *testkit.Rig, addr string) *Registry {
	registry := New(rig.Dispatcher, rig.Engine, addr)
	client := stubClient{registry}
	registry.SetWorkerClient(client)
	rig.Dispatcher.AddSource(client)
	return registry
}

// discoveryCall is a request that a stand-in for discovery has received, with its connection.
type discoveryCall struct {
	net.Conn
	query string
}

// reset resets the connection of a call.
func (c discoveryCall) reset() {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// openWatch answers a call with the head of a stream.
func (c discoveryCall) openWatch() { io.WriteString(c, testkit.WatchHead) }

// answerUnavailable answers a call with status 503.
func (c discoveryCall) answerUnavailable(reason string) {
	io.WriteString(c, "HTTP/1.1 503 "+reason+"\r\nContent-Length: 0\r\n\r\n")
}

// sendLaterSnapshot answers a call with laterSnapshot.
func (c discoveryCall) sendLaterSnapshot() {
	io.WriteString(c, testkit.WatchHead+testkit.Chunk(laterSnapshot+"\n"))
}

// hasLaterSnapshot reports, on the loop's goroutine, whether laterSnapshot has replaced initialList.
func hasLaterSnapshot(registry *Registry) bool {
	return registry.workers["new"] != nil && registry.workers["old"] == nil
}

// waitOnLoop waits until a condition holds that is evaluated on the goroutine of the rig's event loop.
func waitOnLoop(t *testing.T, rig *testkit.Rig, what string, condition func() bool) {
	t.Helper()
	testkit.Until(t, what, func() (holds bool) {
		rig.Do(func() { holds = condition() })
		return holds
	})
}

// listenForCalls starts a stand-in for discovery. It passes each call on to the test and answers none by itself.
func listenForCalls(t *testing.T) (addr string, calls chan discoveryCall) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	calls = make(chan discoveryCall, 100)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go func() {
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					calls <- discoveryCall{conn, request.URL.RawQuery}
				}
			}()
		}
	}()
	return listener.Addr().String(), calls
}
