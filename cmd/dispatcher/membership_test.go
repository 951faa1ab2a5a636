package main

import (
	"fmt"
	"syscall"
	"testing"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// A dispatcher applies the changes that an origin sends through a relay. Once it has
// acknowledged a drain, the draining worker gets no more requests. When the relay ends, the
// list stays in force.
func TestDrainThroughARelay(t *testing.T) {
	daemon := &testDaemon{t: t}
	draining := daemon.addWorker("s-a", respondDone)
	other := daemon.addWorker("s-b", respondDone)
	origin, err := standin.StartDiscovery(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer origin.Close()
	origin.Set(draining.host(t), other.host(t))
	relay := startRelay(t, origin.Addr)
	operatorFile := writeFile(t, t.TempDir(), "operator.toml", fmt.Sprintf("[membership]\non = true\nzone = \"here\"\n"+
		"[[membership.servers]]\nzone = \"here\"\naddress = %q\n", relay.address))
	daemon.config = map[string]any{"known": map[string]any{"seq": 0, "whole": true, "hosts": []any{}}}
	daemon.start("--operator", operatorFile)
	relay.waitForStatus("the snapshot is in force", acknowledged(1))
	for i := 0; len(draining.requests()) == 0; i++ { // the worker gets requests before its drain
		if status := daemon.postStatus("status-check", fmt.Sprint("before-", i)); status != 200 || i > 10_000 {
			t.Fatalf("%d: %d", i, status)
		}
	}

	host := draining.host(t)
	host.Health = "draining"
	origin.Set(host)
	relay.waitForStatus("the drain is in force", acknowledged(2))
	before := len(draining.requests())
	for i := range 20 {
		if status := daemon.postStatus("renewal", fmt.Sprint("drain-", i)); status != 200 {
			t.Errorf("%d: %d", i, status)
		}
	}
	if count := len(draining.requests()); count != before {
		t.Errorf("the draining worker got %d more", count-before)
	}

	relay.process.Process.Signal(syscall.SIGTERM)
	if err := relay.process.Wait(); err != nil {
		t.Errorf("the relay does not end with exit code 0: %v", err)
	}
	for i := range 20 {
		if status := daemon.postStatus("renewal", fmt.Sprint("alone-", i)); status != 200 {
			t.Errorf("%d without a relay: %d", i, status)
		}
	}
	if count := len(draining.requests()); count != before {
		t.Errorf("without a relay the draining worker got %d more", count-before)
	}
}
