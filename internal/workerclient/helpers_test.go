package workerclient

import (
	"encoding/json"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/httpfront"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

const (
	// soleWorker is the name of the worker in tests with only one.
	soleWorker = "s"

	// testWork is the run time that test requests give as a hint.
	testWork = time.Millisecond

	// noReuseDelay is the reuse delay of tests in which every connection may be reused immediately.
	noReuseDelay = time.Duration(0)
)

// listedWorker is the entry of a worker in an endpoint list.
type listedWorker struct {
	Name    string `json:"host"`
	Address string `json:"dial"`
	Zone    string `json:"site,omitempty"`
	Health  string `json:"health"`
}

// newWorkerClient returns a worker client whose registry lists the given workers. It must be called on the event loop.
func newWorkerClient(t testing.TB, rig *testkit.Rig, workers ...listedWorker) *Client {
	t.Helper()
	client := New(rig.Dispatcher, rig.Engine, discovery.New(rig.Dispatcher, rig.Engine, ""))
	list, err := json.Marshal(map[string][]listedWorker{"hosts": workers})
	if err != nil {
		t.Error(err)
	}
	if err := client.registry.LoadInitial(list); err != nil {
		t.Error(err)
	}
	return client
}

// startSoleWorkerClient returns a worker client whose registry lists one worker. The client sends requests that are
// unsafe to retry only on connections that have been idle for the reuse delay, or on new ones.
func startSoleWorkerClient(t testing.TB, rig *testkit.Rig, address string, reuseDelay time.Duration) (client *Client) {
	t.Helper()
	rig.Do(func() {
		client = newWorkerClient(t, rig, listedWorker{Name: soleWorker, Address: address, Health: "ready"})
		client.reuseDelay = reuseDelay
	})
	return client
}

// startFrontEnd starts an HTTP front end for up to maxConnections connections and returns its address.
func startFrontEnd(t *testing.T, rig *testkit.Rig, maxConnections int) (addr string) {
	t.Helper()
	const memoryLimit = 64 << 20
	alwaysReady := func() bool { return true }
	rig.Do(func() {
		var err error
		addr, err = httpfront.New(rig.Dispatcher, rig.Engine, memoryLimit, alwaysReady).Listen("127.0.0.1:0", maxConnections)
		if err != nil {
			t.Error(err)
		}
	})
	return addr
}

// newRequest returns a request of the class with that index.
func newRequest(rig *testkit.Rig, class int, id string) dispatch.Request {
	return dispatch.Request{
		ID:     id,
		Class:  class,
		Target: "/" + rig.Dispatcher.Settings.Classes[class].Name + "/k",
		Body:   []byte("body"),
		Work:   testWork,
	}
}

// post posts a request of a class to the dispatcher, without waiting until the event loop has accepted it.
func post(rig *testkit.Rig, class int, id string) testkit.Responses {
	return rig.PostRequest(newRequest(rig, class, id))
}

// checkOutcome waits for a response and checks its outcome. what names the request.
func checkOutcome(t *testing.T, what string, responses testkit.Responses, want dispatch.Outcome) {
	t.Helper()
	got := testkit.Receive(t, responses).Outcome
	if got != want {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// requireOutcome is like checkOutcome, but ends the test if the outcome is wrong.
func requireOutcome(t *testing.T, what string, responses testkit.Responses, want dispatch.Outcome) {
	t.Helper()
	got := testkit.Receive(t, responses).Outcome
	if got != want {
		t.Fatalf("%s: %v, want %v", what, got, want)
	}
}

// checkNotServed waits for a response and checks that the request was not served. what names the request.
func checkNotServed(t *testing.T, what string, responses testkit.Responses) {
	t.Helper()
	got := testkit.Receive(t, responses).Outcome
	if got == dispatch.Served {
		t.Errorf("%s: %v, want a failure or a rejection", what, got)
	}
}

// idleConnections returns the number of idle connections to the named worker.
func idleConnections(rig *testkit.Rig, client *Client, worker string) (count int) {
	rig.Do(func() { count = len(client.idle[client.registry.Worker(worker)]) })
	return count
}

// holdLastBytes makes the client hold back the last byte of each request for the delay, throughout the test.
func holdLastBytes(rig *testkit.Rig, client *Client, delay time.Duration) {
	rig.Do(func() {
		client.holdLastByteUntil = rig.Dispatcher.Loop.Now() + time.Hour
		client.lastByteDelay = delay
	})
}

// transferClass is the index of the class that withDeduplicatedClass adds.
const transferClass = testkit.Renewal + 1

// withDeduplicatedClass adds a class whose workers discard repeats within the dedup window, allows three attempts per
// request and sets the connect timeout.
func withDeduplicatedClass(window, connectTimeout time.Duration) func(*decision.Settings) {
	return func(settings *decision.Settings) {
		settings.Classes = append(settings.Classes, decision.Class{
			Name:             "transfer",
			PriorityWeight:   4,
			LateWeight:       1, // a late response has full weight, so that waiting until the deadline is worthwhile
			LatencyObjective: 8 * time.Second,
			Deadline:         8 * time.Second,
			Idempotency:      decision.Deduplicated,
			DedupWindow:      window,
		})
		settings.MaxAttempts = 3
		settings.ConnectTimeout = connectTimeout
	}
}
