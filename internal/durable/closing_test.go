package durable

import (
	"errors"
	"maps"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// heldStore holds the writes of a service's store until they are released.
type heldStore struct {
	*testService
	path    string
	holding chan struct{} // closed when writes are to be held
	release chan struct{} // closed when they may go on
	calls   map[string]*recordedCall
}

// recordedCall is a call of a service, and the results that it has been answered with.
type recordedCall struct {
	results []error
}

func openHeldStore(t *testing.T) *heldStore {
	t.Helper()
	held := &heldStore{
		path:    filepath.Join(t.TempDir(), "jobs.db"),
		holding: make(chan struct{}),
		release: make(chan struct{}),
		calls:   map[string]*recordedCall{},
	}
	hold := func() error {
		select {
		case <-held.holding:
			<-held.release
		default:
		}
		return nil
	}
	config := Config{Path: held.path, Store: store.Options{InjectWriteError: hold}}
	held.testService = openTest(t, config)
	return held
}

// record returns the callback of a call, which records the results under a name.
func (h *heldStore) record(name string) func(error) {
	call := &recordedCall{}
	h.calls[name] = call
	return func(err error) { call.results = append(call.results, err) }
}

// prepare leases the jobs for the calls under a lease, and makes one more job ready.
func (h *heldStore) prepare() (fences map[string]uint64) {
	h.t.Helper()
	fences = map[string]uint64{}
	for _, id := range []string{"started", "acked", "failed", "ready", "moved"} {
		if err := h.push(jobs.Job{ID: id, Class: "renewal", NonIdempotent: true}); err != nil {
			h.t.Fatal(err)
		}
	}
	for _, id := range []string{"started", "acked", "failed"} {
		fences[id] = h.assign(id).job.Fence
	}
	return fences
}

// callAll makes each kind of call that has a callback. The names get the suffix.
func (h *heldStore) callAll(fences map[string]uint64, suffix string) {
	service := h.service
	pushed := jobs.Job{ID: "pushed" + suffix, Class: "renewal", NonIdempotent: true}
	service.Push(pushed, 0, h.record("push"+suffix))
	service.Push(pushed, 0, h.record("push of a duplicate"+suffix))
	service.StartJob("started", fences["started"], h.record("start"+suffix))
	service.Ack("acked", fences["acked"], nil, h.record("ack"+suffix))
	service.Fail("failed", fences["failed"], "unable", true, h.record("fail"+suffix))
	watched := h.record("watch" + suffix)
	service.Watch("moved", func(_ jobs.Job, err error) { watched(err) })
	service.storeRecord(pausedRecord, []string{"renewal"}, h.record("pause"+suffix))
	service.Snapshot("copy"+suffix, h.record("snapshot"+suffix))
	leased := h.record("lease" + suffix)
	if !service.Assign("ready", "w", jobs.NoGuarantee, func(_ jobs.Job, err error) { leased(err) }) {
		delete(h.calls, "lease"+suffix) // not called where Assign returns false
	}
	if err := service.Move("ready", jobs.Discard, "unwanted", true); suffix != "" && !errors.Is(err, ErrClosing) {
		h.t.Errorf("an operator's change%s: %v", suffix, err)
	}
	service.AfterSync(h.record("sync" + suffix))
}

// results returns the results of all calls, which must have been answered once each.
func (h *heldStore) results() map[string]error {
	h.t.Helper()
	results := map[string]error{}
	h.onLoop(func() {
		for _, name := range slices.Sorted(maps.Keys(h.calls)) {
			call := h.calls[name]
			if len(call.results) != 1 {
				h.t.Errorf("the %s was answered %d times", name, len(call.results))
				continue
			}
			results[name] = call.results[0]
		}
	})
	return results
}

// beginClose begins to close the service, and returns a channel for the end of it.
func (h *heldStore) beginClose(answerAfter time.Duration) chan error {
	return h.begin(func(done func(error)) { h.service.Close(h.loop.Now()+answerAfter, done) })
}

// checkReopened checks that exactly the jobs whose push was answered with nil are in the store.
func (h *heldStore) checkReopened(results map[string]error) {
	h.t.Helper()
	h.loop.Stop()
	<-h.stopped
	reopened := openTest(h.t, Config{Path: h.path})
	defer reopened.close()
	for _, suffix := range []string{"", " while closing", " after the close"} {
		stored := reopened.state("pushed"+suffix) != ""
		if accepted := results["push"+suffix] == nil; accepted != stored {
			h.t.Errorf("the push%s was answered with %v, and is stored: %v", suffix, results["push"+suffix], stored)
		}
	}
	for id, want := range map[string]string{"acked": "done", "failed": "dead", "started": "started"} {
		if got := reopened.state(id); got != want {
			h.t.Errorf("%s is %s after the close, want %s", id, got, want)
		}
	}
}

// A service that closes while its store is slow must answer each call once: those that came before with what the store
// made of them, and those that come later with an error. A call that is never answered leaves an HTTP client without a
// response, or makes it take a job for stored that is not.
func TestCloseAnswersEveryCall(t *testing.T) {
	held := openHeldStore(t)
	fences := held.prepare()
	held.onLoop(func() {
		close(held.holding)
		held.callAll(fences, "")
	})
	closed := held.beginClose(testTimeout)
	held.onLoop(func() { held.callAll(fences, " while closing") })
	close(held.release)
	if err := receive(t, "the end of the close", closed); err != nil {
		t.Error(err)
	}
	held.onLoop(func() { held.callAll(fences, " after the close") })
	results := held.results()
	for _, name := range []string{"push", "push of a duplicate", "start", "ack", "fail", "pause", "snapshot", "lease", "sync"} {
		if err := results[name]; err != nil {
			t.Errorf("the %s, which is stored: %v", name, err)
		}
	}
	if err := results["watch"]; !errors.Is(err, ErrClosing) {
		t.Errorf("the watch of a job that has not ended: %v", err)
	}
	for _, suffix := range []string{" while closing", " after the close"} {
		for _, name := range []string{"push", "push of a duplicate", "start", "pause", "snapshot", "sync"} {
			if err := results[name+suffix]; !errors.Is(err, ErrClosing) {
				t.Errorf("the %s%s: %v", name, suffix, err)
			}
		}
	}
	held.checkReopened(results)
}

// A service whose store never confirms a write must answer each call by the time that Close names: the caller's process
// ends then, and its clients would be left without a response.
func TestCloseAnswersWhileStoreHangs(t *testing.T) {
	held := openHeldStore(t)
	fences := held.prepare()
	held.onLoop(func() {
		close(held.holding)
		held.callAll(fences, "")
	})
	const answerAfter = 50 * time.Millisecond
	closed := held.beginClose(answerAfter)
	time.Sleep(2 * answerAfter)
	for name, err := range held.results() {
		wanted := ErrUnconfirmed
		if name == "watch" {
			wanted = ErrClosing
		}
		if name != "snapshot" && !errors.Is(err, wanted) { // a snapshot needs no write
			t.Errorf("the %s, of which the store has said nothing: %v", name, err)
		}
	}
	close(held.release)
	if err := receive(t, "the end of the close", closed); err != nil {
		t.Error(err)
	}
	held.results() // none is answered again
	held.loop.Stop()
	<-held.stopped
}
