package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// refusingAddress is an address on which nothing listens, so that connections are refused.
const refusingAddress = "127.0.0.1:1"

// moveDiscovery makes the running daemon use another discovery service, and then writes an
// address on which nothing listens to the configuration file, so that a successor must get the
// address from its predecessor.
func (d *testDaemon) moveDiscovery() (moved *testDiscovery) {
	d.t.Helper()
	d.discovery.waitForWatch()
	moved = startDiscovery(d.t)
	d.config["discovery"] = moved.address
	d.writeConfig()
	d.signal(syscall.SIGHUP)
	moved.waitForWatch()
	d.config["discovery"] = refusingAddress
	d.writeConfig()
	return moved
}

// replaceBySuccessor replaces the daemon by a successor, which it returns. It checks that the
// successor uses the predecessor's discovery service, that both processes together do not
// exceed the limit of descriptors, and that the predecessor exits with code 0.
func (d *testDaemon) replaceBySuccessor(round int, discovery *testDiscovery, descriptorLimit int) (successor *testDaemon) {
	t := d.t
	t.Helper()
	successor = d.startSuccessor()
	successor.waitUntil("the successor is ready", successor.ready)
	if query := discovery.waitForWatch(); !strings.HasPrefix(query, "watch=1") {
		t.Errorf("query %q at the discovery service to which the predecessor was moved, want a watch", query)
	}
	successor.waitForLog("accepting clients")
	if descriptors := d.openDescriptors() + successor.openDescriptors(); descriptors > descriptorLimit {
		t.Errorf("round %d: the two processes have %d descriptors open", round, descriptors)
	}
	d.waitForLog("successor is accepting clients")
	d.signal(syscall.SIGTERM)
	if code := d.waitForExit(); code != 0 {
		t.Errorf("round %d: exit code %d", round, code)
	}
	successor.waitForLog("predecessor has ended")
	return successor
}

// A process is replaced while clients send requests. No connection is refused or closed with
// an unread request, each request has one answer, and none runs twice. The successor uses the
// discovery service to which the predecessor was moved, is drained if the predecessor is,
// rejects request ids that the predecessor accepted, and can be replaced itself. Both
// processes together do not exceed the limit of descriptors.
func TestReplacement(t *testing.T) {
	const descriptorLimit = 256
	first := newDaemonWithAdmin(t, newPlatformListener(t))
	worker := first.addWorker("s-1", respondDone)
	first.config = map[string]any{"limits": map[string]any{"sockets": descriptorLimit, "memory_mb": 192}}
	first.start()
	moved := first.moveDiscovery()

	load := startLoad(first.listen, 4)
	current := first
	for round := range 2 {
		current = current.replaceBySuccessor(round, moved, descriptorLimit)
	}
	sent, failed := load.stopAndReport()
	for _, failure := range failed {
		t.Errorf("a request failed: %s", failure)
	}
	runs := worker.runsByID()
	for id, count := range runs {
		if count > 1 {
			t.Errorf("%s ran twice", id)
		}
	}
	if len(runs) != sent || sent < 20 {
		t.Errorf("%d requests ran of %d sent", len(runs), sent)
	}

	if status := current.postStatus("renewal", "load-0-0"); status != 409 {
		t.Errorf("a request id that the predecessor accepted: status %d", status)
	}
	checkDrainedReplacement(t, current)
}

// checkDrainedReplacement checks that the successor of a drained process is drained too, that
// ending the drain in one process ends it in both, and that the predecessor continues to serve
// if the successor is killed.
func checkDrainedReplacement(t *testing.T, predecessor *testDaemon) {
	t.Helper()
	if status := predecessor.setOutOfService(); status != 200 {
		t.Errorf("setting out of service: status %d", status)
	}
	successor := predecessor.startSuccessor()
	successor.waitUntil("the drained dispatcher's successor is ready", successor.ready)
	if successor.health() != 503 || predecessor.health() != 503 {
		t.Error("a process is healthy during a drain")
	}
	if status := successor.setInService(); status != 200 {
		t.Errorf("setting in service: status %d", status)
	}
	predecessor.waitForLog(`"in service"`)
	successor.cmd.Process.Kill()
	predecessor.waitForLog("successor has ended")
	predecessor.waitUntil("health", func() bool { return predecessor.health() == 200 })
	if status := predecessor.postStatus("renewal", "after"); status != 200 {
		t.Errorf("request after the end of the successor: status %d", status)
	}
}

// If the directory of the handover socket is not set or does not exist, the two processes
// cannot connect, and each serves independently. The handover works even in a directory whose
// path is longer than the path of a unix socket may be.
func TestHandoverSocketDirectories(t *testing.T) {
	platform := newPlatformListener(t)
	long := filepath.Join(platform.directory, strings.Repeat("long-", 25))
	if err := os.Mkdir(long, 0o700); err != nil {
		t.Fatal(err)
	}
	for name, directory := range map[string]string{"no directory": "", "long": long, "absent": platform.directory + "/absent"} {
		t.Run(name, func(t *testing.T) {
			daemon := newDaemonWithAdmin(t, newPlatformListener(t))
			daemon.env = append(daemon.env, "TMPDIR="+directory)
			daemon.addWorker("s-1", respondDone)
			daemon.start()
			successor := daemon.startSuccessor()
			successor.waitUntil("the successor is ready", successor.ready)
			if directory == long {
				daemon.waitForLog("successor is accepting clients")
			}
			daemon.signal(syscall.SIGTERM)
			if code := daemon.waitForExit(); code != 0 {
				t.Errorf("exit code %d", code)
			}
			if status := successor.postStatus("renewal", "after"); status != 200 {
				t.Errorf("request to the second process: status %d", status)
			}
		})
	}
}

// If the discovery service does not answer, a successor uses the endpoint list of its
// predecessor, also after the predecessor was killed. A process starts even if a killed process
// has left the file of its handover socket behind.
func TestSuccessorUsesListOfDeadPredecessor(t *testing.T) {
	daemon := newDaemonWithAdmin(t, newPlatformListener(t))
	removed := daemon.addWorker("s-1", respondDone)
	daemon.start()
	daemon.discovery.waitForWatch()
	listed := daemon.addWorker("s-2", respondDone)
	daemon.discovery.sendList(42, listed.listEntry("ready"))
	daemon.postUntil(func() bool { return len(listed.requests()) > 0 }, "new-", 200)
	before := len(removed.requests())
	silent := listenLocal(t) // the kernel accepts connections, and nothing answers
	daemon.config["discovery"] = silent.Addr().String()
	daemon.writeConfig()
	daemon.signal(syscall.SIGHUP)
	daemon.waitForLog("discovery moves to")

	successor := daemon.startSuccessor()
	successor.waitUntil("ready with the list handed over", successor.ready)
	daemon.kill()
	successor.client.CloseIdleConnections() // those to the dead process, of which the client may not have read the end yet
	successor.waitForLog("predecessor has ended")
	for i := range 10 {
		if status := successor.postStatus("renewal", fmt.Sprint("list-", i)); status != 200 {
			t.Errorf("a request with the list handed over: status %d", status)
		}
	}
	if len(removed.requests()) != before {
		t.Error("a request went to the worker of the configuration's stale list")
	}

	successor.cmd.Process.Kill() // leaves the file of its handover socket behind
	successor.waitForExit()
	last := daemon.startSuccessor()
	last.waitUntil("ready with the file of a dead process", last.ready)
}

// A Faktory front end with a queue that is not durable cannot be handed over. A successor that
// is configured with one exits with an error, and the predecessor continues to serve.
func TestDirectFaktoryQueueIsNotHandedOver(t *testing.T) {
	daemon := newDaemonWithAdmin(t, newPlatformListener(t))
	daemon.addWorker("s-1", respondDone)
	daemon.start()
	operatorFile := writeFile(t, t.TempDir(), "faktory.toml", "listen = \"127.0.0.1:0\"\n")
	successor := exec.Command(builtProgram, "-faktory", operatorFile)
	successor.Env = daemon.environment()
	successor.ExtraFiles = daemon.inheritedFiles
	output, err := successor.CombinedOutput()
	if err == nil || !strings.Contains(string(output), "the Faktory front end cannot be handed over") {
		t.Errorf("the successor ended with error %v and output %q", err, output)
	}
	if status := daemon.postStatus("renewal", "after"); status != 200 {
		t.Errorf("request to the first process: status %d", status)
	}
}
