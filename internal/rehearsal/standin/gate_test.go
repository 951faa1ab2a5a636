package standin

import (
	"context"
	"io"
	"net"
	"testing"
)

// startProxy starts a proxy that forwards connections to target, and returns its address. It stops
// accepting connections when the test ends.
func startProxy(t *testing.T, target string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			go io.Copy(server, client)
			go func() {
				io.Copy(client, server)
				client.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// Only the worker itself passes a challenge: one with another secret or name fails, and so does one
// through a proxy or at an address that is not on loopback.
func TestChallenge(t *testing.T) {
	worker, _ := startWorker(t, WorkerConfig{})
	proxy := startProxy(t, worker.Addr)
	for _, test := range []struct {
		name    string
		address string
		worker  string
		secret  string
		passes  bool
	}{
		{name: "the worker itself", address: worker.Addr, worker: "s-1", secret: "secret", passes: true},
		{name: "another secret", address: worker.Addr, worker: "s-1", secret: "other"},
		{name: "another name", address: worker.Addr, worker: "s-2", secret: "secret"},
		{name: "a proxy", address: proxy, worker: "s-1", secret: "secret"},
		{name: "not on loopback", address: "192.0.2.1:80", worker: "s-1", secret: "secret"},
	} {
		err := Challenge(context.Background(), test.address, test.worker, []byte(test.secret))
		if passes := err == nil; passes != test.passes {
			t.Errorf("%s: passes %v, want %v: %v", test.name, passes, test.passes, err)
		}
	}
}

// The gate opens when all listed workers pass, and never opens again once a worker has failed.
func TestGate(t *testing.T) {
	worker, _ := startWorker(t, WorkerConfig{})
	secret := []byte("secret")
	ctx := context.Background()
	listed := []Host{{Host: "s-1", Dial: worker.Addr, Health: HealthReady}}
	var gate Gate
	if gate.IsOpen() {
		t.Error("the gate is open before the first verification")
	}
	if err := gate.Verify(ctx, listed, secret); err != nil || !gate.IsOpen() {
		t.Errorf("the gate is closed after a successful verification: %v", err)
	}
	gate.Close()
	behindProxy := Host{Host: "s-1", Dial: startProxy(t, worker.Addr), Health: HealthDraining}
	if gate.Verify(ctx, append(listed, behindProxy), secret) == nil || gate.IsOpen() {
		t.Error("the gate is open although one worker failed")
	}
	if gate.Verify(ctx, listed, secret) == nil || gate.IsOpen() {
		t.Error("the gate is open again after a failed verification")
	}
}

// The verification of an empty list fails.
func TestGateStaysClosedWithoutWorkers(t *testing.T) {
	var gate Gate
	if gate.Verify(context.Background(), nil, nil) == nil || gate.IsOpen() {
		t.Error("an empty list passes the verification")
	}
}
