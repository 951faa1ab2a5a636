package admin

import (
	"fmt"
	"log/slog"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/store"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// fullTestAPI is an API with all optional components: a gate that admits connections,
// durable jobs, and statistics of a versioned endpoint list.
type fullTestAPI struct {
	*testAPI
	service    *durable.Service
	writeError func() error // of each write of the store, if it is not nil
}

func newFullTestAPI(t *testing.T) *fullTestAPI {
	t.Helper()
	return newFullTestAPIWith(t, nil)
}

// newFullTestAPIWith returns an API whose store calls writeError in each write, if it is not
// nil.
func newFullTestAPIWith(t *testing.T, writeError func() error) *fullTestAPI {
	t.Helper()
	api := &fullTestAPI{testAPI: newTestAPI(t), writeError: writeError}
	api.openJobs(t)
	var engine *transport.Engine
	var err error
	api.runOnLoop(func() { engine, err = transport.NewEngine(api.dispatcher.Loop, 200) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.StopListening)
	api.runOnLoop(func() {
		api.service.Start()
		var gate *listener.Gate
		gate, err = api.newGate(engine)
		if err != nil {
			return
		}
		full := New(api.dispatcher, engine, scriptedWorkers{api.dispatcher}, Operations{
			Ready:           func() bool { return true },
			SetOutOfService: func(bool) error { return nil },
			Gate:            gate,
			Jobs:            func() *durable.Service { return api.service },
			Membership:      numberedStats,
		})
		api.addr, err = full.Listen("127.0.0.1:0")
	})
	if err != nil {
		t.Fatal(err)
	}
	return api
}

// openJobs opens a store of durable jobs whose leases expire after 50 ms.
func (a *fullTestAPI) openJobs(t *testing.T) {
	t.Helper()
	config := durable.Config{
		Path: filepath.Join(t.TempDir(), "jobs.db"),
		Jobs: jobs.Config{LeaseDuration: 50 * time.Millisecond, RecoveryGrace: time.Millisecond},
		Store: store.Options{InjectWriteError: func() error {
			if a.writeError == nil {
				return nil
			}
			return a.writeError()
		}},
	}
	service, err := durable.Open(a.dispatcher.Loop, config, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.runOnLoop(func() { service.CloseNow() }) })
	service.OnRunnable = func(jobs.Job) {}
	a.service = service
}

// newGate returns a gate that has decided on four connections from two addresses. The limit
// is two open connections for each address.
func (a *fullTestAPI) newGate(engine *transport.Engine) (*listener.Gate, error) {
	const descriptors = 100
	config := listener.Config{
		Limits: connlimit.Config{
			Capacity: 50,
			Reserve:  10,
			Known:    []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")},
			Address:  connlimit.Limits{Open: 2},
		},
		Watermarks:       connlimit.Watermarks{Low: 0.5, High: 0.7, Critical: 0.9, Hysteresis: 0.1},
		DescriptorFloors: [connlimit.DescriptorKinds]int{1, 2, 3, 4, 5},
	}
	gate, err := listener.New(a.dispatcher.Loop, engine, config, descriptors, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	now := a.dispatcher.Loop.Now()
	for i, address := range []string{"10.9.0.1", "10.8.0.1", "10.8.0.1", "10.8.0.1"} {
		gate.Limiter.Admit(now, netip.MustParseAddr(address), connlimit.Token(i))
	}
	return gate, nil
}

// numberedStats returns statistics with a different number in each field, so that swapped
// fields are detected.
func numberedStats() discovery.Stats {
	return discovery.Stats{
		BytesRead:    1,
		BytesWritten: 2,
		Applied:      3,
		Rejected:     4,
		Snapshots:    5,
		Deltas:       6,
		Acknowledged: 7,
		Failovers:    8,
		Version:      9,
		Server:       "10.0.0.1:8601",
	}
}

// mustStore runs an operation on the loop and waits until it calls done. It fails the test
// if the operation fails.
func (a *fullTestAPI) mustStore(t *testing.T, what string, operation func(done func(error))) {
	t.Helper()
	result := make(chan error, 1)
	a.runOnLoop(func() { operation(func(err error) { result <- err }) })
	if err := <-result; err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

func (a *fullTestAPI) push(t *testing.T, job jobs.Job, notBefore time.Duration) {
	t.Helper()
	a.mustStore(t, "push "+job.ID, func(done func(error)) { a.service.Push(job, notBefore, done) })
}

// pushRenewal pushes a job that is ready now and must not run twice.
func (a *fullTestAPI) pushRenewal(t *testing.T, id string) {
	t.Helper()
	a.push(t, jobs.Job{ID: id, Class: "renewal", NonIdempotent: true, Payload: []byte(`{}`)}, 0)
}

func (a *fullTestAPI) lease(t *testing.T, id string) (leased jobs.Job) {
	t.Helper()
	a.mustStore(t, "lease "+id, func(done func(error)) {
		a.service.Assign(id, "w 1", jobs.NoGuarantee, func(job jobs.Job, err error) {
			leased = job
			done(err)
		})
	})
	return leased
}

// waitUntilInDoubt waits until as many jobs are in doubt, because their leases have
// expired.
func (a *fullTestAPI) waitUntilInDoubt(t *testing.T, want int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		inDoubt := 0
		a.runOnLoop(func() { inDoubt = a.service.Counts()[jobs.InDoubt] })
		if inDoubt == want {
			return
		}
		if time.Now().After(end) {
			t.Fatal("too few jobs are in doubt")
		}
	}
}

// pushNumbered pushes jobs whose ids are numbered, and waits until all are stored.
func (a *fullTestAPI) pushNumbered(t *testing.T, count int) {
	t.Helper()
	results := make(chan error, count)
	a.runOnLoop(func() {
		for i := range count {
			a.service.Push(jobs.Job{ID: fmt.Sprintf("job-%03d", i), Class: "c"}, 0, func(err error) { results <- err })
		}
	})
	for range count {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
}
